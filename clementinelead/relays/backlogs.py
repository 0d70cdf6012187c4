"""Flows of a service that wait at a balancer, and how fast they progress.

The load pattern is new flows that arrive at up to ten times the rate at which
targets serve them. The balancer knows only what it sees itself: its waiting
flows, the answers of targets, and its own rates of new and of placed flows.
"""

import collections
import math

import msgspec

from clementinelead.relays import caller_shares
from clementinelead.relays import placement_shares
from clementinelead.relays import routes
from clementinelead.relays import workload

__all__ = ["Backlog", "Estimate"]

FRESH_ANSWER_S = 0.25
"""Age up to which an answer of a target is fresh, seconds."""

RATE_WINDOW_S = 0.5
"""Time over which the rate of placed flows is measured, seconds."""

MIN_RATE_WINDOW_S = 0.25
"""Least time over which this rate is measured, seconds."""

MAX_PLACEMENT_GAP_S = 0.25
"""Time without a placed flow after which the rate is unknown, seconds.

Side processes go on to report loads while their targets are down.
"""

SLICE_S = 0.05
"""Resolution of these times, seconds."""

SATURATION_S = 0.05
"""Time for which new flows rely on an earlier one that found no room, seconds.

Then the next ones query targets again. Otherwise refusals would go on after a
burst: the rate of placed flows that justifies them falls with the flows that
query. Targets have accepted work for longer than this time.
"""

MIN_FREE_SHARE = 1.0 - workload.MAX_UTILISATION
"""Least factor from a reported load to the expected time to the answer.

Targets divide the expected time by their free share, which is not reported.
"""


class Estimate(msgspec.Struct, frozen=True):
    """When a new flow could be answered at the earliest.

    Attributes:
        answer_s: Time from now to the answer, seconds.
        ahead: Flows of the same or a higher priority that wait.
        placed_per_s: Flows of the service that are placed, per second; the
            largest rate that the count in the window makes plausible.
        arriving_per_s: New flows of the same or a higher priority, per second;
            the smallest such rate.
    """

    answer_s: float
    ahead: int
    placed_per_s: float
    arriving_per_s: float

    def log_inputs(self) -> dict[str, object]:
        """Returns the inputs of a refusal, for the log."""
        return {
            "earliest_ms": (
                round(self.answer_s * 1000)
                if math.isfinite(self.answer_s)
                else None
            ),
            "ahead": self.ahead,
            "placed_per_s": round(self.placed_per_s, 1),
            "arriving_per_s": round(self.arriving_per_s, 1),
        }


class _Slice(msgspec.Struct):
    """Events of a slice of time.

    Attributes:
        began_at: Begin of the slice, seconds.
        placed: Flows placed in it.
        least_load_ms: Lowest load that a target has reported in it,
            milliseconds; None without a report.
        arrived_by_priority: New flows that arrived in it.
    """

    began_at: float
    placed: int = 0
    least_load_ms: int | None = None
    arrived_by_priority: dict[int, int] = msgspec.field(default_factory=dict)


