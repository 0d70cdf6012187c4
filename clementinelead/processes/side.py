"""The side process: accepts, delivers and passes on beside one target."""

import asyncio
import collections.abc
import json
import socket
import time
import typing

from aiohttp import web
import loguru
import typer

from clementinelead import exceptions
from clementinelead.charts import charts
from clementinelead.configurations import adoption
from clementinelead.configurations import models as config_models
from clementinelead.flows import decisions
from clementinelead.flows import loads
from clementinelead.flows import locators
from clementinelead.flows import outcomes
from clementinelead.flows import registrations
from clementinelead.flows import tables
from clementinelead.memberships import gossip
from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.messages import controls
from clementinelead.messages import envelopes
from clementinelead.packets import headers
from clementinelead.placements import forwarding
from clementinelead.placements import targets
from clementinelead.processes import contacts
from clementinelead.processes import load_reports
from clementinelead.processes import node as node_module
from clementinelead.processes import runtime
from clementinelead.processes import sockets
from clementinelead.settings import models as settings_models
from clementinelead.stores import consul
from clementinelead.telemetry import counters
from clementinelead.telemetry import logs

__all__ = ["Side", "main"]

TICK_S = 0.02
FLUSH_DELAY_S = 0.002
SLOW_FLUSH_DELAY_S = 1.0
REPEAT_CHECK_S = 1.0
REBUILD_DELAY_S = 0.02
PAUSE_S = 1.0
DEAD_OWNER_GRACE_S = 120.0
RECOVERY_S = 3.0
RETRY_S = 0.1
FLUSH_S = 1.0
PASSING = ("passed on", "least loaded")

_STATE_BY_NAME = {
    "cold": records.State.COLD,
    "ready": records.State.READY,
    "draining": records.State.DRAINING,
    "leaving": records.State.LEAVING,
}


class Lifecycle:
    """State of the target, moved by the chart ``target``."""

    state: str

    def __init__(self) -> None:
        charts.machine("target", self)


class _DataPath(asyncio.DatagramProtocol):
    """Takes envelopes from balancers and other side processes."""

    def __init__(self, side: "Side"):
        self._side = side
        self._held = side.decider.held
        self._target = side.target
        self._clock = time.monotonic
        self._transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        """Handles one datagram."""
        now = self._clock()
        side = self._side
        if now - side.last_tick > PAUSE_S:
            side.on_pause(now)
        try:
            packet = self._held(data, now)
        except exceptions.MalformedMessageError:
            side.drops.add(headers.DropCause.ENVELOPE.value)
            return
        if packet is not None:
            side.delivered += 1
            self._transport.sendto(packet, self._target)
            return
        self._act(side.decider.decide(data, now))

    def _act(self, outcome: outcomes.Outcome) -> None:
        side = self._side
        send = self._transport.sendto
        match outcome:
            case outcomes.Deliver(packet, placement):
                if packet[9] == headers.PROTOCOL_UDP:
                    side.flush_registrations()
                else:
                    side.schedule_flush()
                side.delivered += 1
                send(packet, self._target)
                side.log_placement(placement)
            case outcomes.Forward(address, envelope, placement):
                side.passed_on += 1
                send(envelope, address)
                side.log_placement(placement)
            case outcomes.Refuse(answers, placement):
                side.refused += 1
                for answer in answers:
                    send(answer, side.egress)
                side.log_placement(placement)
            case outcomes.Reset(answers, key):
                side.resets += 1
                for answer in answers:
                    send(answer, side.egress)
                side.log_reset(key)
            case outcomes.Drop(cause):
                side.drops.add(cause.value)

    def error_received(self, error: Exception) -> None:
        """Notes that a datagram could not be sent."""
        self._side.drops.add("send_error")


