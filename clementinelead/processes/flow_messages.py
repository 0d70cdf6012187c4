"""What owners and holders of flows tell each other."""

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
"""Time in which new flows share a message, seconds."""

SLOW_FLUSH_DELAY_S = 1.0
"""The same when the budget of control traffic is used up, seconds."""

SETTLE_S = 1.0
"""Longest time that a stop waits for acknowledgements, seconds."""

SETTLE_STEP_S = 0.02

RECOVERY_S = 3.0
"""Time in which a peer that lives tells of this process's flows, seconds."""

RETRY_S = 0.1
"""Pause between two questions to a peer, seconds."""

_LOCATORS_PATH = "/peer/locators"


class FlowMessages:
    """Sends registrations, and takes those of others."""

    def __init__(self, node: node_module.Node, decider: decisions.Decider):
        self._node = node
        self._decider = decider
        self._scheduled = False
        node.application.router.add_get(_LOCATORS_PATH, self._on_locators)

    # Sending.

    def schedule(self) -> None:
        """Sends what the registrar has to say in a moment, all at once.

        Beyond the budget the moment is longer: more flows then share a
        message, and packets that overtake it find the owner by a search.
        """
        if self._scheduled or not self._decider.registrar.has_queued:
            return
        self._scheduled = True
        delay = FLUSH_DELAY_S
        if self._node.channel.flow_budget.available(time.monotonic()) < 0:
            delay = SLOW_FLUSH_DELAY_S
        asyncio.get_running_loop().call_later(delay, self.flush)

    def flush(self) -> None:
        """Sends what the registrar has to say."""
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

    async def settle(self) -> None:
        """Waits until the holders know all flows, so that a successor may."""
        deadline = time.monotonic() + SETTLE_S
        while time.monotonic() < deadline:
            self.flush()
            if self._decider.registrar.unacknowledged_count == 0:
                return
            await asyncio.sleep(SETTLE_STEP_S)

    def _send(self, receiver: str, body: controls.Body) -> None:
        record = self._node.gossiper.table.by_id.get(receiver)
        if record is not None:
            message = outgoing.Message(record.control_address, (), body)
            self._node.channel.send(message)

    # Receiving.

    def on_control(self, control: controls.Control, now: float) -> None:
        """Handles a message of an owner or holder.

        Args:
            control: An authentic message.
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
                known = self._decider.locators.renew(
                    control.sender, count, checksum, now
                )
                if not known:
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

    # Recalling, after a start.

    async def recall(self, others: list[records.Record]) -> None:
        """Asks other side processes for the flows of this one's target.

        Args:
            others: Those that may hold registrations of them.
        """
        tasks = [self._recall_from(other) for other in others]
        await asyncio.gather(*tasks)

    async def _recall_from(self, other: records.Record) -> None:
        deadline = time.monotonic() + RECOVERY_S
        own = self._node.gossiper.own
        path = f"{_LOCATORS_PATH}?owner={own.id}"
        while time.monotonic() < deadline:
            try:
                body = await self._node.client.get(other, path)
            except exceptions.PeerUnavailableError as error:
                loguru.logger.debug("recall: {}", error)
                await asyncio.sleep(RETRY_S)
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
        self._node.server.checked(request)
        owned = self._decider.locators.entries_of_owner(request.query["owner"])
        content = {
            key.hex(): (entry.service, entry.closing)
            for key, entry in owned.items()
        }
        return self._node.server.response(json.dumps(content).encode())
