"""Side process that relays packets to one target and reports its state."""

import asyncio
import time

import loguru

from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.processes import contact_keys
from clementinelead.processes import datagrams
from clementinelead.processes import decision_log
from clementinelead.processes import metrics_page
from clementinelead.processes import relay_node
from clementinelead.processes import relay_settings
from clementinelead.processes import sockets
from clementinelead.processes import target_presence
from clementinelead.relays import announcements
from clementinelead.relays import formats
from clementinelead.relays import outcomes
from clementinelead.relays import routes
from clementinelead.relays import target_relay
from clementinelead.relays import warmup_limit

__all__ = ["RelaySide"]

SHUTDOWN_WORK_TIMEOUT_S = 1.5
"""Longest wait of a graceful shutdown for requests under way, seconds.

Most requests end sooner; open feeds continue once the process has restarted.
"""

MAX_MISSED_HEARTBEATS = 3
"""Heartbeat intervals after the start within which a target is expected.

Without a heartbeat by then, no target is running. One heartbeat may be lost
while this process starts, and the next may be late.
"""

PAUSE_THRESHOLD_S = 0.5
"""Time between two ticks from which this process counts as paused, seconds.

It is ten tick intervals. Heartbeats that arrived in a pause are still unread,
so the pause does not count towards the missed heartbeats.
"""

SHUTDOWN_POLL_INTERVAL_S = 0.05
FAST_TICK_INTERVAL_S = 0.01

_STATE_BY_NAME = {
    "cold": records.State.COLD,
    "ready": records.State.READY,
    "draining": records.State.DRAINING,
    "leaving": records.State.LEAVING,
    "dead": records.State.LEAVING,
}


