"""The decisions of a side process beside a target that answers for itself.

The target is the truth on its flows: it returns what it does not hold. This
process knows from the packets of both directions which flows the target has,
and how much work it has under way. After a start it may not know all of them;
until it does, an unknown packet is handed to the target, which returns it if
it is not its own.
"""

import collections.abc

from clementinelead.relays import announcements
from clementinelead.relays import answering
from clementinelead.relays import beginnings
from clementinelead.relays import formats
from clementinelead.relays import frames
from clementinelead.relays import handed_packets
from clementinelead.relays import held_flows
from clementinelead.relays import outcomes
from clementinelead.relays import target_packets
from clementinelead.relays import workload
from clementinelead.telemetry import counters

__all__ = ["Holding"]

EXPIRY_INTERVAL_S = 1.0

LATENCY_BOUNDS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)

_Kind = frames.Kind
_Address = tuple[str, int]


class Holding:
    """Decides about the packets of one target's flows.

    Attributes:
        lifecycle: State of the target.
        work: Its load.
        counts: Decisions by outcome.
        latencies: Time from request to answer, seconds.
        leaving: Whether this process is about to stop.
        beginning: Whether the target may have flows of before.
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
        self.work = workload.Workload(now)
        self.counts = counters.CounterSet()
        self.latencies = counters.Histogram(LATENCY_BOUNDS_S)
        self.leaving = False
        self.beginning = beginnings.Beginning(now, started_ms)
        self._format = packet_format
        self._number = frames.service_number(service)
        self._report = report
        self._flows = held_flows.HeldFlows(self.work)
        self._answering = answering.Answering(
            self._flows, self.beginning, self.counts
        )
        self._handed = handed_packets.HandedPackets()
        self._target_packets = target_packets.TargetPackets(
            packet_format,
            self._number,
            self._flows,
            self._handed,
            self.beginning,
            self.counts,
            self.latencies,
            self._log,
        )
        self._next_expiry = now

    @property
    def flows(self) -> int:
        """Flows that the target holds."""
        return len(self._flows.by_key)

    @property
    def working(self) -> int:
        """Requests under way or expected."""
        return self.work.estimate.active_flows

    @property
    def accepting(self) -> bool:
        """Whether the target takes new flows."""
        return self.lifecycle.accepting and not self.leaving

    # What the target says of itself.

    def heartbeat(
        self, announcement: announcements.Announcement, now: float
    ) -> announcements.Verdict:
        """Takes over a heartbeat of the target.

        Args:
            announcement: The heartbeat.
            now: Present time, seconds.
        """
        known = self.lifecycle.current
        verdict = self.lifecycle.heartbeat(announcement)
        if verdict is announcements.Verdict.STARTED:
            self.work.configure(announcement.slots, announcement.warmup_s, now)
            if known is not None:
                self._flows.doubt(now)
            self.beginning.on_target(announcement, known is not None, now)
        return verdict

    def on_no_target(self, now: float) -> bool:
        """Takes over that nothing listens where the target would.

        Args:
            now: Present time, seconds.

        Returns:
            Whether that is believed; not if a target has been heard.
        """
        return self.beginning.on_no_target(now)

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
            return self._answering.deny(frame, source)
        match frame.kind:
            case _Kind.PACKET | _Kind.PROBE:
                return self._on_packet(frame, source, now)
            case _Kind.PLACE:
                return self._on_place(frame, source, now)
            case _Kind.ASK_LOAD:
                accepting = self.accepting
                return [self._answering.load(frame, source, accepting, now)]
            case _Kind.ASK_HELD:
                return self._answering.held(frame, source, now)
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
            return [answering.answer(_Kind.REFUSED, frame, source)]
        if flow is not None:
            flow.sender = source
        elif self._handed.opener(key) is None:
            objective_ms = frame.value
            if objective_ms and self.work.busy(objective_ms, now):
                self.counts.add("deferred")
                self._log("acceptance", "deferred", key, now)
                load = self.work.load_ms(now)
                return [
                    answering.answer(_Kind.DEFERRED, frame, source, value=load)
                ]
            self._flows.offer(key, now)
        self._handed.open(key, source, now)
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
            self._handed.probe(key, source, now)
        if not flow.settled and not segment.opens:
            if not flow.follows(segment):
                self._flows.forget(key, now)
                self.counts.add("opened_elsewhere")
                self._log("flow", "opened elsewhere", key, now)
                return [
                    answering.answer(
                        _Kind.NOT_HELD, frame, source, frame.payload
                    )
                ]
            flow.settled = True
        flow.sender = source
        flow.last = now
        if segment.length and flow.is_new(segment):
            self._flows.note_request(key, flow, now)
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
        if self.beginning.over(now):
            self.counts.add("not_held")
            return [
                answering.answer(_Kind.NOT_HELD, frame, source, frame.payload)
            ]
        self._flows.restore(frame.key, source, now)
        self._handed.probe(frame.key, source, now)
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
    def probing(self) -> bool:
        """Whether ``on_tick`` is to be called every few milliseconds."""
        return self._handed.probing or self._flows.waiting

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
        current = self.lifecycle.current
        inputs: dict[str, object] = {
            "state": self.lifecycle.state,
            "leaving": self.leaving,
            "target": current.id if current else None,
            "working": self.working,
            "flows": self.flows,
            "service_ms": round(self.work.estimate.service_s * 1000, 1),
            "load_ms": self.work.load_ms(now),
            **more,
        }
        self._report(outcomes.Decision(event, outcome, key, inputs))
