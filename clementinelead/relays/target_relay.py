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
from clementinelead.relays import formats
from clementinelead.relays import frames
from clementinelead.relays import held_flows
from clementinelead.relays import outcomes
from clementinelead.relays import outstanding_packets
from clementinelead.relays import placement_shares
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
        self._room = placement_shares.ReservedRoom()
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
        self._room.set_priorities(table.priorities(self._service))

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
                return self._on_packet(frame, source, now)
            case _Kind.PLACE:
                return self._on_opening_packet(frame, source, now)
            case _Kind.QUERY_LOAD:
                return [
                    self._responder.reply_load(
                        frame,
                        source,
                        self.accepting,
                        self._limit_allows_flow(now),
                        now,
                        self._objective_share(frame, now),
                    )
                ]
            case _Kind.QUERY_HELD:
                return self._responder.reply_held(frame, source, now)
        self.counts.add("foreign_frame")
        return []

    def _limit_allows_flow(self, now: float) -> bool:
        """Returns whether the warm-up limit allows another opening packet."""
        first_flows_known = self.startup.all_flows_recorded(now)
        return self._limit.allows_flow(first_flows_known, now)

    def _objective_share(self, frame: frames.Frame, now: float) -> float:
        """Returns the share of its objective that a new flow may need."""
        route = self.route_of(frame.key)
        share = self._room.objective_share(route, now)
        if self.workload.busy(frame.value, now, share):
            self._room.record_busy(route, frame.value, now)
        return share

    def _on_opening_packet(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Sends an opening packet to the target, or refuses or defers it."""
        key = frame.key
        flow = self._flows.by_key.get(key)
        if not self.accepting and not (flow is not None and flow.is_open):
            cause = "refused_evacuated" if self.evacuated else "refused"
            self.counts.add(cause)
            self._log("acceptance", "refused", key, now)
            return [query_replies.reply(_Kind.REFUSED, frame, source)]
        if not self._limit_allows_flow(now):
            return self._defer(frame, source, "deferred_warmup", now)
        if flow is not None:
            flow.balancer = source
        elif self._outstanding.opening_sender(key) is None:
            objective_ms = frame.value
            if objective_ms and self.workload.busy(objective_ms, now):
                return self._defer(frame, source, "deferred", now)
            share = self._objective_share(frame, now)
            if objective_ms and self.workload.busy(objective_ms, now, share):
                return self._defer(frame, source, "deferred_room_kept", now)
            self._flows.begin_accept(key, now)
            self._room.record_placed(self.route_of(key))
        self._outstanding.add_opening(key, source, now)
        self._limit.add_flow(now)
        return [outcomes.ToTarget(frame.payload)]

    def _defer(
        self, frame: frames.Frame, source: _Address, cause: str, now: float
    ) -> list[outcomes.Outcome]:
        """Tells a balancer that an opening packet was not sent to the target.

        Args:
            frame: The opening packet.
            source: Address of the balancer.
            cause: Reason, for counts and the log.
            now: Present time, seconds.
        """
        self.counts.add(cause)
        self._log("acceptance", "deferred", frame.key, now, cause=cause)
        load_ms = self.workload.load_ms(now)
        return [
            query_replies.reply(_Kind.DEFERRED, frame, source, value=load_ms)
        ]

    def _on_packet(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Sends a packet of a recorded flow to the target."""
        key = frame.key
        segment = self._format.from_caller(frame.payload)
        if segment is None or segment.key != key:
            self.counts.add("malformed_packet")
            return []
        flow = self._flows.by_key.get(key)
        if flow is None:
            return self._on_unrecorded_flow(frame, segment, source, now)
        if frame.kind is _Kind.PROBE:
            self._outstanding.add_probe(key, source, now)
        if not flow.chosen_by_caller and not segment.opens:
            if not flow.is_acknowledged_by(segment):
                self._flows.remove(key, now)
                self.counts.add("opened_elsewhere")
                self._log("flow", "opened elsewhere", key, now)
                reply = query_replies.reply(
                    _Kind.NOT_HELD, frame, source, frame.payload
                )
                return [reply, *self._gate.on_ends(now)]
            flow.chosen_by_caller = True
        flow.balancer = source
        flow.last_packet_at = now
        if self._gate.in_use and (
            segment.length or segment.resets or flow.request_queued
        ):
            is_probe = frame.kind is _Kind.PROBE
            return self._gate.on_packet(
                segment, frame.payload, flow, is_probe, now
            )
        if segment.length and flow.record_new_data(segment):
            self._flows.begin_request(key, flow, now)
        if segment.closes or segment.resets:
            flow.closing = True
        return [outcomes.ToTarget(frame.payload)]

    def _on_unrecorded_flow(
        self,
        frame: frames.Frame,
        segment: formats.Segment,
        source: _Address,
        now: float,
    ) -> list[outcomes.Outcome]:
        """Handles a packet of a flow that is not recorded."""
        if segment.opens:
            return self._on_opening_packet(frame, source, now)
        returned = self._outstanding.was_returned(frame.key)
        if returned or self.startup.all_flows_recorded(now):
            self.counts.add("not_held")
            return [
                query_replies.reply(
                    _Kind.NOT_HELD, frame, source, frame.payload
                )
            ]
        flow = self._flows.add_unconfirmed(frame.key, source, now)
        if self._gate.in_use and segment.length:
            # A copy of the data must not be held as a new request: the target
            # would not answer it again.
            flow.record_new_data(segment)
        self._outstanding.add_probe(frame.key, source, now)
        self.counts.add("probed")
        return [outcomes.ToTarget(frame.payload)]

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
