"""What a side process does with the packets that its target sends."""

import typing

from clementinelead.relays import formats
from clementinelead.relays import frames
from clementinelead.relays import held_flows
from clementinelead.relays import outcomes
from clementinelead.relays import outstanding_packets
from clementinelead.relays import startup_recovery
from clementinelead.telemetry import counters

__all__ = ["LogDecision", "TargetPacketHandler"]

SLOW_ANSWER_S = 0.1
"""An answer that takes longer gets a log line, seconds."""

_Kind = frames.Kind
_Address = tuple[str, int]


class LogDecision(typing.Protocol):
    """Logs a decision about a flow with the state of the target."""

    def __call__(
        self,
        event: str,
        outcome: str,
        key: bytes,
        now: float,
        **more: object,
    ) -> None:
        """Logs it; ``more`` are further inputs."""


class TargetPacketHandler:
    """Passes a target's packets on, and learns from them."""

    def __init__(
        self,
        packet_format: formats.PacketFormat,
        number: int,
        flows: held_flows.HeldFlows,
        handed: outstanding_packets.OutstandingPackets,
        startup: startup_recovery.StartupRecovery,
        counts: counters.CounterSet,
        latencies: counters.Histogram,
        log: LogDecision,
    ):
        """Takes what the packets change.

        Args:
            packet_format: Format of the packets.
            number: Number of the target's service.
            flows: Its flows.
            handed: Who waits for its answers.
            startup: Whether it may have other flows.
            counts: Counts decisions by outcome.
            latencies: Gets the time from each request to its answer, seconds.
            log: Logs decisions.
        """
        self._format = packet_format
        self._number = number
        self._flows = flows
        self._handed = handed
        self._startup = startup
        self._counts = counts
        self._latencies = latencies
        self._log = log

    def on_packet(self, data: bytes, now: float) -> list[outcomes.Outcome]:
        """Returns what to do with a packet that the target sent.

        Args:
            data: The packet.
            now: Present time, seconds.
        """
        segment = self._format.from_target(data)
        if segment is None:
            self._counts.add("malformed_packet")
            return []
        if segment.returned:
            return self._on_returned(segment, data, now)
        self._startup.on_target_packet()
        return self._on_answer(segment, data, now)

    def _on_returned(
        self, segment: formats.Segment, data: bytes, now: float
    ) -> list[outcomes.Outcome]:
        """Passes on that the target does not hold or can't take a flow."""
        key = segment.key
        self._handed.remove_probe(key)
        if segment.opens:
            opener = self._handed.remove_opening(key)
            self._flows.end_accept(key, now)
            if opener is None:
                return []
            self._counts.add("refused")
            self._log("acceptance", "refused by the target", key, now)
            message = frames.encode(_Kind.REFUSED, self._number, key)
            return [outcomes.ToPeer(opener, message)]
        flow = self._flows.by_key.get(key)
        if flow is None:
            return []
        self._flows.remove(key, now)
        self._counts.add("returned")
        self._log("flow", "returned by the target", key, now)
        if flow.balancer is None:
            return []
        packet = self._format.original_packet(data)
        message = frames.encode(_Kind.NOT_HELD, self._number, key, packet)
        return [outcomes.ToPeer(flow.balancer, message)]

    def _on_answer(
        self, segment: formats.Segment, data: bytes, now: float
    ) -> list[outcomes.Outcome]:
        """Sends a packet to its caller and learns from it."""
        key = segment.key
        sends: list[outcomes.Outcome] = []
        flow = self._flows.by_key.get(key)
        if segment.accepts:
            flow = self._on_accepted(segment, flow, now, sends)
        elif flow is None:
            flow = self._flows.add_unconfirmed(key, None, now)
            flow.closing = segment.closes or segment.resets
        flow.last_packet_at = now
        flow.confirmed_by_target = True
        prober = self._handed.remove_probe(key)
        if prober is not None:
            sends.append(self._held(key, prober))
        if segment.length and flow.has_work:
            self._note_answer(key, flow, now)
        if segment.closes or segment.resets:
            self._flows.mark_closing(key, flow, now)
        sends.append(outcomes.ToCaller(self._format.caller_address(key), data))
        return sends

    def _on_accepted(
        self,
        segment: formats.Segment,
        flow: held_flows.HeldFlow | None,
        now: float,
        sends: list[outcomes.Outcome],
    ) -> held_flows.HeldFlow:
        """Notes that the target has answered an opening packet."""
        key = segment.key
        opener = self._handed.opening_sender(key)
        self._flows.end_accept(key, now)
        if flow is not None:
            # Another number means that the target has started anew.
            anew = flow.initial_sequence not in (None, segment.sequence)
            if flow.closing or anew:
                self._flows.remove(key, now)
                flow = None
        if flow is None:
            flow = self._flows.add_accepted(key, segment.sequence, opener, now)
            self._counts.add("accepted")
            self._log("acceptance", "accepted", key, now)
        if opener is not None:
            message = frames.encode(
                _Kind.ACCEPTED, self._number, key, value=segment.sequence
            )
            sends.append(outcomes.ToPeer(opener, message))
        return flow

    def _held(self, key: bytes, address: _Address) -> outcomes.Outcome:
        message = frames.encode(_Kind.HELD, self._number, key)
        return outcomes.ToPeer(address, message)

    def _note_answer(
        self, key: bytes, flow: held_flows.HeldFlow, now: float
    ) -> None:
        """Counts an answer; logs one that took long."""
        ahead = flow.work_ahead
        duration = self._flows.complete_request(key, flow, now)
        if duration is None:
            return
        self._latencies.observe(duration)
        if duration >= SLOW_ANSWER_S:
            self._log(
                "answer",
                "slow",
                key,
                now,
                duration_ms=round(duration * 1000),
                ahead=ahead,
            )

    def on_tick(self, now: float) -> list[outcomes.Outcome]:
        """Tells who has handed a packet that the target has kept it."""
        sends = []
        for key, address in self._handed.pop_unreturned_probes(now):
            flow = self._flows.by_key.get(key)
            if flow is not None:
                flow.confirmed_by_target = True
                sends.append(self._held(key, address))
        return sends
