"""The flows that a side process has accepted for its target."""

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
    """When idle flows are forgotten, seconds.

    Attributes:
        tcp_idle_s: For TCP flows.
        udp_idle_s: For UDP flows.
        opening_s: For TCP flows whose caller never went on.
        closing_s: After the caller's FIN.
        slot_hold_s: Time after which an open flow no longer counts as work;
            0 means that it counts to its end.
        udp_slot_s: Time for which a UDP datagram counts as work.
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
        started: Time of acceptance, seconds.
        last: Time of the last packet, seconds.
        sequence: Initial TCP sequence number, 0 for UDP.
        incarnation: Raised each time the same addresses and ports start anew.
        ahead: Flows at work when it was accepted.
        state: State of the chart ``flow``.
        working: Whether it counts as work.
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
    """All flows of one target by flow key."""

    def __init__(self, load: loads.LoadEstimate, timeouts: Timeouts):
        self.by_key: dict[headers.FlowKey, Flow] = {}
        self.load = load
        self.timeouts = timeouts
        self._wheel = expiry.ExpiryWheel()
        self._slot_wheel = expiry.ExpiryWheel()
        self._incarnation = 0

    def __len__(self) -> int:
        return len(self.by_key)

    def open(
        self, key: headers.FlowKey, service: str, sequence: int, now: float
    ) -> Flow:
        """Adds a flow that the target accepts now.

        The key must not be held.
        """
        assert key not in self.by_key, "a flow has one owner and one entry"
        self._incarnation += 1
        flow = Flow(
            service=service,
            accepted_at=now,
            last_packet_at=now,
            initial_sequence=sequence,
            incarnation=self._incarnation,
            active_before=self.load.add_flow(),
        )
        self.by_key[key] = flow
        self._wheel.add(key, self._expires(key, flow))
        hold = self._slot_hold(key)
        if hold > 0:
            self._slot_wheel.add(key, now + hold)
        return flow

    def restore(
        self, key: headers.FlowKey, service: str, now: float, closing: bool
    ) -> Flow:
        """Adds a flow that the target already holds, after a restart."""
        flow = self.open(key, service, 0, now)
        flow.state = ESTABLISHED
        if closing:
            flow.state = CLOSING
            flow.active = False
            self.load.end_work()
            self.load.remove_flow()
        return flow

    def on_packet(
        self, key: headers.FlowKey, flow: Flow, packet: bytes, now: float
    ) -> None:
        """Moves a flow's state by a packet of its caller.

        Args:
            key: Key of the flow.
            flow: The flow.
            packet: A packet that is delivered to the target.
            now: Present time, seconds.
        """
        flow.last_packet_at = now
        if key[12] == headers.PROTOCOL_UDP:
            self._work_again(key, flow, now)
            return
        flags = headers.tcp_flags(packet)
        if flags & headers.RST:
            self.close(key, "rst", now)
        elif flags & headers.FIN:
            self._step(flow, "fin", now)
        elif flags & (headers.SYN | headers.ACK) == headers.SYN:
            self._repeated_syn(flow, packet, now)
        elif flow.state == OPENING:
            self._step(flow, "later", now)
            self.load.record_answered()

    def _work_again(self, key: headers.FlowKey, flow: Flow, now: float) -> None:
        if flow.active:
            return
        flow.active = True
        self.load.active_flows += 1
        self._slot_wheel.add(key, now + self._slot_hold(key))

    def _repeated_syn(self, flow: Flow, packet: bytes, now: float) -> None:
        sequence = headers.tcp_sequence(packet)
        if flow.state == OPENING and sequence == flow.initial_sequence:
            self.load.record_unanswered(now)
        flow.state = _CHART.next_state(flow.state, "first")

    def _step(self, flow: Flow, trigger: str, now: float) -> None:
        before = flow.state
        flow.state = _CHART.next_state(before, trigger)
        if flow.state != CLOSING or before == CLOSING:
            return
        self.load.remove_flow()
        if flow.active:
            flow.active = False
            self.load.record_completion(
                now - flow.accepted_at, flow.active_before
            )

    def close(self, key: headers.FlowKey, trigger: str, now: float) -> None:
        """Forgets a flow.

        Args:
            key: Key of the flow.
            trigger: Trigger of the chart that ends it.
            now: Present time, seconds.
        """
        flow = self.by_key.pop(key)
        before = flow.state
        flow.state = _CHART.next_state(before, trigger)
        if before != CLOSING:
            self.load.remove_flow()
        if flow.active:
            flow.active = False
            self.load.end_work()

    def is_port_reuse(self, flow: Flow, packet: bytes) -> bool:
        """Tells whether a SYN starts anew what a closing flow used."""
        if flow.state != CLOSING:
            return False
        return headers.tcp_sequence(packet) != flow.initial_sequence

    def expire(self, now: float) -> list[headers.FlowKey]:
        """Forgets idle flows; returns their keys."""
        for key in self._slot_wheel.due(now, self._slot_expires):
            self.by_key[key].active = False
            self.load.end_work()
        expired = self._wheel.due(now, self._expires_by_key)
        for key in expired:
            self.close(key, "expire", now)
        return expired

    def _slot_hold(self, key: headers.FlowKey) -> float:
        if key[12] == headers.PROTOCOL_UDP:
            return self.timeouts.udp_slot_s
        return self.timeouts.slot_hold_s

    def _slot_expires(self, key: bytes) -> float | None:
        flow = self.by_key.get(key)
        if flow is None or not flow.active:
            return None
        udp = key[12] == headers.PROTOCOL_UDP
        start = flow.last_packet_at if udp else flow.accepted_at
        return start + self._slot_hold(key)

    def _expires_by_key(self, key: bytes) -> float | None:
        flow = self.by_key.get(key)
        return None if flow is None else self._expires(key, flow)

    def _expires(self, key: headers.FlowKey, flow: Flow) -> float:
        timeouts = self.timeouts
        if key[12] == headers.PROTOCOL_UDP:
            return flow.last_packet_at + timeouts.udp_idle_s
        if flow.state == OPENING:
            return flow.last_packet_at + timeouts.opening_s
        if flow.state == CLOSING:
            return flow.last_packet_at + timeouts.closing_s
        return flow.last_packet_at + timeouts.tcp_idle_s
