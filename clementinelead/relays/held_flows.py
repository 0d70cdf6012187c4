"""The flows that a target holds, and the work under way in them."""

import msgspec

from clementinelead.relays import formats
from clementinelead.relays import sequences
from clementinelead.relays import workload

__all__ = ["HeldFlow", "HeldFlows"]

RESERVED_S = 0.04
"""Time that work is expected for after a flow has opened, seconds.

Some round trips to a caller. A caller that has given up sends nothing, and
after an outage most of those that wait have.
"""

OFFERED_S = 0.08
"""Time that a target may take to answer an opening packet, seconds.

Until then the packet counts as work: many balancers may send theirs at once.
"""

CLOSED_S = 10.0
"""Time that a closed flow is kept for packets that are sent again."""

IDLE_S = 75.0
"""Time without a packet after which a flow is forgotten, seconds."""

TURNED_AWAY_S = 0.002
"""An answer that comes sooner took no work: the target turned it away."""

STUCK_WORK_S = 5.0
"""Time after which work without an answer no longer counts, seconds."""


class HeldFlow(msgspec.Struct):
    """A flow that the target holds.

    Attributes:
        sequence: First sequence number of the target, None if not seen.
        last: Time of the last packet, seconds.
        sender: Balancer that sent the last packet, None if not known.
        settled: Whether the caller is known to have chosen this target.
        confirmed: Whether the target has sent something for it.
        working: Whether work is under way or expected.
        asked: Time of the last data of the request, None before it.
        asked_end: Sequence number after the last data of the caller.
        ahead: Work that was under way before.
        turn: How many requests must have left the target before it can have
            begun with this one.
        closing: Whether an end of it has been seen.
    """

    sequence: int | None
    last: float
    sender: tuple[str, int] | None
    settled: bool = False
    confirmed: bool = False
    working: bool = False
    asked: float | None = None
    asked_end: int | None = None
    ahead: int = 0
    turn: int = 0
    closing: bool = False

    def follows(self, segment: formats.Segment) -> bool:
        """Tells whether a caller's packet acknowledges this target's answer.

        Args:
            segment: Header of a packet that does not open the flow.
        """
        if self.sequence is None:
            return True
        return sequences.acknowledges(segment.acknowledgement, self.sequence)

    def is_new(self, segment: formats.Segment) -> bool:
        """Tells whether a caller's data has not been seen, and notes it.

        Data that is sent again, after an answer that it crossed, is no new
        work.

        Args:
            segment: Header of a packet with data.
        """
        end = (segment.sequence + segment.length) & sequences.MASK
        known = self.asked_end
        if known is not None:
            distance = (end - known - 1) & sequences.MASK
            if distance >= sequences.HALF:
                return False
        self.asked_end = end
        return True


class HeldFlows:
    """Flows by key, with the target's work counted from them.

    Attributes:
        by_key: The flows.
        work: Load of the target.
    """

    def __init__(self, work: workload.Workload):
        self.by_key: dict[bytes, HeldFlow] = {}
        self.work = work
        self._reserved_until: dict[bytes, float] = {}
        self._offered_until: dict[bytes, float] = {}
        self._at_target = 0  # requests without an answer
        self._left = 0  # those answered or given up since the start

    @property
    def waiting(self) -> bool:
        """Whether ``on_tick`` has something to wait for."""
        return bool(self._offered_until)

    def offer(self, key: bytes, now: float) -> None:
        """Counts an opening packet that the target is handed as work.

        Args:
            key: Flow key.
            now: Present time, seconds.
        """
        if key not in self._offered_until:
            self.work.resumed(now)
            self._offered_until[key] = now + OFFERED_S

    def end_offer(self, key: bytes, now: float) -> None:
        """Notes that the target has answered an opening packet."""
        if self._offered_until.pop(key, None) is not None:
            self.work.released(now)

    def open(
        self,
        key: bytes,
        sequence: int,
        sender: tuple[str, int] | None,
        now: float,
    ) -> HeldFlow:
        """Takes up a flow that the target has accepted; work is expected."""
        flow = HeldFlow(sequence, now, sender)
        flow.ahead = self.work.opened(now)
        flow.working = True
        self.by_key[key] = flow
        self._reserved_until[key] = now + RESERVED_S
        return flow

    def restore(
        self, key: bytes, sender: tuple[str, int] | None, now: float
    ) -> HeldFlow:
        """Takes up a flow that the target has, or may have, from before."""
        flow = HeldFlow(None, now, sender, settled=True)
        self.by_key[key] = flow
        self.work.estimate.open_flows += 1
        return flow

    def forget(self, key: bytes, now: float) -> None:
        """Forgets a flow; its work no longer counts."""
        flow = self.by_key.pop(key)
        self._reserved_until.pop(key, None)
        self._end_request(flow)
        if flow.working:
            self.work.released(now)
        self.work.estimate.remove_flow()

    def doubt(self, now: float) -> None:
        """Ends all work, and doubts all flows, as the target is a new one.

        Flows that it has opened before it announced itself are among them;
        it returns the packets of the others.
        """
        for key, flow in self.by_key.items():
            flow.confirmed = False
            self._reserved_until.pop(key, None)
            self._release(flow, now)

    def note_request(self, key: bytes, flow: HeldFlow, now: float) -> None:
        """Counts the work that a caller's data asks for."""
        if not flow.working:
            flow.ahead = self.work.resumed(now)
            flow.working = True
        self._reserved_until.pop(key, None)
        if flow.asked is None:
            ahead = self._at_target + 1 - self.work.estimate.limits.slots
            flow.turn = self._left + max(0, ahead)
            self._at_target += 1
        flow.asked = now

    def note_answer(
        self, key: bytes, flow: HeldFlow, now: float
    ) -> float | None:
        """Ends the work that the target has answered.

        Returns:
            Time from the request to the answer in seconds, None if no request
            was seen.
        """
        self._reserved_until.pop(key, None)
        flow.working = False
        if flow.asked is None:
            self.work.released(now)
            return None
        duration = now - flow.asked
        # An answer out of turn, with all slots at work on earlier requests,
        # says that the target has not worked on this one.
        in_turn = self._left >= flow.turn
        self._end_request(flow)
        if duration < TURNED_AWAY_S or not in_turn:
            self.work.released(now)
        else:
            self.work.finished(duration, flow.ahead, now)
        return duration

    def end(self, key: bytes, flow: HeldFlow, now: float) -> None:
        """Notes that the target ends a flow; no more work is expected."""
        flow.closing = True
        self._reserved_until.pop(key, None)
        self._release(flow, now)

    def on_tick(self, now: float) -> None:
        """Stops expecting work that has not come."""
        for key, until in list(self._offered_until.items()):
            if until > now:
                break
            self.end_offer(key, now)
        for key, until in list(self._reserved_until.items()):
            if until > now:
                return
            del self._reserved_until[key]
            self._release(self.by_key[key], now)

    def expire(self, now: float) -> None:
        """Forgets flows that have ended or been idle, and stuck work."""
        for key, flow in list(self.by_key.items()):
            idle = now - flow.last
            if idle > (CLOSED_S if flow.closing else IDLE_S):
                self.forget(key, now)
            elif flow.asked is not None and now - flow.asked > STUCK_WORK_S:
                self._release(flow, now)

    def _release(self, flow: HeldFlow, now: float) -> None:
        self._end_request(flow)
        if flow.working:
            flow.working = False
            self.work.released(now)

    def _end_request(self, flow: HeldFlow) -> None:
        """Notes that a flow's request, if there is one, is over."""
        if flow.asked is not None:
            flow.asked = None
            self._at_target -= 1
            self._left += 1