class Side(node_module.Subscriber):
    """Wires the flow decisions to sockets, peers and the target.

    Attributes:
        decider: Owner of the flows.
        target: Where packets are delivered.
        egress: Where answers to callers go.
        drops: Packets dropped by cause.
    """

    def __init__(self, settings: settings_models.SideSettings):
        now = time.monotonic()
        target = settings.target
        self._settings = settings
        self._services = target.services
        self.target = settings_models.endpoint(target.endpoint)
        self.egress = settings_models.endpoint(target.egress)
        self.estimate = loads.LoadEstimate(
            loads.Limits(
                slots=target.slots,
                connections=target.connections,
                cold_start_s=target.cold_start_s,
            ),
            now,
        )
        node = settings.node
        self.decider = decisions.Decider(
            node.id,
            (node.address, node.data_port),
            self.estimate,
            tables.Timeouts(),
        )
        self.node = node_module.Node(
            settings.node,
            settings.cluster,
            records.Role.SIDE,
            target.services,
            target.weight,
            self,
        )
        self.lifecycle = Lifecycle()
        self.drops = counters.CounterSet()
        self.last_tick = now
        self.delivered = 0
        self.passed_on = 0
        self.refused = 0
        self.resets = 0
        self._log_limit = logs.RateLimit(settings.logs.placements_per_s)
        self._refusal_log_limit = logs.RateLimit(settings.logs.placements_per_s)
        self._targets = targets.TargetIndex()
        self._followed = frozenset(self._services)
        self._names = {self.decider.me.id: node.id}
        self._rebuild_scheduled = False
        self._flush_scheduled = False
        self._drain_began: float | None = None
        self._add_routes()
        self._add_metrics()

    async def run(self, stopping: asyncio.Event) -> None:
        """Runs until asked to stop.

        The target's flows go on without this process: its peers know them,
        and the process that replaces it asks them.

        Raises:
            OSError: A port is taken.
        """
        await self.node.start(stopping)
        try:
            loop = asyncio.get_running_loop()
            node = self._settings.node
            transport, _ = await loop.create_datagram_endpoint(
                lambda: _DataPath(self),
                local_addr=(node.address, node.data_port),
                family=socket.AF_INET,
            )
            sockets.enlarge_buffers(transport)
            self.node.spawn(self._tick_forever())
            self.node.spawn(self._join())
            self._find_contacts()
            if self._settings.target.load_url:
                reports = load_reports.LoadReports(
                    self.node.session,
                    self._settings.target.load_url,
                    self.estimate,
                )
                self.node.spawn(reports.run())
            loguru.logger.info("side process started")
            await stopping.wait()
            await self._flush()
            transport.close()
        finally:
            await self.node.stop()
        loguru.logger.info("side process stopped")

    # Joining.

    def _find_contacts(self) -> None:
        """Looks for peers in the store too, if the settings name one."""
        settings = self._settings.store
        if settings is None:
            return
        store = consul.ConsulStore(
            self.node.session, settings.url, settings.timeout_s
        )
        finder = contacts.ContactFinder(self.node, store, settings.prefix)
        self.node.spawn(finder.run())

    async def _join(self) -> None:
        """Learns view, configuration and own flows, then announces itself."""
        await self._meet_balancer()
        await self._recall()
        self.decider.recovering = False
        self._announce_state()
        self._rebuild()
        loguru.logger.info(
            "joined revision={} flows={}",
            self.node.adopted.revision,
            len(self.decider.flows),
        )
        await asyncio.sleep(self._settings.target.cold_start_s)
        if self.lifecycle.state == "cold":
            self.lifecycle.warmed()  # type: ignore[attr-defined]
            self._announce_state()

    async def _meet_balancer(self) -> None:
        while True:
            for peer in self.node.balancers():
                try:
                    await self.node.sync_members(peer)
                except exceptions.PeerUnavailableError:
                    continue
                await self.node.fetch_configuration(peer)
                if self.node.adopted.revision > 0:
                    return
            await asyncio.sleep(RETRY_S)

    async def _recall(self) -> None:
        """Asks the targets' other side processes for this one's flows."""
        others = self._colleagues()
        tasks = [self._recall_from(other) for other in others]
        await asyncio.gather(*tasks)

    async def _recall_from(self, other: records.Record) -> None:
        deadline = time.monotonic() + RECOVERY_S
        path = f"/peer/locators?owner={self._settings.node.id}"
        while time.monotonic() < deadline:
            try:
                body = await self.node.client.get(other, path)
            except exceptions.PeerUnavailableError as error:
                loguru.logger.debug("recall: {}", error)
                await asyncio.sleep(RETRY_S)
                continue
            own = self.node.gossiper.own
            entries = {
                bytes.fromhex(key): locators.Locator(
                    own.id, own.data_address, 0, service, closing
                )
                for key, (service, closing) in json.loads(body).items()
            }
            self.decider.on_recalled(entries, time.monotonic())
            return

    def _colleagues(self) -> list[records.Record]:
        return [
            record
            for record in self.node.gossiper.peers()
            if record.role is records.Role.SIDE and self._follows(record)
        ]

    def _follows(self, record: records.Record) -> bool:
        """Tells whether a target may share flows with this one."""
        return not self._followed.isdisjoint(record.services)

    # Timers.

    async def _tick_forever(self) -> None:
        next_repeat = 0.0
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            if now - self.last_tick > PAUSE_S:
                self.on_pause(now)
            self.last_tick = now
            self.decider.on_tick(now)
            self.schedule_flush()
            if now >= next_repeat:
                next_repeat = now + REPEAT_CHECK_S
                self.flush_registrations()
            self._check_drain(now)

    def on_pause(self, now: float) -> None:
        """Notes that this process did not run for a while."""
        loguru.logger.warning(
            "paused for {:.1f} s; first packets are dropped for a moment",
            now - self.last_tick,
        )
        self.last_tick = now
        self.decider.on_pause(now)

    def schedule_flush(self) -> None:
        """Sends what the registrar has to say in a moment, all at once.

        Beyond the budget the moment is longer: more flows then share a
        message, and packets that overtake it find the owner by a search.
        """
        if self._flush_scheduled or not self.decider.registrar.queued:
            return
        self._flush_scheduled = True
        delay = FLUSH_DELAY_S
        if self.node.channel.flow_budget.available(time.monotonic()) < 0:
            delay = SLOW_FLUSH_DELAY_S
        loop = asyncio.get_running_loop()
        loop.call_later(delay, self.flush_registrations)

    def flush_registrations(self) -> None:
        """Sends what the registrar has to say."""
        self._flush_scheduled = False
        for message in self.decider.registrar.due(time.monotonic()):
            record = self.node.gossiper.table.by_id.get(message.holder)
            if record is None:
                continue
            body: controls.Body
            match message:
                case registrations.Batch(_, number, service, entries):
                    body = controls.Register(number, service, entries)
                case registrations.Release(_, keys):
                    body = controls.Release(keys)
                case registrations.Renewal(_, count, checksum):
                    body = controls.Renew(count, checksum)
            self.node.channel.send(
                gossip.Send(record.control_address, (), body)
            )

    async def _flush(self) -> None:
        """Waits until the peers know all flows, so that a successor may."""
        if self.lifecycle.state == "leaving":
            return
        deadline = time.monotonic() + FLUSH_S
        while time.monotonic() < deadline:
            self.flush_registrations()
            if self.decider.registrar.pending == 0:
                return
            await asyncio.sleep(TICK_S)

    # Draining.

    def _check_drain(self, now: float) -> None:
        """Follows the operators' drains, and leaves when no flow is left."""
        drain = self.node.adopted.drains.get(self._settings.node.id)
        state = self.lifecycle.state
        if drain is not None and state in ("cold", "ready"):
            self._drain_began = now
            self.lifecycle.drain()  # type: ignore[attr-defined]
            self._announce_state()
            loguru.logger.info(
                "draining bound_s={} flows={}",
                self._drain_bound_s(drain),
                len(self.decider.flows),
            )
        elif drain is None and state == "draining":
            self.lifecycle.undrain()  # type: ignore[attr-defined]
            self._announce_state()
        elif drain is not None and state == "draining":
            assert self._drain_began is not None, "draining has a beginning"
            if self.estimate.held == 0 and self.decider.registrar.pending == 0:
                self.lifecycle.emptied()  # type: ignore[attr-defined]
                self._announce_state()
            elif now - self._drain_began >= self._drain_bound_s(drain):
                self.lifecycle.bound_reached()  # type: ignore[attr-defined]
                self._announce_state()

    def _drain_bound_s(self, drain: config_models.Drain) -> float:
        entries = self.node.adopted.entry_by_name.values()
        return drain.effective_bound_s(entry.service for entry in entries)

    def _announce_state(self) -> None:
        self.decider.state = self.lifecycle.state
        self.node.announce(state=_STATE_BY_NAME[self.lifecycle.state])
        loguru.logger.info("state={}", self.lifecycle.state)

    # What the node learns, and tells others.

    def load(self) -> controls.TargetLoad:
        """Returns the target's load; the longest if it takes nothing."""
        now = time.monotonic()
        if self.decider.state not in ("cold", "ready"):
            return controls.TargetLoad(0, loads.NO_LOAD_MS)
        if not self.estimate.acceptance(now, last_resort=True).allowed:
            return controls.TargetLoad(0, loads.NO_LOAD_MS)
        return controls.TargetLoad(
            self.estimate.free_slots(now), self.estimate.completion_ms(now)
        )

    def on_members(self, changes: list[members.Change], now: float) -> None:
        """Rebuilds the tables if targets of the own services changed."""
        for change in changes:
            if self._follows(change.new):
                self._note_target(change)
                self._schedule_rebuild()
                self._note_restart(change)

    def _note_target(self, change: members.Change) -> None:
        name = change.new.id
        self._names[envelopes.candidate_id(name)] = name
        self._targets.update(change)

    def _note_restart(self, change: members.Change) -> None:
        """Registers again with a process that lost what it was told."""
        old = change.old
        if old is not None and old.incarnation != change.new.incarnation:
            self.decider.on_repeat(change.new.id)

    def on_configuration(self, adopted: adoption.Adopted, now: float) -> None:
        """Takes over the definitions of the own services."""
        entries = self.node.adopted.entry_by_name
        self.decider.on_services(
            {
                name: entry.service.endpoint_by_key.keys()
                for name, entry in entries.items()
            }
        )
        self._follow(
            {
                share.service
                for entry in entries.values()
                for share in entry.service.parts
            }
        )
        self._take_limits()
        self._schedule_rebuild()

    def _follow(self, names: collections.abc.Set[str]) -> None:
        """Learns the targets of services that share flows with the own ones.

        Those of services that no longer do stay known: they may hold flows.
        """
        added = names - self._followed
        if not added:
            return
        self._followed |= names
        for record in self.node.gossiper.table.by_id.values():
            if self._follows(record):
                self._note_target(members.Change(None, record))

    def _take_limits(self) -> None:
        """Takes the strictest limits of the services that it serves."""
        services = [
            entry.service for entry in self.node.adopted.entry_by_name.values()
        ]
        if not services:
            return
        self.estimate.limits = loads.Limits(
            slots=self._settings.target.slots,
            connections=self._settings.target.connections,
            max_wait_s=min(service.max_wait_s for service in services),
            cold_start_s=self._settings.target.cold_start_s,
        )
        self.decider.flows.timeouts = tables.Timeouts(
            tcp_idle_s=max(service.tcp_idle_s for service in services),
            udp_idle_s=max(service.udp_idle_s for service in services),
            slot_hold_s=min(service.slot_hold_s for service in services),
        )

    def _schedule_rebuild(self) -> None:
        if self._rebuild_scheduled:
            return
        self._rebuild_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(REBUILD_DELAY_S, self._rebuild)

    def _rebuild(self) -> None:
        self._rebuild_scheduled = False
        now = time.monotonic()
        membership = self.node.gossiper.table
        entries = self.node.adopted.entry_by_name
        dead = membership.recently_dead(now, DEAD_OWNER_GRACE_S)
        self.decider.on_deaths(dead, now + DEAD_OWNER_GRACE_S if dead else 0.0)
        for name, entry in entries.items():
            previous = self.decider.table(name)
            table = forwarding.table_of(
                entry.service,
                self._targets.parts(entry.service),
                self.node.adopted.revision,
                previous,
            )
            self.decider.on_table(name, table, now)

    def on_control(
        self, control: controls.Control, source: tuple[str, int], now: float
    ) -> None:
        """Handles the messages of flow owners and holders."""
        if control.load is not None:
            self.decider.on_load(control.sender, control.load, now)
        match control.body:
            case controls.Register(number, service, entries):
                self._on_register(control.sender, number, service, entries, now)
            case controls.Registered(number):
                self.decider.registrar.acknowledged(number)
            case controls.Release(keys):
                self.decider.on_release(control.sender, keys)
            case controls.Renew(count, checksum):
                known = self.decider.locators.renew(
                    control.sender, count, checksum, now
                )
                if not known:
                    self.decider.locators.forget_owner(control.sender)
                    self._reply(control.sender, controls.Repeat())
            case controls.Repeat():
                self.decider.on_repeat(control.sender)

    def _on_register(
        self,
        owner: str,
        number: int,
        service: str,
        entries: tuple[controls.Registration, ...],
        now: float,
    ) -> None:
        record = self.node.gossiper.table.by_id.get(owner)
        if record is None:
            return
        self.decider.on_register(
            owner, record.data_address, service, entries, now
        )
        self._reply(owner, controls.Registered(number))

    def _reply(self, receiver: str, body: controls.Body) -> None:
        record = self.node.gossiper.table.by_id.get(receiver)
        if record is not None:
            message = gossip.Send(record.control_address, (), body)
            self.node.channel.send(message)

    # What others ask.

    def log_placement(self, placement: outcomes.Placement | None) -> None:
        """Logs a placement decision, at a bounded rate."""
        if placement is None:
            return
        limit = self._log_limit
        if placement.chosen is None and placement.reason not in PASSING:
            limit = self._refusal_log_limit
        if not limit.allows(time.monotonic()):
            return
        passed = ",".join(
            f"{self._names.get(number, number)}:{reason}"
            for number, reason in placement.passed_over
        )
        chosen = "-"
        if placement.chosen is not None:
            chosen = self._names.get(placement.chosen, str(placement.chosen))
        loguru.logger.info(
            "place service={} flow={} passed_over={} chosen={} reason={!r}"
            " revision={} hops={} left_out={}",
            placement.service,
            headers.flow_text(placement.key),
            passed or "-",
            chosen,
            placement.reason,
            placement.revision,
            placement.hops,
            limit.take_left_out(),
        )

    def log_reset(self, key: headers.FlowKey) -> None:
        """Logs that a flow is gone whose owner nobody knows."""
        if self._log_limit.allows(time.monotonic()):
            loguru.logger.warning(
                "reset flow={} reason='no owner'", headers.flow_text(key)
            )

    def _add_routes(self) -> None:
        router = self.node.application.router
        router.add_get("/status", self._on_status)
        router.add_get("/peer/locators", self._on_locators)

    def _add_metrics(self) -> None:
        published = self.node.metrics
        published.count("packets_dropped", self.drops, "Packets dropped")
        published.gauge(
            "flows_held", lambda: len(self.decider.flows), "Flows held"
        )
        published.gauge(
            "flows_working", lambda: self.estimate.working, "Flows at work"
        )
        published.gauge(
            "locators", lambda: len(self.decider.locators), "Locators held"
        )
        published.gauge(
            "service_time_s",
            lambda: self.estimate.service_s,
            "Time of one request",
        )
        published.gauge(
            "packets_delivered", lambda: self.delivered, "Packets delivered"
        )
        published.gauge("flows_refused", lambda: self.refused, "Flows refused")

    async def _on_locators(self, request: web.Request) -> web.Response:
        self.node.server.checked(request)
        owned = self.decider.locators.owned_by(request.query["owner"])
        content = {
            key.hex(): (entry.service, entry.closing)
            for key, entry in owned.items()
        }
        return self.node.server.response(json.dumps(content).encode())

    async def _on_status(self, _: web.Request) -> web.Response:
        content = {
            "id": self._settings.node.id,
            "state": self.lifecycle.state,
            "revision": self.node.adopted.revision,
            "flows": len(self.decider.flows),
            "working": self.estimate.working,
            "held": self.estimate.held,
            "locators": len(self.decider.locators),
            "service_time_s": self.estimate.service_s,
            "delivered": self.delivered,
            "passed_on": self.passed_on,
            "refused": self.refused,
            "resets": self.resets,
            "dropped": dict(self.drops.by_cause),
            "control": dict(self.node.channel.counters.by_cause),
        }
        return web.json_response(content)


def _command(
    settings: runtime.SettingsPath, check: runtime.Check = False
) -> None:
    """Accepts and delivers flows beside one target.

    Exit codes: 0 stopped, 1 failed, 2 wrong settings, 3 a port is taken.
    """
    loaded = runtime.load_settings(
        settings, settings_models.SideSettings, check
    )
    logs.configure(loaded.node.id, loaded.logs.level, loaded.logs.json_lines)
    runtime.run(Side(loaded).run)


def main() -> None:
    """Runs the command line."""
    typer.run(_command)


if __name__ == "__main__":
    main()
