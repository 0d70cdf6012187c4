"""Priority and admission of new flows under more load than targets can serve.

A balancer decides which of its waiting flows may query targets, and refuses
new flows that no target could answer within their time budget. A side process
keeps room at its target for flows of the highest priority. The load pattern is
new flows that arrive at up to ten times the rate at which targets serve them.
"""

import collections
import collections.abc
import math

import msgspec
import xxhash

from clementinelead.relays import frames
from clementinelead.relays import pending_flows
from clementinelead.relays import routes
from clementinelead.relays import workload

__all__ = ["Admission", "Estimate", "ReservedRoom", "refusal_delay_s"]

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

REFUSAL_SPREAD_S = 0.05
"""Time over which refusals are spread by the flow's hash, seconds.

Callers that are refused at the same moment would come back together.
"""

LOWER_PRIORITY_SHARE = 0.7
"""Share of the objective that flows below the highest priority may need.

Flows of the highest priority may need ``workload.MAX_OBJECTIVE_SHARE``.
"""

MIN_FREE_SHARE = 1.0 - workload.MAX_UTILISATION
"""Least factor from a reported load to the expected time to the answer.

Targets divide the expected time by their free share, which is not reported.
"""

_REFUSAL_SEED = 0x41


def refusal_delay_s(key: bytes) -> float:
    """Returns the time from the arrival of a flow to its refusal, seconds.

    It is below ``REFUSAL_SPREAD_S`` and the same at all balancers.

    Args:
        key: Flow key.
    """
    digest = xxhash.xxh3_64_intdigest(key, seed=_REFUSAL_SEED)
    return REFUSAL_SPREAD_S * digest / 2**64


def _rank(route: routes.Route) -> int:
    """Returns the priority of a route, bounded by the lowest one."""
    return min(route.priority, routes.LOWEST_PRIORITY)


class ReservedRoom(msgspec.Struct, frozen=True):
    """Room at a target that is kept for flows of the highest priority.

    Attributes:
        priorities: Priorities of the routes to its service, ascending.
    """

    priorities: tuple[int, ...] = ()

    def objective_share(self, route: routes.Route | None) -> float:
        """Returns the share of its objective that a new flow may need.

        Args:
            route: Route of the flow, None if it is not known.
        """
        if route is None or len(self.priorities) < 2:
            return workload.MAX_OBJECTIVE_SHARE
        if route.priority <= self.priorities[0]:
            return workload.MAX_OBJECTIVE_SHARE
        return LOWER_PRIORITY_SHARE


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


