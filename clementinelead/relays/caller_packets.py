"""Decisions of a side process about the packets of its target's callers."""

from clementinelead.relays import formats
from clementinelead.relays import frames
from clementinelead.relays import held_flows
from clementinelead.relays import opening_packets
from clementinelead.relays import outcomes
from clementinelead.relays import outstanding_packets
from clementinelead.relays import query_replies
from clementinelead.relays import request_gate
from clementinelead.relays import sequences
from clementinelead.relays import startup_recovery
from clementinelead.relays import target_packets
from clementinelead.telemetry import counters

__all__ = ["CallerPacketHandler"]

_Kind = frames.Kind
_Address = tuple[str, int]


class CallerPacketHandler:
    """Sends callers' packets to a target and updates the records of flows."""

    def __init__(
        self,
        packet_format: formats.PacketFormat,
        flows: held_flows.HeldFlows,
        outstanding: outstanding_packets.OutstandingPackets,
        startup: startup_recovery.StartupRecovery,
        gate: request_gate.RequestGate,
        opening_handler: opening_packets.OpeningPacketHandler,
        counts: counters.CounterSet,
        log: target_packets.LogDecision,
    ):
        """Stores the records that the packets update.

        Args:
            packet_format: Format of the packets.
            flows: Flows of the target.
            outstanding: Packets that balancers expect a reply to.
            startup: Whether all flows of the target are recorded.
            gate: Holds requests if their priorities differ.
            opening_handler: Handles opening packets of unrecorded flows.
            counts: Counts decisions by cause.
            log: Logs decisions.
        """
        self._format = packet_format
        self._flows = flows
        self._outstanding = outstanding
        self._startup = startup
        self._gate = gate
        self._opening_handler = opening_handler
        self._counts = counts
        self._log = log

    def on_packet(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Handles a packet of a caller that does not open a new flow.

        Args:
            frame: Datagram with the packet, a PACKET or PROBE.
            source: Address of the balancer.
            now: Present time, seconds.

        Returns:
            What to send.
        """
        key = frame.key
        segment = self._format.from_caller(frame.payload)
        if segment is None or segment.key != key:
            self._counts.add("malformed_packet")
            return []
        flow = self._flows.by_key.get(key)
        if flow is None:
            return self._on_unrecorded_flow(frame, segment, source, now)
        if frame.kind is _Kind.PROBE:
            self._outstanding.add_probe(key, source, now)
        if not flow.chosen_by_caller and not segment.opens:
            if not flow.is_acknowledged_by(segment):
                self._flows.remove(key, now)
                self._counts.add("opened_elsewhere")
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
            return self._opening_handler.on_packet(frame, source, now)
        returned = self._outstanding.was_returned(frame.key)
        if returned or self._startup.all_flows_recorded(now):
            self._counts.add("not_held")
            return [
                query_replies.reply(
                    _Kind.NOT_HELD, frame, source, frame.payload
                )
            ]
        flow = self._flows.add_unconfirmed(frame.key, source, now)
        if segment.length:
            # A copy of the data must not be held as a new request: the target
            # would not answer it again.
            end = (segment.sequence + segment.length) & sequences.MASK
            flow.record_target_end(end)
        self._outstanding.add_probe(frame.key, source, now)
        self._counts.add("probed")
        return [outcomes.ToTarget(frame.payload)]