class Backlog:
    """The waiting flows of a service, and what is known about their progress.

    It exists while flows of the service wait. Priorities are ranks here: twice
    the priority of the route, plus 1 for callers that are not preferred.

    Attributes:
        count_by_priority: Waiting flows.
        due_by_priority: Time at which the next one queries targets, seconds.
        claims: Flows that take the share of lower priorities now.
    """

    def __init__(self) -> None:
        self.count_by_priority: dict[int, int] = {}
        self.due_by_priority: dict[int, float] = {}
        self.claims = 0
        # Times at which a new flow last found all targets busy, seconds.
        self._saturated_at_by_priority: dict[int, float] = {}
        # By address of the route; the oldest first.
        self._saturated_at_by_address: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )
        self._share = placement_shares.PlacementShare()
        self._callers = caller_shares.CallerShare()
        self._highest = routes.LOWEST_PRIORITY
        self._lowest = 0
        self._claimed_at_by_priority: dict[int, float] = {}
        self._placed_at = float("-inf")
        self._placing_since = float("-inf")
        self._slices: collections.deque[_Slice] = collections.deque()

    def record_load(self, load_ms: int, now: float) -> None:
        """Records the load that a target reports, milliseconds."""
        piece = self._current_slice(now)
        if piece.least_load_ms is None or load_ms < piece.least_load_ms:
            piece.least_load_ms = load_ms

    def record_placed(self, priority: int, now: float) -> None:
        """Records that a target has accepted a flow.

        After an outage of all targets the rate is measured afresh.
        """
        self._note(priority)
        highest = priority // 2 == self._highest
        self._share.record_placed(highest)
        if highest:
            self._callers.record_placed()
        if now - self._placed_at > MAX_PLACEMENT_GAP_S:
            self._placing_since = now
        self._placed_at = now
        self._current_slice(now).placed += 1

    def record_arrival(self, priority: int, now: float) -> None:
        """Records a new flow."""
        self._note(priority)
        arrived = self._current_slice(now).arrived_by_priority
        arrived[priority] = arrived.get(priority, 0) + 1

    def _note(self, priority: int) -> None:
        """Takes a priority into the range of those seen."""
        self._highest = min(self._highest, priority // 2)
        self._lowest = max(self._lowest, priority // 2)

    def prefers(self, priority: int, at: float, now: float) -> bool:
        """Returns whether the caller of a new flow is preferred.

        All are while no flows of another priority have been seen, and below
        the highest priority.

        Args:
            priority: Priority of the flow.
            at: Position of its caller, see ``caller_shares.position``.
            now: Present time, seconds.
        """
        self._note(priority)
        if self._lowest == self._highest or priority // 2 != self._highest:
            return True
        self._callers.record_arrival(at, now)
        return self._callers.prefers(at)

    def claim(self, priority: int, now: float) -> bool:
        """Decides whether a new flow takes the share of lower priorities.

        They take turns. The caller counts ``claims`` down.

        Args:
            priority: Priority of the flow.
            now: Present time, seconds.

        Returns:
            Whether it does, and so does not yield to higher priorities.
        """
        if priority // 2 == self._highest or self.claims >= self._share.due:
            return False
        claimed_at = self._claimed_at_by_priority
        lower = {
            other
            for piece in self._slices
            for other in piece.arrived_by_priority
            if other // 2 > self._highest
        }
        first = min(
            lower, key=lambda each: (claimed_at.get(each, -math.inf), each)
        )
        if first != priority:
            return False
        claimed_at[priority] = now
        self.claims += 1
        return True

    def _current_slice(self, now: float) -> _Slice:
        """Returns the slice of the present time, and drops outdated ones."""
        while self._slices and now - self._slices[0].began_at > RATE_WINDOW_S:
            self._slices.popleft()
        if not self._slices or now - self._slices[-1].began_at >= SLICE_S:
            self._slices.append(_Slice(now))
        return self._slices[-1]

    def set_due(self, priority: int, due: float) -> None:
        """Applies the time at which a waiting flow queries targets."""
        earlier = self.due_by_priority.get(priority, due)
        self.due_by_priority[priority] = min(earlier, due)

    def add(self, priority: int) -> None:
        """Adds a flow that waits from now on."""
        count = self.count_by_priority.get(priority, 0)
        self.count_by_priority[priority] = count + 1

    def remove(self, priority: int) -> None:
        """Removes a flow that no longer waits."""
        self.count_by_priority[priority] -= 1
        if not self.count_by_priority[priority]:
            del self.count_by_priority[priority]
            self.due_by_priority.pop(priority, None)

    def higher_is_due(self, priority: int, until: float) -> bool:
        """Returns whether a flow of a higher priority is due by a time."""
        return any(
            higher < priority and due <= until
            for higher, due in self.due_by_priority.items()
        )

    def record_saturated(
        self, priority: int, address: bytes, now: float
    ) -> None:
        """Records that a new flow found all targets busy.

        Args:
            priority: Priority of the route.
            address: Address of the route.
            now: Present time, seconds.
        """
        self._saturated_at_by_priority[priority] = now
        by_address = self._saturated_at_by_address
        by_address[address] = now
        by_address.move_to_end(address)
        while now - next(iter(by_address.values())) > SATURATION_S:
            by_address.popitem(last=False)

    def is_saturated(self, priority: int, address: bytes, now: float) -> bool:
        """Returns whether flows of a route need not query targets.

        That holds if all targets were busy for a flow of the same route, or
        of a higher priority, to which flows of this route yield. Linear in the
        number of priorities, whatever the number of routes.

        Args:
            priority: Priority of the route.
            address: Address of the route.
            now: Present time, seconds.
        """
        own_at = self._saturated_at_by_address.get(address, -math.inf)
        return now - own_at <= SATURATION_S or any(
            other < priority and now - saturated_at <= SATURATION_S
            for other, saturated_at in self._saturated_at_by_priority.items()
        )

    def estimate(
        self, priority: int, objective_s: float, now: float
    ) -> Estimate | None:
        """Returns when a new flow could be answered at the earliest.

        Flows of higher priorities that arrive meanwhile are placed first. A
        flow that is not placed within its objective gets a free slot only, as
        ``Placement.remaining_ms`` says: it then waits for all flows that
        arrive meanwhile, and without end while these use all slots.

        Args:
            priority: Priority of the flow.
            objective_s: What is left of its latency objective, seconds.
            now: Present time, seconds.

        Returns:
            None without a fresh answer, or without enough placed flows to
            measure their rate: nobody knows how long an outage lasts.
        """
        window_s = min(RATE_WINDOW_S, now - self._placing_since)
        placed_recently = now - self._placed_at <= MAX_PLACEMENT_GAP_S
        least_load_ms = self._least_fresh_load_ms(now)
        if window_s < MIN_RATE_WINDOW_S or not placed_recently:
            return None
        if least_load_ms is None:
            return None
        pieces = [p for p in self._slices if now - p.began_at <= window_s]
        # Ends of the 0.95 confidence intervals of Poisson processes.
        placed = sum(piece.placed for piece in pieces)
        placed_per_s = (placed + 2 * math.sqrt(placed) + 3) / window_s
        higher_per_s = _least_rate_per_s(priority - 1, pieces, window_s)
        arriving_per_s = _least_rate_per_s(priority, pieces, window_s)
        ahead = _count_up_to(priority, self.count_by_priority)
        wait_s = _wait_s(ahead, placed_per_s - higher_per_s)
        if wait_s > objective_s:
            wait_s = _wait_s(ahead, placed_per_s - arriving_per_s)
        answer_s = wait_s + least_load_ms * MIN_FREE_SHARE / 1000
        return Estimate(answer_s, ahead, placed_per_s, arriving_per_s)

    def _least_fresh_load_ms(self, now: float) -> int | None:
        """Returns the lowest load in fresh answers, None without any."""
        return min(
            (
                piece.least_load_ms
                for piece in self._slices
                if now - piece.began_at <= FRESH_ANSWER_S
                and piece.least_load_ms is not None
            ),
            default=None,
        )


def _least_rate_per_s(
    priority: int, pieces: list[_Slice], window_s: float
) -> float:
    """Returns the least plausible rate of new flows up to a priority."""
    arrived = sum(
        _count_up_to(priority, piece.arrived_by_priority) for piece in pieces
    )
    return max(0.0, arrived - 2 * math.sqrt(arrived)) / window_s


def _wait_s(ahead: int, spare_per_s: float) -> float:
    """Returns how long flows wait for what others leave, seconds."""
    return ahead / spare_per_s if spare_per_s > 0 else math.inf


def _count_up_to(priority: int, count_by_priority: dict[int, int]) -> int:
    """Returns the number of flows of the same or a higher priority."""
    return sum(
        count for other, count in count_by_priority.items() if other <= priority
    )
