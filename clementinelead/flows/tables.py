"""Table of the flows that a side process owns for its target."""

import dataclasses

from clementinelead.charts import charts
from clementinelead.flows import expiry
from clementinelead.flows import loads
from clementinelead.packets import headers

__all__ = ["Flow", "FlowTable", "Timeouts"]

_CHART = charts.load("flow")
OPENING = "opening"
ESTABLISHED = "established"
CLOSING = "closing"


@dataclasses.dataclass(frozen=True)
class Timeouts:
    """Timeouts after which flows expire or no longer take a slot.

    The idle timeouts run from the last packet of the caller.

    Attributes:
        tcp_idle_s: Idle timeout of established TCP flows, seconds.
        udp_idle_s: Idle timeout of UDP flows, seconds.
        opening_s: Idle timeout of TCP flows whose caller has sent only SYN,
            seconds.
        closing_s: Idle timeout after the caller's FIN, seconds.
        slot_hold_s: Time after which an open TCP flow no longer takes a slot,
            seconds; 0 means that it does so until its end.
        udp_slot_s: Time for which a UDP datagram takes a slot, seconds.
    """

    tcp_idle_s: float = 3600.0
    udp_idle_s: float = 120.0
    opening_s: float = 60.0
    closing_s: float = 60.0
    slot_hold_s: float = 0.0
    udp_slot_s: float = 1.0


@dataclasses.dataclass(slots=True)
class Flow:
    """One flow that this side process owns.

    Attributes:
        service: Name of the service.
        accepted_at: Time of acceptance, seconds.
        last_packet_at: Time of the caller's last packet, seconds.
        initial_sequence: Initial TCP sequence number, 0 for UDP.
        incarnation: Number that increases with each flow opened, so that flows
            with the same addresses and ports can be told apart.
        active_before: Number of active flows when it was accepted.
        state: State of the chart ``flow``.
        active: Whether it takes a slot.
    """

    service: str
    accepted_at: float
    last_packet_at: float
    initial_sequence: int
    incarnation: int
    active_before: int
    state: str = OPENING
    active: bool = True