class RelaySide:
    """Connects the relay of one target to sockets, membership and metrics.

    Attributes:
        node: Membership and routes.
        target_relay: Decides on the packets of the target's flows.
        metrics: Metrics of this process.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        service: str,
        target: tuple[str, int],
        answers_address: tuple[str, int],
        packet_format: formats.PacketFormat,
        keys: contact_keys.ContactKeys,
        bound: sockets.PreboundSockets,
    ):
        """Creates the process without opening sockets.

        Args:
            settings: Settings of this process.
            service: Name of the service that the target serves.
            target: IP address and port at which the target receives packets.
            answers_address: IP address and port to which the target sends its
                packets.
            packet_format: Format of the callers' packets.
            keys: Contact keys in the store.
            bound: Sockets that are bound already.
        """
        self._bound = bound
        self._settings = settings
        self._service = service
        self._target = target
        self._answers_address = answers_address
        self.node = relay_node.RelayNode(
            settings, records.Role.SIDE, (service,), self, bound
        )
        self._finder = contact_keys.ContactFinder(
            self.node, keys, self.node.random
        )
        log = decision_log.DecisionLog(packet_format)
        self.target_relay = target_relay.TargetRelay(
            packet_format,
            service,
            log.report,
            time.monotonic(),
            time.time_ns() // 1_000_000,
            warmup_limit.WarmupLimit(
                settings.warmup_bound, settings.heartbeat_s, time.monotonic()
            ),
            settings.heartbeat_s,
        )
        self._heartbeat_awaited_since = time.monotonic()
        self._last_tick_at = self._heartbeat_awaited_since
        self._heartbeat_overdue_s = MAX_MISSED_HEARTBEATS * settings.heartbeat_s
        self._announced_state = records.State.COLD
        self._target_checked = asyncio.Event()
        self._scheduled_tick: asyncio.Handle | None = None
        self._loop: asyncio.AbstractEventLoop
        self._target_socket: datagrams.DatagramSocket
        self._peer_socket: datagrams.DatagramSocket
        self.metrics = metrics_page.MetricsPage(settings.id, "side")
        self.metrics.count(
            "flow_decisions",
            self.target_relay.counts,
            "Flow decisions by outcome",
        )
        self.metrics.gauge(
            "flows_held",
            lambda: self.target_relay.flow_count,
            "Flows of the target",
        )
        self.metrics.gauge(
            "work_under_way",
            lambda: self.target_relay.work_under_way,
            "Requests at work",
        )
        self.metrics.gauge(
            "requests_held",
            lambda: self.target_relay.held_request_count,
            "Requests held until it is their turn",
        )
        self.metrics.histogram(
            "answer_seconds",
            self.target_relay.latencies,
            "Time from a request to the first byte of its answer, seconds",
        )

    async def run(self, stopping: asyncio.Event) -> None:
        """Runs until requested to stop, then shuts down gracefully.

        Args:
            stopping: Set to request the stop; set here if a task fails.

        Raises:
            OSError: A port is in use.
            exceptions.TaskFailedError: A task failed.
        """
        self._loop = asyncio.get_running_loop()
        self._target_socket = datagrams.DatagramSocket(
            self._bound.claim_udp(self._answers_address), self._on_target_packet
        )
        address = (self._settings.address, self._settings.data_port)
        self._peer_socket = datagrams.DatagramSocket(
            self._bound.claim_udp(address), self._on_frame
        )
        await self.node.start(stopping)
        try:
            self._target_socket.start(self._loop)
            self._peer_socket.start(self._loop)
            self.node.supervise("contact search", self._finder.run)
            self.node.supervise("target check", self._check_target)
            await stopping.wait()
            await self._drain()
        finally:
            try:
                await self.node.stop()
            finally:
                self._close()

    def _close(self) -> None:
        """Closes the sockets, and cancels the tick that would use them."""
        self._target_socket.close(self._loop)
        self._peer_socket.close(self._loop)
        if self._scheduled_tick is not None:
            self._scheduled_tick.cancel()
            self._scheduled_tick = None

    async def _drain(self) -> None:
        """Refuses new flows and waits for the requests under way.

        Requests that are held are forwarded at once.
        """
        self.target_relay.stopping = True
        self._send(self.target_relay.flush_requests(time.monotonic()))
        if self.target_relay.lifecycle.last_heartbeat is None:
            await self._wait_for_target_check()
        target_ended = self._has_target_ended(time.monotonic())
        loguru.logger.bind(
            flows=self.target_relay.flow_count,
            working=self.target_relay.work_under_way,
            gone=target_ended,
        ).info("draining")
        self._announce(time.monotonic())
        deadline = time.monotonic() + min(
            SHUTDOWN_WORK_TIMEOUT_S, self._settings.stop_s
        )
        while not target_ended and time.monotonic() < deadline:
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)
            if self.target_relay.work_under_way == 0:
                return

    async def _check_target(self) -> None:
        """Denies all flows if no target listens when this process starts.

        Otherwise balancers could not reset lost flows before the heartbeats of
        the target are overdue.
        """
        is_absent = await target_presence.is_absent(self._target)
        self._target_checked.set()
        if not is_absent:
            return
        applied = self.target_relay.on_target_absent(time.monotonic())
        loguru.logger.bind(address=self._target[0], believed=applied).info(
            "no target listens"
        )

    async def _wait_for_target_check(self) -> None:
        """Waits for the end of the target check that runs after the start.

        If this process announced DRAINING without a target, searches would
        wait for it for seconds.
        """
        try:
            async with asyncio.timeout(target_presence.MAX_CHECK_S):
                await self._target_checked.wait()
        except TimeoutError:
            loguru.logger.info("stopped before the target was looked for")

    def _has_target_ended(self, now: float) -> bool:
        """Returns whether the target has ended, as far as is recorded.

        A target without any heartbeat counts as ended once its heartbeats are
        overdue, or at once if this process stops and found none listening.
        """
        lifecycle = self.target_relay.lifecycle
        if lifecycle.last_heartbeat is None:
            if (
                self.target_relay.stopping
                and self.target_relay.startup.target_absent
            ):
                return True
            return (
                now - self._heartbeat_awaited_since > self._heartbeat_overdue_s
            )
        return lifecycle.state in ("leaving", "dead")

    # Announcements of the target.

    def on_heartbeat(
        self, announcement: announcements.Heartbeat
    ) -> announcements.UpdateResult:
        """Applies a heartbeat of the target and announces a changed state.

        Args:
            announcement: The heartbeat.

        Returns:
            Whether the heartbeat was applied and what it changed.
        """
        now = time.monotonic()
        result = self.target_relay.on_heartbeat(announcement, now)
        if result is not announcements.UpdateResult.UNCHANGED:
            self._log_target(announcement.id, announcement.sequence, result)
        self._announce(now)
        return result

    def on_departure(
        self, departure: announcements.Departure
    ) -> announcements.UpdateResult:
        """Applies the departure of the target and announces a changed state.

        Args:
            departure: The departure.

        Returns:
            Whether the departure was applied and what it changed.
        """
        result = self.target_relay.lifecycle.on_departure(departure)
        self._log_target(departure.id, 0, result)
        self._announce(time.monotonic())
        return result

    def _log_target(
        self,
        identifier: str,
        sequence: int,
        result: announcements.UpdateResult,
    ) -> None:
        loguru.logger.bind(
            target=identifier,
            sequence=sequence,
            outcome=result.value,
            state=self.target_relay.lifecycle.state,
        ).info("target announced")

    def _announce(self, now: float) -> None:
        """Announces a changed state to the other processes."""
        # LEAVING means that no flows are left, so a process that is replaced
        # while its target runs must announce DRAINING instead.
        if self._has_target_ended(now):
            state = records.State.LEAVING
        elif self.target_relay.stopping:
            state = records.State.DRAINING
        else:
            state = _STATE_BY_NAME[self.target_relay.lifecycle.state]
        if state is self._announced_state or not self.node.gossiper.announced:
            return
        self._announced_state = state
        self.node.announce(state=state)

    # Datagrams.

    def _on_frame(self, data: bytes, source: tuple[str, int]) -> None:
        now = time.monotonic()
        self._send(self.target_relay.on_frame(data, source, now))

    def _on_target_packet(self, data: bytes, _: tuple[str, int]) -> None:
        now = time.monotonic()
        self._send(self.target_relay.on_target_packet(data, now))

    def _send(self, results: list[outcomes.Outcome]) -> None:
        for outcome in results:
            match outcome:
                case outcomes.ToPeer(address, data):
                    self._peer_socket.send(data, address)
                case outcomes.ToCaller(address, data):
                    self._peer_socket.send(data, address)
                case outcomes.ToTarget(data):
                    self._target_socket.send(data, self._target)
        if self._scheduled_tick is None and self.target_relay.needs_fast_ticks:
            self._scheduled_tick = self._loop.call_later(
                FAST_TICK_INTERVAL_S, self._fast_tick
            )

    def _fast_tick(self) -> None:
        self._scheduled_tick = None
        self._send(self.target_relay.on_tick(time.monotonic()))

    # Events of the node.

    def on_tick(self, now: float) -> None:
        """Runs the timers of the relay and announces a changed state.

        Args:
            now: Present time, seconds.
        """
        elapsed_s = now - self._last_tick_at
        self._last_tick_at = now
        if elapsed_s >= PAUSE_THRESHOLD_S:
            self._heartbeat_awaited_since += elapsed_s
        self._update_predecessor(now)
        self._send(self.target_relay.on_tick(now))
        self._announce(now)

    def _update_predecessor(self, now: float) -> None:
        """Updates whether a predecessor may have served the target."""
        no_predecessor = not self.node.joining.may_have_predecessor(now)
        if no_predecessor is self.target_relay.startup.no_predecessor:
            return
        self.target_relay.startup.no_predecessor = no_predecessor
        predecessor = self.node.gossiper.tombstones.predecessor
        loguru.logger.bind(
            first=no_predecessor,
            viewed=self.node.joining.has_full_view,
            incarnation=predecessor.incarnation if predecessor else None,
            state=predecessor.state.name.lower() if predecessor else None,
            health=predecessor.health.name.lower() if predecessor else None,
        ).info("predecessor")

    def on_routes(self, table: routes.RoutingTable, now: float) -> None:
        """Applies the warm-up rate and the priorities of the routes.

        The node serves the routes to peers: balancers that start while the
        store is unavailable fetch them here.

        Args:
            table: Routes in force.
            now: Present time, seconds.
        """
        self.target_relay.set_routes(table)

    def on_evacuations(self, zones: frozenset[str], now: float) -> None:
        """Refuses new flows while the own zone is evacuated.

        Args:
            zones: Names of the evacuated zones.
            now: Present time, seconds.
        """
        self.target_relay.set_evacuated(self._settings.zone in zones)

    def on_members(self, changes: list[members.Change], now: float) -> None:
        """Does nothing: a side process places no flows.

        Args:
            changes: Changes of membership records.
            now: Present time, seconds.
        """