class _Backlog:
    """The waiting flows of a service, and what is known about their progress.

    It exists while flows of the service wait.

    Attributes:
        count_by_priority: Waiting flows.
        due_by_priority: Time at which the next one queries targets, seconds.
    """

    def __init__(self) -> None:
        self.count_by_priority: dict[int, int] = {}
        self.due_by_priority: dict[int, float] = {}
        self._placed_at = float("-inf")
        self._placing_since = float("-inf")
        self._slices: collections.deque[_Slice] = collections.deque()

    def record_load(self, load_ms: int, now: float) -> None:
        """Records the load that a target reports, milliseconds."""
        piece = self._current_slice(now)
        if piece.least_load_ms is None or load_ms < piece.least_load_ms:
            piece.least_load_ms = load_ms

    def record_placed(self, now: float) -> None:
        """Records that a target has accepted a flow.

        After an outage of all targets the rate is measured afresh.
        """
        if now - self._placed_at > MAX_PLACEMENT_GAP_S:
            self._placing_since = now
        self._placed_at = now
        self._current_slice(now).placed += 1

    def record_arrival(self, priority: int, now: float) -> None:
        """Records a new flow."""
        arrived = self._current_slice(now).arrived_by_priority
        arrived[priority] = arrived.get(priority, 0) + 1

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

    def estimate(
        self, priority: int, objective_s: float, now: float
    ) -> Estimate | None:
        """Returns when a new flow could be answered at the earliest.

        A flow that is not placed within its objective gets a free slot only,
        as ``Placement.remaining_ms`` says. It then waits for the flows that
        arrive meanwhile, too, and without end while these alone use all slots.

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
        placed = sum(piece.placed for piece in pieces)
        arrived = sum(
            _count_up_to(priority, piece.arrived_by_priority)
            for piece in pieces
        )
        # Ends of the 0.95 confidence intervals of Poisson processes.
        placed_per_s = (placed + 2 * math.sqrt(placed) + 3) / window_s
        arriving_per_s = max(0.0, arrived - 2 * math.sqrt(arrived)) / window_s
        ahead = _count_up_to(priority, self.count_by_priority)
        wait_s = ahead / placed_per_s
        if wait_s > objective_s:
            spare_per_s = placed_per_s - arriving_per_s
            wait_s = ahead / spare_per_s if spare_per_s > 0 else math.inf
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


def _count_up_to(priority: int, count_by_priority: dict[int, int]) -> int:
    """Returns the number of flows of the same or a higher priority."""
    return sum(
        count for other, count in count_by_priority.items() if other <= priority
    )


class Admission:
    """Decides which pending flows of a balancer may query targets.

    Its state covers services with waiting flows only and starts afresh with
    the process.
    """

    def __init__(self) -> None:
        """Starts without waiting flows."""
        self._backlog_by_service: dict[str, _Backlog] = {}

    def record_answer(self, service: str, load_ms: int, now: float) -> None:
        """Records a target's answer to a query or an opening packet.

        Args:
            service: Name of the service.
            load_ms: The load that the target reports, milliseconds.
            now: Present time, seconds.
        """
        backlog = self._backlog_by_service.get(service)
        if backlog is None or load_ms == frames.NOT_ACCEPTING:
            return
        backlog.record_load(load_ms, now)

    def record_arrival(
        self, placement: pending_flows.Placement, now: float
    ) -> None:
        """Records a new flow.

        Args:
            placement: The flow.
            now: Present time, seconds.
        """
        backlog = self._backlog_by_service.get(placement.service)
        if backlog is not None:
            backlog.record_arrival(_rank(placement.route), now)

    def record_placed(self, service: str, now: float) -> None:
        """Records that a target has accepted a flow.

        Args:
            service: Name of the service.
            now: Present time, seconds.
        """
        backlog = self._backlog_by_service.get(service)
        if backlog is not None:
            backlog.record_placed(now)

    def hold(self, placement: pending_flows.Placement, now: float) -> None:
        """Records that a flow waits until its deadline to query targets.

        Args:
            placement: The flow.
            now: Present time, seconds.
        """
        backlog = self._backlog_by_service.setdefault(
            placement.service, _Backlog()
        )
        priority = _rank(placement.route)
        if not placement.waiting:
            placement.waiting = True
            count = backlog.count_by_priority.get(priority, 0)
            backlog.count_by_priority[priority] = count + 1
        placement.paused = True
        backlog.set_due(priority, placement.deadline)

    def release(self, placement: pending_flows.Placement) -> None:
        """Records that a flow is no longer pending.

        Args:
            placement: The flow.
        """
        if not placement.waiting:
            return
        placement.waiting = False
        backlog = self._backlog_by_service[placement.service]
        backlog.remove(_rank(placement.route))
        if not backlog.count_by_priority:
            del self._backlog_by_service[placement.service]

    def update_due(
        self, placements: collections.abc.Iterable[pending_flows.Placement]
    ) -> None:
        """Updates when the waiting flows query targets; linear in the flows.

        Args:
            placements: All pending flows.
        """
        backlogs = self._backlog_by_service
        if all(len(item.count_by_priority) < 2 for item in backlogs.values()):
            return
        for backlog in backlogs.values():
            backlog.due_by_priority.clear()
        for placement in placements:
            if placement.waiting and placement.chosen is None:
                backlogs[placement.service].set_due(
                    _rank(placement.route), placement.deadline
                )

    def must_yield(
        self, placement: pending_flows.Placement, now: float
    ) -> bool:
        """Returns whether a flow may not query targets now.

        It may not while a flow of a higher priority of the same service waits
        and is due within the flow's next pause.

        Args:
            placement: The flow.
            now: Present time, seconds.
        """
        backlog = self._backlog_by_service.get(placement.service)
        if backlog is None:
            return False
        until = now + placement.retry_delay_s
        return backlog.higher_is_due(_rank(placement.route), until)

    def unanswerable(
        self, placement: pending_flows.Placement, now: float
    ) -> Estimate | None:
        """Returns the estimate for a flow that can't be answered in time.

        Args:
            placement: A new flow.
            now: Present time, seconds.

        Returns:
            None if the flow may be answered within its time budget, or may
            have reached a target.
        """
        backlog = self._backlog_by_service.get(placement.service)
        if backlog is None or placement.may_be_open or placement.delivered_to:
            return None
        objective_s = placement.remaining_ms(now) / 1000
        estimate = backlog.estimate(_rank(placement.route), objective_s, now)
        if estimate is None:
            return None
        answered_at = now + estimate.answer_s
        ends_at = placement.began_at + placement.route.timeout_ms / 1000
        return estimate if answered_at > ends_at else None
