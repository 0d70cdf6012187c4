"""Limit of the extra openings of each service, and recent distributions.

Both are bounded in memory: a budget has one entry for each interval of its
window, a distribution one counter for each bucket.
"""

import bisect
import collections
import math

__all__ = ["WINDOW_S", "Budgets", "RecentDistribution"]

WINDOW_S = 10.0
"""Length of the sliding window of a budget, seconds."""

INTERVAL_S = 0.5
"""Resolution of the window, seconds."""

HALF_LIFE_S = 10.0
"""Time in which the weight of an observation falls by half, seconds."""

MIN_WEIGHT = 20.0
"""Least weight of all observations for which a quantile is known.

The 0.95 quantile of fewer observations is their largest one.
"""

BOUNDS = tuple(2.0 ** (step / 4) for step in range(-12, 73))
"""Upper bounds of the buckets, 1/8 to 2**18; neighbours differ by a fifth."""

_INTERVALS = round(WINDOW_S / INTERVAL_S)


class _Budget:
    """Openings and extra openings of one service by interval."""

    def __init__(self) -> None:
        # Interval, openings, extra openings; the oldest interval first.
        self._intervals: collections.deque[list[int]] = collections.deque()

    def add(self, openings: int, extra: int, now: float) -> None:
        current = math.floor(now / INTERVAL_S)
        self.expire(now)
        if not self._intervals or self._intervals[-1][0] != current:
            self._intervals.append([current, 0, 0])
        self._intervals[-1][1] += openings
        self._intervals[-1][2] += extra

    def expire(self, now: float) -> bool:
        """Drops the intervals before the window; returns whether none is left.

        The interval in which the window begins is kept.
        """
        oldest = math.floor(now / INTERVAL_S) - _INTERVALS
        while self._intervals and self._intervals[0][0] < oldest:
            self._intervals.popleft()
        return not self._intervals

    def allows(self, share: float, now: float) -> bool:
        """Returns whether one more extra opening is within the share.

        Of the interval in which the window begins, the extra openings count
        and the openings don't, so that the limit holds at any time.
        """
        self.expire(now)
        oldest = math.floor(now / INTERVAL_S) - _INTERVALS
        openings = sum(
            entry[1] for entry in self._intervals if entry[0] > oldest
        )
        extra = sum(entry[2] for entry in self._intervals)
        return extra + 1 <= share * openings


class Budgets:
    """Budgets by service: extra openings as a share of recent openings."""

    def __init__(self, share: float):
        """Starts without openings.

        Args:
            share: Largest share of extra openings in the window, 0 to 1.
        """
        self._share = share
        self._by_service: dict[str, _Budget] = {}

    def add_opening(self, service: str, now: float) -> None:
        """Counts an opening of a service.

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
        """Drops services without openings in the window."""
        unused = [
            service
            for service, budget in self._by_service.items()
            if budget.expire(now)
        ]
        for service in unused:
            del self._by_service[service]

    def spend(self, service: str, now: float) -> bool:
        """Counts an extra opening if the limit allows it.

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


class RecentDistribution:
    """Histogram of positive values whose observations lose weight with time."""

    def __init__(self) -> None:
        self._weights = [0.0] * (len(BOUNDS) + 1)
        self._total = 0.0
        self._decayed_at = float("-inf")

    def add(self, value: float, now: float) -> None:
        """Adds an observation.

        Args:
            value: The value, not negative.
            now: Present time, seconds.
        """
        self._decay(now)
        self._weights[bisect.bisect_left(BOUNDS, value)] += 1.0
        self._total += 1.0

    def quantile(self, share: float, now: float) -> float | None:
        """Returns a value that a share of the observations does not exceed.

        It is the upper bound of a bucket. None if there are too few recent
        observations, infinite if it is above all bounds.

        Args:
            share: The share, 0 to 1.
            now: Present time, seconds.
        """
        self._decay(now)
        if self._total < MIN_WEIGHT:
            return None
        remaining = share * self._total
        for bound, weight in zip(BOUNDS, self._weights, strict=False):
            remaining -= weight
            if remaining <= 0:
                return bound
        return float("inf")

    def _decay(self, now: float) -> None:
        """Reduces all weights, at most once an interval."""
        elapsed_s = now - self._decayed_at
        if elapsed_s < INTERVAL_S:
            return
        self._decayed_at = now
        factor = 0.5 ** (elapsed_s / HALF_LIFE_S)
        self._weights = [weight * factor for weight in self._weights]
        self._total = sum(self._weights)