class FlowTable:
    """All flows of one target by flow key.

    Attributes:
        by_key: Flows by flow key.
        load: Load estimate, updated with the flows.
        timeouts: Timeouts of the flows.
    """

    def __init__(self, load: loads.LoadEstimate, timeouts: Timeouts):
        """Creates an empty table.

        Args:
            load: Load estimate of the target, updated with the flows.
            timeouts: Timeouts of the flows.
        """
        self.by_key: dict[headers.FlowKey, Flow] = {}
        self.load = load
        self.timeouts = timeouts
        self._idle_wheel = expiry.ExpiryWheel()
        self._slot_wheel = expiry.ExpiryWheel()
        self._last_incarnation = 0

    def __len__(self) -> int:
        return len(self.by_key)

    def open(
        self, key: headers.FlowKey, service: str, sequence: int, now: float
    ) -> Flow:
        """Adds a flow that the target accepts now.

        Args:
            key: Key of the flow, which must not be in the table.
            service: Name of the service.
            sequence: Initial TCP sequence number, 0 for UDP.
            now: Present time, seconds.
        """
        assert key not in self.by_key, "flow is already in the table"
        self._last_incarnation += 1
        flow = Flow(
            service=service,
            accepted_at=now,
            last_packet_at=now,
            initial_sequence=sequence,
            incarnation=self._last_incarnation,
            active_before=self.load.add_flow(),
        )
        self.by_key[key] = flow
        self._idle_wheel.add(key, self._idle_expiry(key, flow))
        hold_s = self._slot_hold_s(key)
        if hold_s > 0:
            self._slot_wheel.add(key, now + hold_s)
        return flow

    def restore(
        self, key: headers.FlowKey, service: str, now: float, closing: bool
    ) -> Flow:
        """Adds an established flow that the target held before a restart.

        Args:
            key: Key of the flow, which must not be in the table.
            service: Name of the service.
            now: Present time, seconds.
            closing: Whether the caller has sent FIN; the flow then takes no
                slot.
        """
        flow = self.open(key, service, 0, now)
        flow.state = ESTABLISHED
        if closing:
            flow.state = CLOSING
            flow.active = False
            self.load.discard_request()
            self.load.remove_flow()
        return flow

    def on_packet(
        self, key: headers.FlowKey, flow: Flow, packet: bytes, now: float
    ) -> None:
        """Updates a flow's state by a packet of its caller.

        RST ends the flow and removes it from the table.

        Args:
            key: Key of the flow.
            flow: The flow.
            packet: A packet that is delivered to the target.
            now: Present time, seconds.
        """
        flow.last_packet_at = now
        if key[12] == headers.PROTOCOL_UDP:
            self._on_udp_datagram(key, flow, now)
            return
        flags = headers.tcp_flags(packet)
        if flags & headers.RST:
            self.close(key, "rst", now)
        elif flags & headers.FIN:
            self._apply_trigger(flow, "fin", now)
        elif flags & (headers.SYN | headers.ACK) == headers.SYN:
            self._on_retransmitted_syn(flow, packet, now)
        elif flow.state == OPENING:
            self._apply_trigger(flow, "later", now)
            self.load.record_answered()

    def _on_udp_datagram(
        self, key: headers.FlowKey, flow: Flow, now: float
    ) -> None:
        if flow.active:
            return
        flow.active = True
        self.load.active_flows += 1
        self._slot_wheel.add(key, now + self._slot_hold_s(key))

    def _on_retransmitted_syn(
        self, flow: Flow, packet: bytes, now: float
    ) -> None:
        sequence = headers.tcp_sequence(packet)
        if flow.state == OPENING and sequence == flow.initial_sequence:
            self.load.record_unanswered(now)
        flow.state = _CHART.next_state(flow.state, "first")

    def _apply_trigger(self, flow: Flow, trigger: str, now: float) -> None:
        previous_state = flow.state
        flow.state = _CHART.next_state(previous_state, trigger)
        if flow.state != CLOSING or previous_state == CLOSING:
            return
        self.load.remove_flow()
        if flow.active:
            flow.active = False
            self.load.complete_request(
                now - flow.accepted_at, flow.active_before
            )

    def close(self, key: headers.FlowKey, trigger: str, now: float) -> None:
        """Removes a flow.

        Args:
            key: Key of the flow.
            trigger: Trigger of the chart ``flow`` that ends it.
            now: Present time, seconds.

        Raises:
            KeyError: The flow is not in the table.
        """
        flow = self.by_key.pop(key)
        previous_state = flow.state
        flow.state = _CHART.next_state(previous_state, trigger)
        if previous_state != CLOSING:
            self.load.remove_flow()
        if flow.active:
            flow.active = False
            self.load.discard_request()

    def is_port_reuse(self, flow: Flow, packet: bytes) -> bool:
        """Returns whether a SYN opens a new flow with a closing flow's ports.

        A SYN with the initial sequence number of the closing flow is a
        retransmission.

        Args:
            flow: The flow with the same key.
            packet: The SYN.
        """
        if flow.state != CLOSING:
            return False
        return headers.tcp_sequence(packet) != flow.initial_sequence

    def expire(self, now: float) -> list[headers.FlowKey]:
        """Releases slots that flows have held too long; removes idle flows.

        Args:
            now: Present time, seconds.

        Returns:
            Keys of the removed flows.
        """
        for key in self._slot_wheel.due(now, self._slot_expiry_by_key):
            self.by_key[key].active = False
            self.load.discard_request()
        expired = self._idle_wheel.due(now, self._idle_expiry_by_key)
        for key in expired:
            self.close(key, "expire", now)
        return expired

    def _slot_hold_s(self, key: headers.FlowKey) -> float:
        if key[12] == headers.PROTOCOL_UDP:
            return self.timeouts.udp_slot_s
        return self.timeouts.slot_hold_s

    def _slot_expiry_by_key(self, key: bytes) -> float | None:
        flow = self.by_key.get(key)
        if flow is None or not flow.active:
            return None
        is_udp = key[12] == headers.PROTOCOL_UDP
        held_since = flow.last_packet_at if is_udp else flow.accepted_at
        return held_since + self._slot_hold_s(key)

    def _idle_expiry_by_key(self, key: bytes) -> float | None:
        flow = self.by_key.get(key)
        return None if flow is None else self._idle_expiry(key, flow)

    def _idle_expiry(self, key: headers.FlowKey, flow: Flow) -> float:
        timeouts = self.timeouts
        if key[12] == headers.PROTOCOL_UDP:
            return flow.last_packet_at + timeouts.udp_idle_s
        if flow.state == OPENING:
            return flow.last_packet_at + timeouts.opening_s
        if flow.state == CLOSING:
            return flow.last_packet_at + timeouts.closing_s
        return flow.last_packet_at + timeouts.tcp_idle_s
