"""The decisions of a side process beside a target that answers for itself.

The target is the truth on its flows: it returns what it does not hold. This
process knows from the packets of both directions which flows the target has,
and how much work it has under way. After a start it may not know all of them;
until it does, an unknown packet is handed to the target, which returns it if
it is not its own.
"""

import collections.abc

from clementinelead.relays import announcements
from clementinelead.relays import formats
from clementinelead.relays import frames
from clementinelead.relays import held_flows
from clementinelead.relays import outcomes
from clementinelead.relays import outstanding_packets
from clementinelead.relays import query_replies
from clementinelead.relays import startup_recovery
from clementinelead.relays import target_packets
from clementinelead.relays import workload
from clementinelead.telemetry import counters

__all__ = ["TargetRelay"]

EXPIRY_INTERVAL_S = 1.0

LATENCY_BOUNDS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)

_Kind = frames.Kind
_Address = tuple[str, int]


class TargetRelay:
    """Decides about the packets of one target's flows.

    Attributes:
        lifecycle: State of the target.
        workload: Its load.
        counts: Decisions by outcome.
        latencies: Time from request to answer, seconds.
        leaving: Whether this process is about to stop.
        startup: Whether the target may have flows of before.
    """

    def __init__(
        self,
        packet_format: formats.PacketFormat,
        service: str,
        report: collections.abc.Callable[[outcomes.Decision], None],
        now: float,
        started_ms: int,
    ):
        """Starts without a target.

        Args:
            packet_format: Format of the callers' packets.
            service: Name of the service that the target is to serve.
            report: Gets each decision for the log.
            now: Present time, seconds.
            started_ms: Start of this process, milliseconds since 1970.
        """
        self.lifecycle = announcements.TargetLifecycle(service)
        self.workload = workload.Workload(now)
        self.counts = counters.CounterSet()
        self.latencies = counters.Histogram(LATENCY_BOUNDS_S)
        self.stopping = False
        self.startup = startup_recovery.StartupRecovery(now, started_ms)
        self._format = packet_format
        self._number = frames.service_number(service)
        self._report = report
        self._flows = held_flows.HeldFlows(self.workload)
        self._responder = query_replies.QueryResponder(
            self._flows, self.startup, self.counts
        )
        self._handed = outstanding_packets.OutstandingPackets()
        self._target_packets = target_packets.TargetPacketHandler(
            packet_format,
            self._number,
            self._flows,
            self._handed,
            self.startup,
            self.counts,
            self.latencies,
            self._log,
        )
        self._next_expiry = now

    @property
    def flow_count(self) -> int:
        """Flows that the target holds."""
        return len(self._flows.by_key)

    @property
    def work_under_way(self) -> int:
        """Requests under way or expected."""
        return self.workload.estimate.working

    @property
    def accepting(self) -> bool:
        """Whether the target takes new flows."""
        return self.lifecycle.accepting and not self.stopping

    # What the target says of itself.

    def on_heartbeat(
        self, announcement: announcements.Heartbeat, now: float
    ) -> announcements.UpdateResult:
        """Takes over a heartbeat of the target.

        Args:
            announcement: The heartbeat.
            now: Present time, seconds.
        """
        known = self.lifecycle.last_heartbeat
        verdict = self.lifecycle.on_heartbeat(announcement)
        if verdict is announcements.UpdateResult.NEW_INCARNATION:
            self.workload.configure(
                announcement.slots, announcement.warmup_s, now
            )
            if known is not None:
                self._flows.on_new_incarnation(now)
            self.startup.on_incarnation(announcement, known is not None, now)
        return verdict

    def on_target_absent(self, now: float) -> bool:
        """Takes over that nothing listens where the target would.

        Args:
            now: Present time, seconds.

        Returns:
            Whether that is believed; not if a target has been heard.
        """
        return self.startup.on_target_absent(now)

    # Datagrams of balancers.

    def on_frame(
        self, data: bytes, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Returns what to do with a balancer's datagram.

        Args:
            data: The datagram.
            source: Address that it came from.
            now: Present time, seconds.
        """
        frame = frames.decode(data)
        if frame is None:
            self.counts.add("malformed_frame")
            return []
        if frame.service != self._number:
            return self._responder.reply_for_other_service(frame, source)
        match frame.kind:
            case _Kind.PACKET | _Kind.PROBE:
                return self._on_packet(frame, source, now)
            case _Kind.PLACE:
                return self._on_place(frame, source, now)
            case _Kind.QUERY_LOAD:
                accepting = self.accepting
                return [
                    self._responder.reply_load(frame, source, accepting, now)
                ]
            case _Kind.QUERY_HELD:
                return self._responder.reply_held(frame, source, now)
        self.counts.add("foreign_frame")
        return []

    def _on_place(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Hands an opening packet to the target if it takes new flows."""
        key = frame.key
        flow = self._flows.by_key.get(key)
        if flow is None and not self.accepting:
            self.counts.add("refused")
            self._log("acceptance", "refused", key, now)
            return [query_replies.reply(_Kind.REFUSED, frame, source)]
        if flow is not None:
            flow.balancer = source
        elif self._handed.opening_sender(key) is None:
            objective_ms = frame.value
            if objective_ms and self.workload.busy(objective_ms, now):
                self.counts.add("deferred")
                self._log("acceptance", "deferred", key, now)
                load = self.workload.load_ms(now)
                return [
                    query_replies.reply(
                        _Kind.DEFERRED, frame, source, value=load
                    )
                ]
            self._flows.begin_accept(key, now)
        self._handed.add_opening(key, source, now)
        return [outcomes.ToTarget(frame.payload)]

    def _on_packet(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Hands a packet of an open flow to the target."""
        key = frame.key
        segment = self._format.from_caller(frame.payload)
        if segment is None or segment.key != key:
            self.counts.add("malformed_packet")
            return []
        flow = self._flows.by_key.get(key)
        if flow is None:
            return self._on_unknown(frame, segment, source, now)
        if frame.kind is _Kind.PROBE:
            self._handed.add_probe(key, source, now)
        if not flow.chosen_by_caller and not segment.opens:
            if not flow.is_acknowledged_by(segment):
                self._flows.remove(key, now)
                self.counts.add("opened_elsewhere")
                self._log("flow", "opened elsewhere", key, now)
                return [
                    query_replies.reply(
                        _Kind.NOT_HELD, frame, source, frame.payload
                    )
                ]
            flow.chosen_by_caller = True
        flow.balancer = source
        flow.last_packet_at = now
        if segment.length and flow.record_new_data(segment):
            self._flows.begin_request(key, flow, now)
        if segment.closes or segment.resets:
            flow.closing = True
        return [outcomes.ToTarget(frame.payload)]

    def _on_unknown(
        self,
        frame: frames.Frame,
        segment: formats.Segment,
        source: _Address,
        now: float,
    ) -> list[outcomes.Outcome]:
        """Handles a packet of a flow that is not known here."""
        if segment.opens:
            return self._on_place(frame, source, now)
        if self.startup.all_flows_recorded(now):
            self.counts.add("not_held")
            return [
                query_replies.reply(
                    _Kind.NOT_HELD, frame, source, frame.payload
                )
            ]
        self._flows.add_unconfirmed(frame.key, source, now)
        self._handed.add_probe(frame.key, source, now)
        self.counts.add("probed")
        return [outcomes.ToTarget(frame.payload)]

    # Packets of the target.

    def on_target_packet(
        self, data: bytes, now: float
    ) -> list[outcomes.Outcome]:
        """Returns what to do with a packet that the target sent.

        Args:
            data: The packet.
            now: Present time, seconds.
        """
        return self._target_packets.on_packet(data, now)

    # The passing of time.

    @property
    def needs_fast_ticks(self) -> bool:
        """Whether ``on_tick`` is to be called every few milliseconds."""
        return self._handed.has_probes or self._flows.has_pending_accepts

    def on_tick(self, now: float) -> list[outcomes.Outcome]:
        """Returns what to do because time has passed.

        Args:
            now: Present time, seconds.
        """
        sends = self._target_packets.on_tick(now)
        self._flows.on_tick(now)
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_INTERVAL_S
            self._expire(now)
        return sends

    def _expire(self, now: float) -> None:
        self._flows.expire(now)
        self._handed.expire(now)

    def _log(
        self,
        event: str,
        outcome: str,
        key: bytes,
        now: float,
        **more: object,
    ) -> None:
        current = self.lifecycle.last_heartbeat
        inputs: dict[str, object] = {
            "state": self.lifecycle.state,
            "leaving": self.stopping,
            "target": current.id if current else None,
            "working": self.work_under_way,
            "flows": self.flow_count,
            "service_ms": round(self.workload.estimate.service_s * 1000, 1),
            "load_ms": self.workload.load_ms(now),
            **more,
        }
        self._report(outcomes.Decision(event, outcome, key, inputs))
