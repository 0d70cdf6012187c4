"""Limit of the flows of each service that get further load queries.

Load pattern: a burst in which the number of new flows grows tenfold. The limit
holds for any window, and not for the mean rate only.
"""

import collections
import math

__all__ = ["INTERVAL_S", "WINDOW_S", "Budgets"]

WINDOW_S = 10.0
"""Length of the sliding window of a budget, seconds."""

INTERVAL_S = 0.5
"""Resolution of the window, seconds."""

_INTERVALS = round(WINDOW_S / INTERVAL_S)


class _Budget:
    """New flows of one service, and those with queries, by interval."""

    def __init__(self) -> None:
        # Interval, new flows, those with queries; the oldest interval first.
        self._intervals: collections.deque[list[int]] = collections.deque()

    def add(self, flows: int, queries: int, now: float) -> None:
        current = math.floor(now / INTERVAL_S)
        self.expire(now)
        if not self._intervals or self._intervals[-1][0] != current:
            self._intervals.append([current, 0, 0])
        self._intervals[-1][1] += flows
        self._intervals[-1][2] += queries

    def expire(self, now: float) -> bool:
        """Drops the intervals before the window; returns whether none is left.

        The interval in which the window begins is kept.
        """
        oldest = math.floor(now / INTERVAL_S) - _INTERVALS
        while self._intervals and self._intervals[0][0] < oldest:
            self._intervals.popleft()
        return not self._intervals

    def allows(self, share: float, now: float) -> bool:
        """Returns whether one more flow with queries is within the share.

        Of the interval in which the window begins, the flows with queries count
        and the new flows don't, so that the limit holds at any time.
        """
        self.expire(now)
        oldest = math.floor(now / INTERVAL_S) - _INTERVALS
        flows = sum(entry[1] for entry in self._intervals if entry[0] > oldest)
        queries = sum(entry[2] for entry in self._intervals)
        return queries + 1 <= share * flows


class Budgets:
    """Budgets by service, as shares of the recent new flows.

    A budget has one entry for each interval of its window.
    """

    def __init__(self, share: float):
        """Starts without flows.

        Args:
            share: Largest share of flows with queries in the window, 0 to 1.
        """
        self._share = share
        self._by_service: dict[str, _Budget] = {}

    def add_flow(self, service: str, now: float) -> None:
        """Counts a new flow of a service.

        Args:
            service: Name of the service.
            now: Present time, seconds.
        """
        budget = self._by_service.get(service)
        if budget is None:
            self._drop_unused(now)
            budget = self._by_service.setdefault(service, _Budget())
        budget.add(1, 0, now)

    def _drop_unused(self, now: float) -> None:
        """Drops services without new flows in the window."""
        unused = [
            service
            for service, budget in self._by_service.items()
            if budget.expire(now)
        ]
        for service in unused:
            del self._by_service[service]

    def spend(self, service: str, now: float) -> bool:
        """Counts a flow with queries if the limit allows it.

        Args:
            service: Name of the service.
            now: Present time, seconds.

        Returns:
            Whether the limit allows it.
        """
        budget = self._by_service.get(service)
        if budget is None or not budget.allows(self._share, now):
            return False
        budget.add(0, 1, now)
        return True
