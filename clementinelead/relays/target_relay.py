"""Decisions of a side process about the packets of its target's flows.

The target answers callers itself and is authoritative for its flows: it
returns the packets of flows that it does not hold. From the packets in both
directions the side process records the target's flows and its requests under
way. After a start these records may be incomplete. Until they are complete, a
packet of an unrecorded flow is sent to the target, which returns it if it does
not hold the flow.
"""

import collections.abc

from clementinelead.relays import announcements
from clementinelead.relays import caller_packets
from clementinelead.relays import formats
from clementinelead.relays import frames
from clementinelead.relays import held_flows
from clementinelead.relays import opening_packets
from clementinelead.relays import outcomes
from clementinelead.relays import outstanding_packets
from clementinelead.relays import query_replies
from clementinelead.relays import request_gate
from clementinelead.relays import routes
from clementinelead.relays import startup_recovery
from clementinelead.relays import target_packets
from clementinelead.relays import warmup_limit
from clementinelead.relays import workload
from clementinelead.telemetry import counters

__all__ = ["TargetRelay"]

EXPIRY_INTERVAL_S = 1.0
"""Interval at which expired flows and packets are removed, seconds."""

LATENCY_BOUNDS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
"""Upper bounds of the buckets of the latency histogram, seconds."""

_APPLIED = (
    announcements.UpdateResult.NEW_INCARNATION,
    announcements.UpdateResult.REINSTATED,
    announcements.UpdateResult.CHANGED,
    announcements.UpdateResult.UNCHANGED,
)
_Kind = frames.Kind
_Address = tuple[str, int]


