"""The relaying balancer: callers' packets, peers' answers, readiness."""

import asyncio
import functools
import time

import loguru

from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.processes import contact_keys
from clementinelead.processes import datagrams
from clementinelead.processes import decision_log
from clementinelead.processes import http_site
from clementinelead.processes import known_targets
from clementinelead.processes import metrics_page
from clementinelead.processes import relay_node
from clementinelead.processes import relay_settings
from clementinelead.processes import route_watch
from clementinelead.processes import sockets
from clementinelead.relays import completeness
from clementinelead.relays import formats
from clementinelead.relays import intake
from clementinelead.relays import outcomes
from clementinelead.relays import routes
from clementinelead.relays import steering
from clementinelead.telemetry import logs

__all__ = ["RelayBalancer"]

BEHIND_LINES_PER_S = 4.0
"""Lines a second on being behind and no longer so."""

TURN_STEPS = 64
"""Datagrams handled before other work of the process gets a turn."""

SAME_START_MS = 10_000
"""How much earlier a side process may have started in the same loss of all.

Milliseconds by clocks that may differ by seconds.
"""

QUIET_S = 0.7
"""Time without callers' packets after which a stop may go on, seconds."""

MIN_STOP_S = 1.2
"""Time in which the fabric notices that a process is not ready, seconds."""

STOP_MARGIN_S = 1.0
"""Time left for the end of a process, seconds."""


