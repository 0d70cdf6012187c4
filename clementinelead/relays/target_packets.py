"""Decisions of a side process about the packets that its target sends."""

import typing

from clementinelead.relays import formats
from clementinelead.relays import frames
from clementinelead.relays import held_flow
from clementinelead.relays import held_flows
from clementinelead.relays import outcomes
from clementinelead.relays import outstanding_packets
from clementinelead.relays import startup_recovery
from clementinelead.telemetry import counters

__all__ = ["LogDecision", "TargetPacketHandler"]

SLOW_ANSWER_S = 0.1
"""Time from a request from which on its answer is logged, seconds."""

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
        **extra: object,
    ) -> None:
        """Logs the decision.

        Args:
            event: What was decided on.
            outcome: What was decided.
            key: Flow key.
            now: Present time, seconds.
            extra: Further fields of the log line.
        """


class TargetPacketHandler:
    """Forwards a target's packets and updates the records of its flows."""

    def __init__(
        self,
        packet_format: formats.PacketFormat,
        service_number: int,
        flows: held_flows.HeldFlows,
        outstanding: outstanding_packets.OutstandingPackets,
        startup: startup_recovery.StartupRecovery,
        counts: counters.CounterSet,
        latencies: counters.Histogram,
        log: LogDecision,
    ):
        """Stores the records that the packets update.

        Args:
            packet_format: Format of the packets.
            service_number: Number of the target's service.
            flows: Flows of the target.
            outstanding: Packets that balancers expect a reply to.
            startup: Receives whether the target has sent a packet.
            counts: Counts decisions by cause.
            latencies: Receives the time from each request to its answer,
                seconds.
            log: Logs decisions.
        """
        self._format = packet_format
        self._service_number = service_number
        self._flows = flows
        self._outstanding = outstanding
        self._startup = startup
        self._counts = counts
        self._latencies = latencies
        self._log = log

    def on_packet(self, data: bytes, now: float) -> list[outcomes.Outcome]:
        """Handles a packet that the target sent.

        Malformed packets are counted and dropped.

        Args:
            data: The packet.
            now: Present time, seconds.

        Returns:
            What to send.
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
        """Reports to the balancer a flow not held, or one not accepted."""
        key = segment.key
        self._outstanding.remove_probe(key)
        if segment.opens:
            opener = self._outstanding.remove_opening(key)
            self._flows.end_accept(key, now)
            if opener is None:
                return []
            self._counts.add("refused")
            self._log("acceptance", "refused by the target", key, now)
            message = frames.encode(_Kind.REFUSED, self._service_number, key)
            return [outcomes.ToPeer(opener, message)]
        flow = self._flows.by_key.get(key)
        if flow is None:
            return []
        self._outstanding.record_return(key, now)
        self._flows.remove(key, now)
        self._counts.add("returned")
        self._log("flow", "returned by the target", key, now)
        if flow.balancer is None:
            return []
        packet = self._format.original_packet(data)
        message = frames.encode(
            _Kind.NOT_HELD, self._service_number, key, packet
        )
        return [outcomes.ToPeer(flow.balancer, message)]

    def _on_answer(
        self, segment: formats.Segment, data: bytes, now: float
    ) -> list[outcomes.Outcome]:
        """Sends a packet to its caller and updates the record of its flow."""
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
        if segment.acknowledgement and not (segment.accepts or segment.resets):
            flow.record_target_end(segment.acknowledgement)
        prober = self._outstanding.remove_probe(key)
        if prober is not None:
            sends.append(self._held_report(key, prober))
        if segment.length and _answers_last_request(segment, flow):
            self._complete_request(key, flow, now)
        if segment.closes or segment.resets:
            self._flows.mark_closing(key, flow, now)
        sends.append(outcomes.ToCaller(self._format.caller_address(key), data))
        return sends

    def _on_accepted(
        self,
        segment: formats.Segment,
        flow: held_flow.HeldFlow | None,
        now: float,
        sends: list[outcomes.Outcome],
    ) -> held_flow.HeldFlow:
        """Handles the target's answer to an opening packet.

        Adds the flow unless it is recorded already, and appends the report to
        the sender of the opening packet to ``sends``.
        """
        key = segment.key
        opener = self._outstanding.opening_sender(key)
        self._flows.end_accept(key, now)
        if flow is not None:
            # Another initial sequence number means that a new incarnation has
            # accepted a copy of the opening packet.
            reopened = flow.initial_sequence not in (None, segment.sequence)
            if flow.closing or reopened:
                self._flows.remove(key, now)
                flow = None
        if flow is None:
            flow = self._flows.add_accepted(key, segment.sequence, opener, now)
            self._counts.add("accepted")
            self._log("acceptance", "accepted", key, now)
        if opener is not None:
            message = frames.encode(
                _Kind.ACCEPTED,
                self._service_number,
                key,
                value=segment.sequence,
            )
            sends.append(outcomes.ToPeer(opener, message))
        return flow

    def _held_report(self, key: bytes, balancer: _Address) -> outcomes.Outcome:
        """Returns the report that the target holds a flow."""
        message = frames.encode(_Kind.HELD, self._service_number, key)
        return outcomes.ToPeer(balancer, message)

    def _complete_request(
        self, key: bytes, flow: held_flow.HeldFlow, now: float
    ) -> None:
        """Ends a request that has been answered; logs a slow answer."""
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
        """Confirms the flows whose probes the target has not returned in time.

        Args:
            now: Present time, seconds.

        Returns:
            A report to the sender of each probe.
        """
        sends = []
        for key, balancer in self._outstanding.pop_unreturned_probes(now):
            flow = self._flows.by_key.get(key)
            if flow is not None:
                flow.confirmed_by_target = True
                sends.append(self._held_report(key, balancer))
        return sends


def _answers_last_request(
    segment: formats.Segment, flow: held_flow.HeldFlow
) -> bool:
    """Returns whether data of the target begins the answer that is awaited.

    Args:
        segment: Header of the target's packet.
        flow: Its flow. While a request of it is held, the target can only
            answer earlier ones.
    """
    if not flow.has_work or flow.request_queued:
        return False
    return not flow.belongs_to_earlier_answer(segment)
