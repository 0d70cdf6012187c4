"""Balancer that relays callers' packets to side processes."""

import asyncio
import functools
import time

import loguru

from clementinelead.memberships import capacities
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

MAX_BACKLOG_LINES_PER_S = 4.0
"""Most log lines per second about the start or end of a backlog."""

MAX_BATCH_DATAGRAMS = 64
"""Datagrams handled before other tasks of the event loop run."""

SAME_START_TOLERANCE_MS = 10_000
"""Tolerance for side processes that started together with this one.

Milliseconds between incarnations, whose clocks may differ by seconds.
"""

QUIET_PERIOD_S = 0.7
"""Time without callers' packets after which a drain ends, seconds."""

MIN_DRAIN_S = 1.2
"""Time in which the fabric detects that a process is not ready, seconds."""

SHUTDOWN_MARGIN_S = 1.0
"""Part of the stop time that is reserved for closing the process, seconds."""


class RelayBalancer:
    """Connects the steering decisions to sockets, membership and metrics.

    Attributes:
        node: Membership and routes.
        steering: Decides on the packets of flows.
        metrics: Metrics of this process.
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
        """Creates the process without opening sockets.

        Args:
            settings: Settings of this process.
            callers_address: IP address and port to which the fabric sends the
                packets of callers.
            packet_format: Format of the callers' packets.
            source: Source of new routes.
            keys: Contact keys in the store.
            bound: Sockets that are bound already.
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
            self.node.routes.former_services,
            zone_spill_share=settings.zone_spill_share,
            further_queries_share=settings.further_queries_share,
        )
        self._route_watch = route_watch.RouteWatch(self.node, source)
        generator = self.node.random
        self._side_count = contact_keys.SideCount()
        self._contact_holder = contact_keys.ContactHolder(
            self.node, keys, self._side_count, generator
        )
        self._contact_finder = contact_keys.ContactFinder(
            self.node, keys, generator
        )
        self._stopping = False
        self._last_packet_at = 0.0
        self._packet_format = packet_format
        self._scheduled_batch: asyncio.Handle | None = None
        self._batch_due_at = 0.0
        self._was_behind = False
        self._was_overloaded = False
        self._backlog_log_limit = logs.RateLimiter(MAX_BACKLOG_LINES_PER_S)
        self._known_targets = known_targets.KnownTargets(
            self.node.gossiper.table
        )
        self._completeness = completeness.Completeness()
        self._is_joined = False
        self._loop: asyncio.AbstractEventLoop
        self._caller_socket: datagrams.DatagramSocket
        self._peer_socket: datagrams.DatagramSocket
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
        self.metrics.gauge(
            "lossy_share",
            lambda: self.steering.overload.lossy_share,
            "Share of the responding side processes that missed replies, too",
        )
        self.metrics.gauge(
            "overload_leaves",
            lambda: self.steering.overload.leave_count,
            "Times that this process left the rotation because of overload",
        )
        contact = self._route_watch.contact
        self.metrics.count(
            "store_watch_calls", contact.counts, "Calls of the watch by outcome"
        )
        self.metrics.gauge(
            "store_answer_age_seconds",
            lambda: contact.answer_age_s(time.monotonic()),
            "Time since the store last answered the watch of this process",
        )

    @property
    def ready(self) -> bool:
        """Whether the fabric should send packets to this process."""
        if (
            self._stopping
            or self.steering.overload.is_overloaded(time.monotonic())
            or not self.node.joining.joined
            or self.node.is_isolated
        ):
            return False
        return (
            self.node.routes.table.version > 0
            and self.node.evacuations.state.is_known
        )

    def serve_readiness(self, _: http_site.Request) -> http_site.Response:
        """Returns the response to a readiness check of the fabric."""
        status = http_site.OK if self.ready else http_site.SERVICE_UNAVAILABLE
        return http_site.Response(status)

    async def run(self, stopping: asyncio.Event) -> None:
        """Runs until requested to stop, then drains.

        Args:
            stopping: Set to request the stop; set here if a task fails.

        Raises:
            OSError: A port is in use.
            exceptions.TaskFailedError: A task failed.
        """
        self._loop = asyncio.get_running_loop()
        address = (self._settings.address, self._settings.data_port)
        self._caller_socket = datagrams.DatagramSocket(
            self._bound.claim_udp(self._callers_address)
        )
        self._peer_socket = datagrams.DatagramSocket(
            self._bound.claim_udp(address)
        )
        self._intake = intake.Intake(
            self.steering,
            self._packet_format,
            self._peer_socket,
            self._caller_socket,
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
            self._caller_socket.start(self._loop, self._on_callers)
            self._peer_socket.start(self._loop, self._on_readable)
            self.node.supervise("route watch", self._route_watch.run)
            self.node.supervise("contact key", self._contact_holder.run)
            self.node.supervise("contact search", self._contact_finder.run)
            count_deadline = time.monotonic() + completeness.SETTLE_TIME_S
            self.node.supervise(
                "side process count",
                functools.partial(
                    self._contact_finder.read_side_count,
                    self._side_count,
                    count_deadline,
                ),
            )
            await stopping.wait()
            await self._drain()
        finally:
            try:
                await self.node.stop()
            finally:
                self._close()

    def _close(self) -> None:
        """Closes the sockets, and cancels the batch that would read them."""
        self._caller_socket.close(self._loop)
        self._peer_socket.close(self._loop)
        if self._scheduled_batch is not None:
            self._scheduled_batch.cancel()
            self._scheduled_batch = None

    async def _drain(self) -> None:
        """Forwards packets until the fabric stops sending them."""
        self._stopping = True
        loguru.logger.bind(flows=self.steering.cached_flow_count).info(
            "draining"
        )
        self.node.announce(state=records.State.LEAVING)
        drain_started_at = time.monotonic()
        deadline = drain_started_at + max(
            0.0, self._settings.stop_s - SHUTDOWN_MARGIN_S
        )
        await asyncio.sleep(min(MIN_DRAIN_S, deadline - drain_started_at))
        while (now := time.monotonic()) < deadline:
            if now - self._last_packet_at >= QUIET_PERIOD_S:
                return
            await asyncio.sleep(QUIET_PERIOD_S / 4)

    # Datagrams.

    def _on_callers(self) -> None:
        self._last_packet_at = time.monotonic()
        self._on_readable()

    def _on_readable(self) -> None:
        self._intake.on_readable()
        self._process_batch()

    def _process_batch(self) -> None:
        """Handles a limited batch of datagrams, the most urgent first."""
        idle = False
        for _ in range(MAX_BATCH_DATAGRAMS):
            try:
                results = self._intake.process_next(time.monotonic())
            except Exception as error:
                self._caller_socket.report_unhandled(error)
                continue
            if results is None:
                idle = True
                break
            self._send(results)
        self._log_backlog()
        self._log_overload()
        if not idle:
            self._schedule_batch(0.0)
        elif self.steering.busy:
            self._schedule_batch(intake.ACTIVE_TICK_INTERVAL_S)

    def _schedule_batch(self, pause_s: float) -> None:
        """Schedules the next batch unless an earlier one is scheduled."""
        due = self._loop.time() + pause_s
        if self._scheduled_batch is not None:
            if self._batch_due_at <= due:
                return
            self._scheduled_batch.cancel()
        self._batch_due_at = due
        self._scheduled_batch = self._loop.call_later(
            pause_s, self._run_scheduled_batch
        )

    def _run_scheduled_batch(self) -> None:
        self._scheduled_batch = None
        self._process_batch()

    def _log_backlog(self) -> None:
        """Logs the start and the end of a backlog."""
        if self._was_behind == self._intake.behind:
            return
        self._was_behind = self._intake.behind
        if not self._backlog_log_limit.allows(self._loop.time()):
            return
        loguru.logger.bind(
            waiting=self._intake.backlog,
            left_out=self._backlog_log_limit.pop_suppressed_count(),
            **self._intake.counts.by_cause,
        ).info(
            "behind with packets" if self._was_behind else "no longer behind"
        )

    def _log_overload(self) -> None:
        """Logs when this process leaves the rotation, and when it returns."""
        overload = self.steering.overload
        overloaded = overload.is_overloaded(time.monotonic())
        if overloaded is self._was_overloaded:
            return
        self._was_overloaded = overloaded
        loguru.logger.bind(
            lossy_share=round(overload.lossy_share, 2),
            times=overload.leave_count,
        ).info("overloaded" if overloaded else "no longer overloaded")

    def _send(self, results: list[outcomes.Outcome]) -> None:
        for outcome in results:
            match outcome:
                case outcomes.ToPeer(address, data):
                    self._peer_socket.send(data, address)
                case outcomes.ToCaller(address, data):
                    self._caller_socket.send(data, address)

    # Events of the node.

    def on_tick(self, now: float) -> None:
        """Runs the timers of the decisions and updates the completeness.

        Args:
            now: Present time, seconds.
        """
        self._send(self.steering.on_tick(now))
        if self.steering.busy:
            self._schedule_batch(intake.ACTIVE_TICK_INTERVAL_S)
        if self.node.joining.joined and not self._is_joined:
            self._is_joined = True
            self._completeness.on_joined(now)
            if self.node.gossiper.tombstones.lost_side_ids:
                self._completeness.on_died(now)
        count = self._side_count
        count.is_complete = self._completeness.was_complete(now)
        if not count.is_complete:
            sides = self.node.count_side_processes(now)
            self._completeness.update_from_count(
                sides.serving,
                sides.missing,
                count.recorded,
                now,
                self._all_restarted_together(),
            )
        self._apply_completeness()

    def _all_restarted_together(self) -> bool:
        """Returns whether all side processes have started with this one."""
        own = self.node.gossiper.own
        return all(
            record.incarnation >= own.incarnation - SAME_START_TOLERANCE_MS
            for record in self.node.gossiper.table.living()
            if record.role is records.Role.SIDE
        )

    def _apply_completeness(self) -> None:
        view = self._completeness
        self.steering.set_complete_from(view.complete_from, view.some_missing)
        self.steering.set_denials_conclusive_from(view.denials_conclusive_from)

    def on_routes(self, table: routes.RoutingTable, now: float) -> None:
        """Puts new routes in force.

        Args:
            table: The routes.
            now: Present time, seconds.
        """
        self.steering.set_routes(table)

    def on_evacuations(self, zones: frozenset[str], now: float) -> None:
        """Puts evacuations in force.

        Args:
            zones: Names of the evacuated zones.
            now: Present time, seconds.
        """
        self.steering.set_evacuated_zones(zones)

    def _update_may_leave(self) -> None:
        """Updates whether this process may leave the rotation if overloaded."""
        self.steering.overload.may_leave = capacities.may_leave_rotation(
            self.node.gossiper.own, self.node.gossiper.table.by_id.values()
        )

    def on_members(self, changes: list[members.Change], now: float) -> None:
        """Updates the targets of services whose side processes have changed.

        Args:
            changes: Changes of membership records of any role.
            now: Present time, seconds.
        """
        if any(change.new.role is records.Role.BALANCER for change in changes):
            self._update_may_leave()
        for change in changes:
            record = change.new
            if record.role is not records.Role.SIDE:
                continue
            if self._is_joined:
                self._delay_resets(change, now)
            loguru.logger.bind(
                member=record.id,
                state=record.state.name.lower(),
                health=record.health.name.lower(),
                incarnation=record.incarnation,
                sequence=record.sequence,
                service=",".join(record.services),
            ).info("member changed")
        for service, targets in self._known_targets.update(changes).items():
            self.steering.set_targets(service, targets)

    def _delay_resets(self, change: members.Change, now: float) -> None:
        """Delays resets while flows may be held by unreachable processes."""
        record = change.new
        if record.state is records.State.LEAVING:
            return  # its target has ended, and with it the flows
        if record.health is records.Health.DEAD:
            # A side process that died while cold had no target, or has been
            # unresponsive for longer than callers wait.
            if record.state is not records.State.COLD:
                self._completeness.on_died(now)
        elif change.old is None:
            self._completeness.on_appeared(now)
        self._apply_completeness()