class RelayBalancer:
    """Wires the steering decisions to sockets and members.

    Attributes:
        node: Gossip and routes.
        steering: The decisions.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        callers_address: tuple[str, int],
        packet_format: formats.PacketFormat,
        source: route_watch.RouteSource,
        keys: contact_keys.ContactKeys,
        bound: sockets.PreboundSockets,
    ):
        """Prepares the process.

        Args:
            settings: Settings.
            callers_address: Where the fabric hands over callers' packets.
            packet_format: Format of the packets.
            source: Where new routes come from.
            keys: Contact keys in the store.
            bound: Sockets that have been bound already.
        """
        self._bound = bound
        self._settings = settings
        self._callers_address = callers_address
        self.node = relay_node.RelayNode(
            settings, records.Role.BALANCER, (), self, bound
        )
        log = decision_log.DecisionLog(packet_format)
        self.steering = steering.Steering(
            packet_format,
            log.report,
            settings.zone,
            self.node.routes.former,
        )
        self._watch = route_watch.RouteWatch(self.node, source)
        generator = self.node.random
        self._side_count = contact_keys.SideCount()
        self._holder = contact_keys.ContactHolder(
            self.node, keys, self._side_count, generator
        )
        self._finder = contact_keys.ContactFinder(self.node, keys, generator)
        self._stopping = False
        self._last_packet = 0.0
        self._packet_format = packet_format
        self._turn: asyncio.Handle | None = None
        self._turn_due = 0.0
        self._behind = False
        self._behind_lines = logs.RateLimit(BEHIND_LINES_PER_S)
        self._targets = known_targets.KnownTargets(self.node.gossiper.table)
        self._completeness = completeness.Completeness()
        self._settling = False
        self._loop: asyncio.AbstractEventLoop
        self._callers: datagrams.DatagramSocket
        self._peers: datagrams.DatagramSocket
        self._intake: intake.Intake
        self.metrics = metrics_page.MetricsPage(settings.id, "balancer")
        self.metrics.count(
            "flow_decisions", self.steering.counts, "Flow decisions by outcome"
        )
        self.metrics.gauge(
            "flows_cached",
            lambda: self.steering.cached_flow_count,
            "Flows in the cache",
        )
        self.metrics.gauge(
            "routes_version",
            lambda: self.node.routes.table.version,
            "Routes in force",
        )

    @property
    def ready(self) -> bool:
        """Whether the fabric should hand packets to this process."""
        if self._stopping or not self.node.joining.joined or self.node.alone:
            return False
        return self.node.routes.table.version > 0

    def respond_ready(self, _: http_site.Request) -> http_site.Response:
        """Answers the fabric's question."""
        status = http_site.OK if self.ready else http_site.SERVICE_UNAVAILABLE
        return http_site.Response(status)

    async def run(self, stopping: asyncio.Event) -> None:
        """Runs until asked to stop, then until the fabric has turned away.

        Raises:
            OSError: A port is taken.
        """
        self._loop = asyncio.get_running_loop()
        address = (self._settings.address, self._settings.data_port)
        self._callers = datagrams.DatagramSocket(
            self._bound.claim_udp(self._callers_address)
        )
        self._peers = datagrams.DatagramSocket(self._bound.claim_udp(address))
        self._intake = intake.Intake(
            self.steering, self._packet_format, self._peers, self._callers
        )
        self.metrics.count(
            "packets_out_of_turn",
            self._intake.counts,
            "Opening packets dropped or taken newest first, by cause",
        )
        self.metrics.gauge(
            "packets_waiting",
            lambda: self._intake.backlog,
            "Callers' packets read and not handled",
        )
        await self.node.start(stopping)
        try:
            self._callers.start(self._loop, self._on_callers)
            self._peers.start(self._loop, self._on_readable)
            self.node.keep("watch of the routes", self._watch.run)
            self.node.keep("contact key", self._holder.run)
            self.node.keep("search for peers", self._finder.run)
            useful_until = time.monotonic() + completeness.SETTLE_TIME_S
            self.node.keep(
                "count of side processes",
                functools.partial(
                    self._finder.count, self._side_count, useful_until
                ),
            )
            await stopping.wait()
            await self._drain()
        finally:
            self._callers.close(self._loop)
            self._peers.close(self._loop)
            await self.node.stop()

    async def _drain(self) -> None:
        """Forwards on until the fabric no longer sends anything."""
        self._stopping = True
        loguru.logger.bind(flows=self.steering.cached_flow_count).info(
            "draining"
        )
        self.node.announce(state=records.State.LEAVING)
        started = time.monotonic()
        latest = started + max(0.0, self._settings.stop_s - STOP_MARGIN_S)
        await asyncio.sleep(min(MIN_STOP_S, latest - started))
        while (now := time.monotonic()) < latest:
            if now - self._last_packet >= QUIET_S:
                return
            await asyncio.sleep(QUIET_S / 4)

    # Datagrams.

    def _on_callers(self) -> None:
        self._last_packet = time.monotonic()
        self._on_readable()

    def _on_readable(self) -> None:
        self._intake.on_readable()
        self._take_turn()

    def _take_turn(self) -> None:
        """Handles what waits, the most urgent first, but not all at once."""
        idle = False
        for _ in range(TURN_STEPS):
            try:
                several = self._intake.process_next(time.monotonic())
            except Exception as error:
                self._callers.report_unhandled(error)
                continue
            if several is None:
                idle = True
                break
            self._send(several)
        self._note_behind()
        if not idle:
            self._plan_turn(0.0)
        elif self.steering.busy:
            self._plan_turn(intake.ACTIVE_TICK_INTERVAL_S)

    def _plan_turn(self, pause_s: float) -> None:
        """Lets the next turn begin after a pause at most."""
        due = self._loop.time() + pause_s
        if self._turn is not None:
            if self._turn_due <= due:
                return
            self._turn.cancel()
        self._turn_due = due
        self._turn = self._loop.call_later(pause_s, self._begin_turn)

    def _begin_turn(self) -> None:
        self._turn = None
        self._take_turn()

    def _note_behind(self) -> None:
        """Logs when more comes than is handled, and when no longer."""
        if self._behind == self._intake.behind:
            return
        self._behind = self._intake.behind
        if not self._behind_lines.allows(self._loop.time()):
            return
        loguru.logger.bind(
            waiting=self._intake.backlog,
            left_out=self._behind_lines.take_left_out(),
            **self._intake.counts.by_cause,
        ).info("behind with packets" if self._behind else "no longer behind")

    def _send(self, several: list[outcomes.Outcome]) -> None:
        for outcome in several:
            match outcome:
                case outcomes.ToPeer(address, data):
                    self._peers.send(data, address)
                case outcomes.ToCaller(address, data):
                    self._callers.send(data, address)

    # What the node learns.

    def on_tick(self, now: float) -> None:
        """Lets time pass for the decisions."""
        self._send(self.steering.on_tick(now))
        if self.steering.busy:
            self._plan_turn(intake.ACTIVE_TICK_INTERVAL_S)
        if self.node.joining.joined and not self._settling:
            self._settling = True
            self._completeness.on_joined(now)
            if self.node.gossiper.tombstones.lost_side_ids:
                self._completeness.on_died(now)
        count = self._side_count
        count.complete = self._completeness.was_complete(now)
        if not count.complete:
            sides = self.node.count_sides(now)
            self._completeness.update_from_count(
                sides.serving,
                sides.missing,
                count.before,
                now,
                self._sides_started_anew(),
            )
        self._tell_completeness()

    def _sides_started_anew(self) -> bool:
        """Tells whether all side processes have started with this one."""
        own = self.node.gossiper.own
        return all(
            record.incarnation >= own.incarnation - SAME_START_MS
            for record in self.node.gossiper.table.living()
            if record.role is records.Role.SIDE
        )

    def _tell_completeness(self) -> None:
        view = self._completeness
        self.steering.set_complete_from(view.complete_from)
        self.steering.set_denials_conclusive_from(view.denials_conclusive_from)

    def on_routes(self, table: routes.RoutingTable, now: float) -> None:
        """Puts new routes in force."""
        self.steering.set_routes(table)

    def on_members(self, changes: list[members.Change], now: float) -> None:
        """Takes over the targets of the services that changed."""
        for change in changes:
            record = change.new
            if record.role is not records.Role.SIDE:
                continue
            if self._settling:
                self._unsettle(change, now)
            loguru.logger.bind(
                member=record.id,
                state=record.state.name.lower(),
                health=record.health.name.lower(),
                incarnation=record.incarnation,
                sequence=record.sequence,
                service=",".join(record.services),
            ).info("member changed")
        for service, targets in self._targets.update(changes).items():
            self.steering.set_targets(service, targets)

    def _unsettle(self, change: members.Change, now: float) -> None:
        """Puts off resets while flows may be where nobody can be asked."""
        record = change.new
        if record.state is records.State.LEAVING:
            return  # its target is gone, and the flows with it
        if record.health is records.Health.DEAD:
            # One that died while starting was beside no target, or has been
            # silent for longer than callers wait.
            if record.state is not records.State.COLD:
                self._completeness.on_died(now)
        elif change.old is None:
            self._completeness.on_appeared(now)
        self._tell_completeness()
