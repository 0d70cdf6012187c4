"""Messages between owners of flows and holders of their registrations."""

import asyncio
import json
import time

from aiohttp import web
import loguru

from clementinelead import exceptions
from clementinelead.flows import decisions
from clementinelead.flows import locators
from clementinelead.flows import registrations
from clementinelead.memberships import outgoing
from clementinelead.memberships import records
from clementinelead.messages import controls
from clementinelead.processes import node as node_module

__all__ = ["FlowMessages"]

FLUSH_DELAY_S = 0.002
"""Time during which new flows are batched into one message, seconds."""

OVER_BUDGET_FLUSH_DELAY_S = 1.0
"""Batching time while the budget of flow messages is exceeded, seconds."""

ACKNOWLEDGEMENT_TIMEOUT_S = 1.0
"""Longest time that a shutdown waits for acknowledgements, seconds."""

ACKNOWLEDGEMENT_POLL_INTERVAL_S = 0.02
"""Interval of flushes while a shutdown waits, seconds."""

RECOVERY_TIMEOUT_S = 3.0
"""Time during which a peer is queried for this process's flows, seconds."""

RECOVERY_RETRY_DELAY_S = 0.1
"""Delay before a failed query to a peer is retried, seconds."""

_LOCATORS_PATH = "/peer/locators"


class FlowMessages:
    """Sends the registrations of own flows and handles those of peers."""

    def __init__(self, node: node_module.Node, decider: decisions.Decider):
        self._node = node
        self._decider = decider
        self._scheduled = False
        node.application.router.add_get(_LOCATORS_PATH, self._on_locators)

    # Sending.

    def schedule_flush(self) -> None:
        """Schedules a flush of queued messages, unless one is scheduled.

        While the byte budget is exceeded the delay is longer, so that more
        flows share a message; packets that arrive before it find the owner by
        a search.
        """
        if self._scheduled or not self._decider.registrar.has_queued:
            return
        self._scheduled = True
        delay = FLUSH_DELAY_S
        if self._node.channel.flow_budget.available(time.monotonic()) < 0:
            delay = OVER_BUDGET_FLUSH_DELAY_S
        asyncio.get_running_loop().call_later(delay, self.flush)

    def flush(self) -> None:
        """Sends all registrations, releases and renewals that are due."""
        self._scheduled = False
        for message in self._decider.registrar.due_messages(time.monotonic()):
            body: controls.Body
            match message:
                case registrations.Batch(_, number, service, entries):
                    body = controls.Register(number, service, entries)
                case registrations.Release(_, keys):
                    body = controls.Release(keys)
                case registrations.Renewal(_, count, checksum):
                    body = controls.Renew(count, checksum)
            self._send(message.holder, body)

    async def wait_for_acknowledgements(self) -> None:
        """Flushes until the holders have acknowledged all registrations.

        A successor of this process can then recover all flows from them. The
        wait ends after ``ACKNOWLEDGEMENT_TIMEOUT_S``.
        """
        deadline = time.monotonic() + ACKNOWLEDGEMENT_TIMEOUT_S
        while time.monotonic() < deadline:
            self.flush()
            if self._decider.registrar.unacknowledged_count == 0:
                return
            await asyncio.sleep(ACKNOWLEDGEMENT_POLL_INTERVAL_S)

    def _send(self, receiver: str, body: controls.Body) -> None:
        record = self._node.gossiper.table.by_id.get(receiver)
        if record is not None:
            message = outgoing.Message(record.control_address, (), body)
            self._node.channel.send(message)

    # Receiving.

    def on_control(self, control: controls.Control, now: float) -> None:
        """Handles a message of an owner or holder; ignores others.

        Args:
            control: An authentic control message.
            now: Present time, seconds.
        """
        match control.body:
            case controls.Register(number, service, entries):
                self._on_register(control.sender, number, service, entries, now)
            case controls.Registered(number):
                self._decider.registrar.on_acknowledged(number)
            case controls.Release(keys):
                self._decider.on_release(control.sender, keys)
            case controls.Renew(count, checksum):
                matches = self._decider.locators.renew(
                    control.sender, count, checksum, now
                )
                if not matches:
                    self._decider.locators.remove_owner(control.sender)
                    self._send(control.sender, controls.Repeat())
            case controls.Repeat():
                self._decider.on_resend_request(control.sender)

    def _on_register(
        self,
        owner: str,
        number: int,
        service: str,
        entries: tuple[controls.Registration, ...],
        now: float,
    ) -> None:
        record = self._node.gossiper.table.by_id.get(owner)
        if record is None:
            return
        self._decider.on_register(
            owner, record.data_address, service, entries, now
        )
        self._send(owner, controls.Registered(number))

    # Recovery after a start.

    async def recover_flows(self, others: list[records.Record]) -> None:
        """Queries other side processes for the flows of this one's target.

        Peers are queried in parallel; one that doesn't answer within
        ``RECOVERY_TIMEOUT_S`` is skipped.

        Args:
            others: Records of the peers that may hold registrations of them.
        """
        queries = [self._recover_flows_from(other) for other in others]
        await asyncio.gather(*queries)

    async def _recover_flows_from(self, other: records.Record) -> None:
        deadline = time.monotonic() + RECOVERY_TIMEOUT_S
        own = self._node.gossiper.own
        path = f"{_LOCATORS_PATH}?owner={own.id}"
        while time.monotonic() < deadline:
            try:
                body = await self._node.client.get(other, path)
            except exceptions.PeerUnavailableError as error:
                loguru.logger.debug("recall: {}", error)
                await asyncio.sleep(RECOVERY_RETRY_DELAY_S)
                continue
            entries = {
                bytes.fromhex(key): locators.Locator(
                    own.id, own.data_address, 0, service, closing
                )
                for key, (service, closing) in json.loads(body).items()
            }
            self._decider.on_recovered_entries(entries, time.monotonic())
            return

    async def _on_locators(self, request: web.Request) -> web.Response:
        self._node.server.verify_tag(request)
        owned = self._decider.locators.entries_of_owner(request.query["owner"])
        content = {
            key.hex(): (entry.service, entry.closing)
            for key, entry in owned.items()
        }
        return self._node.server.tagged_response(json.dumps(content).encode())
