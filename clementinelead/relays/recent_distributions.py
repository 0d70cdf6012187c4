"""Distribution of recent values, with one counter for each bucket."""

import bisect

__all__ = ["HALF_LIFE_S", "MIN_WEIGHT", "RecentDistribution"]

HALF_LIFE_S = 10.0
"""Time in which the weight of an observation falls by half, seconds."""

DECAY_INTERVAL_S = 0.5
"""Shortest time between two reductions of the weights, seconds."""

MIN_WEIGHT = 20.0
"""Least weight of all observations for which a quantile is known.

The 0.95 quantile of fewer observations is their largest one.
"""

BOUNDS = tuple(2.0 ** (step / 4) for step in range(-12, 73))
"""Upper bounds of the buckets, 1/8 to 2**18; neighbours differ by a fifth."""


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
        """Reduces all weights, at most once in DECAY_INTERVAL_S."""
        elapsed_s = now - self._decayed_at
        if elapsed_s < DECAY_INTERVAL_S:
            return
        self._decayed_at = now
        factor = 0.5 ** (elapsed_s / HALF_LIFE_S)
        self._weights = [weight * factor for weight in self._weights]
        self._total = sum(self._weights)