class TargetRelay:
    """Relays packets between balancers, one target and its callers.

    Attributes:
        lifecycle: State of the target, from its heartbeats.
        workload: Workload of the target.
        counts: Decisions by cause.
        latencies: Time from each request to its answer, seconds.
        stopping: Whether this process is about to stop.
        evacuated: Whether the zone of the target is evacuated.
        startup: Whether all flows of the target are recorded after the start.
    """

    def __init__(
        self,
        packet_format: formats.PacketFormat,
        service: str,
        report: collections.abc.Callable[[outcomes.Decision], None],
        now: float,
        started_ms: int,
        limit: warmup_limit.WarmupLimit | None = None,
        heartbeat_s: float = announcements.DEFAULT_HEARTBEAT_S,
    ):
        """Starts without a target.

        Args:
            packet_format: Format of the callers' packets.
            service: Name of the service that the target is to serve.
            report: Called with each decision that is to be logged.
            now: Present time, seconds.
            started_ms: Start of this process, milliseconds since 1970.
            limit: Limit of new flows while the target warms up, None for no
                limit.
            heartbeat_s: Interval of the target's heartbeats, seconds.
        """
        self.lifecycle = announcements.TargetLifecycle(service, heartbeat_s)
        self.workload = workload.Workload(now)
        self._limit = limit or warmup_limit.WarmupLimit(None, 0.0, now)
        self.counts = counters.CounterSet()
        self.latencies = counters.Histogram(LATENCY_BOUNDS_S)
        self.stopping = False
        self.evacuated = False
        self.startup = startup_recovery.StartupRecovery(now, started_ms)
        self._format = packet_format
        self._service = service
        self._route_by_address: dict[bytes, routes.Route] = {}
        self._service_number = frames.service_number(service)
        self._report = report
        self._flows = held_flows.HeldFlows(self.workload)
        self._outstanding = outstanding_packets.OutstandingPackets()
        self._responder = query_replies.QueryResponder(
            self._flows, self._outstanding, self.startup, self.counts
        )
        self._target_packet_handler = target_packets.TargetPacketHandler(
            packet_format,
            self._service_number,
            self._flows,
            self._outstanding,
            self.startup,
            self.counts,
            self.latencies,
            self._log,
        )
        self._gate = request_gate.RequestGate(
            self._flows, self.route_of, self.counts, self._log
        )
        self._opening_handler = opening_packets.OpeningPacketHandler(
            self._flows,
            self._outstanding,
            self.startup,
            self.workload,
            self._limit,
            self._refusal_cause,
            self.route_of,
            self.counts,
            self._log,
        )
        self._caller_packet_handler = caller_packets.CallerPacketHandler(
            packet_format,
            self._flows,
            self._outstanding,
            self.startup,
            self._gate,
            self._opening_handler,
            self.counts,
            self._log,
        )
        self._next_expiry_at = now

    @property
    def flow_count(self) -> int:
        """Number of recorded flows of the target."""
        return len(self._flows.by_key)

    @property
    def work_under_way(self) -> int:
        """Number of requests under way or expected."""
        return self.workload.estimate.active_flows

    @property
    def held_request_count(self) -> int:
        """Number of requests held beside the target."""
        return self._gate.held_count

    @property
    def accepting(self) -> bool:
        """Whether the target accepts new flows through this process."""
        return (
            self.lifecycle.accepting
            and not self.stopping
            and not self.evacuated
        )

    def _refusal_cause(self) -> str | None:
        """Returns why new flows are refused, for counts; None if they aren't."""
        if self.accepting:
            return None
        return "refused_evacuated" if self.evacuated else "refused"

    def set_evacuated(self, evacuated: bool) -> None:
        """Sets whether the zone of the target is evacuated.

        Args:
            evacuated: Whether the target gets no new flows.
        """
        if self.evacuated and not evacuated:
            self._limit.on_evacuation_end()
        self.evacuated = evacuated

    def set_warmup_rate(self, flows_per_s: float) -> None:
        """Sets the rate of new flows that the target bears while it is cold.

        Args:
            flows_per_s: The rate, 0 for no limit.
        """
        self._limit.flows_per_s = flows_per_s

    def set_routes(self, table: routes.RoutingTable) -> None:
        """Applies the routes in force: warm-up rate and priorities.

        Requests are held only if routes of the service differ in priority.

        Args:
            table: The routes.
        """
        self.set_warmup_rate(table.warmup_flows_per_s(self._service))
        self._route_by_address = table.by_address
        if not self.stopping:
            self._gate.set_priorities(table.priorities(self._service))
        self._opening_handler.room.set_priorities(
            table.priorities(self._service)
        )

    def route_of(self, key: bytes) -> routes.Route | None:
        """Returns the route of a flow, None if no route in force has it.

        Args:
            key: Flow key.
        """
        return self._route_by_address.get(self._format.service_address(key))

    # Reports of the target.

    def on_heartbeat(
        self, heartbeat: announcements.Heartbeat, now: float
    ) -> announcements.UpdateResult:
        """Applies a heartbeat of the target.

        The first heartbeat of an incarnation resets the workload and marks
        all recorded flows unconfirmed.

        Args:
            heartbeat: The heartbeat.
            now: Present time, seconds.

        Returns:
            Whether the heartbeat was applied and what it changed.
        """
        replaced = self.lifecycle.last_heartbeat is not None
        result = self.lifecycle.on_heartbeat(heartbeat, now)
        match result:
            case announcements.UpdateResult.NEW_INCARNATION:
                self._begin_incarnation(heartbeat, replaced, now)
                self.startup.on_incarnation(heartbeat, replaced, now)
            case announcements.UpdateResult.REINSTATED:
                self._begin_incarnation(heartbeat, True, now)
                self.startup.on_reinstated()
            case (
                announcements.UpdateResult.CHANGED
                | announcements.UpdateResult.UNCHANGED
            ):
                self.startup.on_further_heartbeat()
        if result in _APPLIED:
            self.workload.set_warmup(heartbeat.warmup_s, now)
            self._limit.on_heartbeat(heartbeat.warmup_s, now)
        return result

    def _begin_incarnation(
        self, heartbeat: announcements.Heartbeat, replaced: bool, now: float
    ) -> None:
        """Resets the workload, and the flows if there was another incarnation.

        Args:
            heartbeat: First heartbeat of the incarnation.
            replaced: Whether a heartbeat of another one was applied before.
            now: Present time, seconds.
        """
        self.workload.configure(heartbeat.slots, heartbeat.warmup_s, now)
        self._gate.configure(self.workload.estimate.limits.slots)
        if replaced:
            self._gate.on_new_incarnation(now)
            self._flows.on_new_incarnation(now)

    def on_target_absent(self, now: float) -> bool:
        """Applies the observation that no target listens at its address.

        Args:
            now: Present time, seconds.

        Returns:
            Whether it was applied; False if the target has already sent a
            heartbeat or a packet.
        """
        return self.startup.on_target_absent(now)

    # Datagrams of balancers.

    def on_frame(
        self, data: bytes, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Handles a datagram of a balancer.

        Malformed and unexpected datagrams are counted and dropped.

        Args:
            data: The datagram.
            source: Address that it came from.
            now: Present time, seconds.

        Returns:
            What to send.
        """
        frame = frames.decode(data)
        if frame is None:
            self.counts.add("malformed_frame")
            return []
        if frame.service != self._service_number:
            return self._responder.reply_for_other_service(frame, source)
        match frame.kind:
            case _Kind.PACKET | _Kind.PROBE:
                return self._caller_packet_handler.on_packet(frame, source, now)
            case _Kind.PLACE:
                return self._opening_handler.on_packet(frame, source, now)
            case _Kind.QUERY_LOAD:
                return [
                    self._responder.reply_load(
                        frame,
                        source,
                        self.accepting,
                        self._opening_handler.limit_allows_flow(now),
                        now,
                        self._opening_handler.objective_share(frame, now),
                    )
                ]
            case _Kind.QUERY_HELD:
                return self._responder.reply_held(frame, source, now)
        self.counts.add("foreign_frame")
        return []

    # Packets of the target.

    def on_target_packet(
        self, data: bytes, now: float
    ) -> list[outcomes.Outcome]:
        """Handles a packet that the target sent.

        Args:
            data: The packet.
            now: Present time, seconds.

        Returns:
            What to send.
        """
        sends = self._target_packet_handler.on_packet(data, now)
        if self._flows.ends:
            sends += self._gate.on_ends(now)
        return sends

    # Timers.

    @property
    def needs_fast_ticks(self) -> bool:
        """Whether ``on_tick`` must be called every few milliseconds."""
        return (
            self._outstanding.has_probes
            or self._flows.has_pending_accepts
            or self._gate.held_count > 0
        )

    def on_tick(self, now: float) -> list[outcomes.Outcome]:
        """Applies the timeouts that have passed.

        Args:
            now: Present time, seconds.

        Returns:
            What to send.
        """
        sends = self._target_packet_handler.on_tick(now)
        self._flows.on_tick(now)
        if now >= self._next_expiry_at:
            self._next_expiry_at = now + EXPIRY_INTERVAL_S
            self._expire(now)
        if self._gate.in_use:
            sends += self._gate.on_tick(now)
        return sends

    def flush_requests(self, now: float) -> list[outcomes.Outcome]:
        """Forwards all held requests, for a planned stop of this process.

        Args:
            now: Present time, seconds.

        Returns:
            What to send.
        """
        self._gate.set_priorities(())
        return self._gate.on_tick(now)

    def _expire(self, now: float) -> None:
        """Removes expired flows and opening packets."""
        self._flows.expire(now)
        self._outstanding.expire(now)

    def _log(
        self,
        event: str,
        outcome: str,
        key: bytes,
        now: float,
        **extra: object,
    ) -> None:
        """Reports a decision with the state and the load of the target."""
        heartbeat = self.lifecycle.last_heartbeat
        inputs: dict[str, object] = {
            "state": self.lifecycle.state,
            "leaving": self.stopping,
            "evacuated": self.evacuated,
            "target": heartbeat.id if heartbeat else None,
            "working": self.work_under_way,
            "flows": self.flow_count,
            "service_ms": round(self.workload.estimate.service_s * 1000, 1),
            "load_ms": self.workload.load_ms(now),
            **extra,
        }
        self._report(outcomes.Decision(event, outcome, key, inputs))
