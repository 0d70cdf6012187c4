"""The share of the callers that a balancer prefers if it can't serve all.

The load pattern is callers that return some hundred milliseconds after a
refusal: what they ask is late by then, and looks new. If flows are refused
whoever sends them, most of those placed belong to callers that have returned.
"""

import math

import xxhash

__all__ = ["CallerShare", "position"]

PERIOD_S = 60.0
"""Time in which every caller is among the preferred ones once, seconds.

It is long against the return of callers, and so keeps them from being refused
first and preferred later.
"""

UPDATE_INTERVAL_S = 0.05
TIME_CONSTANT_S = 0.5
"""Time over which arrivals and placements are counted, seconds."""

ADAPTATION = 0.3
"""Weight of the latest interval in the share."""

MARGIN = 1.1
"""Flows of preferred callers, as a multiple of the flows that are placed.

Others are placed only while too few of the preferred ones arrive.
"""

MIN_EXCESS = 1.2
"""Least multiple of that at which some callers are preferred."""

MIN_PLACED = 3.0
"""Placed flows that are assumed beyond those counted."""

_BUCKETS = 32
MAX_BUCKET_FACTOR = 4.0
MAX_BUCKET_SLACK = 8.0
"""Flows in a bucket beyond the factor on their mean that are plausible.

More mean that few addresses stand for many callers. Then none is preferred.
"""

_SEED = 0x43


def position(host: bytes, now: float) -> float:
    """Returns the place of a caller in the order of preference, from 0 to 1.

    Args:
        host: Address of the caller, without the port.
        now: Present time, seconds.
    """
    digest = xxhash.xxh3_64_intdigest(host, seed=_SEED)
    return (digest / 2**64 + now / PERIOD_S) % 1.0


class CallerShare:
    """Measures which share of the callers the targets can serve."""

    def __init__(self) -> None:
        self._arrived = [0.0] * _BUCKETS
        self._placed = 0.0
        self._share = 1.0
        self._updated_at = float("-inf")

    def record_arrival(self, at: float, now: float) -> None:
        """Records a new flow.

        Args:
            at: Position of its caller.
            now: Present time, seconds.
        """
        self._update(now)
        self._arrived[min(_BUCKETS - 1, int(at * _BUCKETS))] += 1

    def record_placed(self) -> None:
        """Records that a target has accepted a flow."""
        self._placed += 1

    def prefers(self, at: float) -> bool:
        """Returns whether a caller is among the preferred ones.

        Args:
            at: Position of the caller.
        """
        return at < self._share

    def _update(self, now: float) -> None:
        elapsed_s = now - self._updated_at
        if elapsed_s < UPDATE_INTERVAL_S:
            return
        self._updated_at = now
        self._share += ADAPTATION * (self._served_share() - self._share)
        weight = math.exp(-elapsed_s / TIME_CONSTANT_S)
        self._arrived = [weight * count for count in self._arrived]
        self._placed *= weight

    def _served_share(self) -> float:
        """Returns the share of callers whose flows the targets can serve."""
        needed = MARGIN * (self._placed + MIN_PLACED)
        total = sum(self._arrived)
        most = MAX_BUCKET_FACTOR * total / _BUCKETS + MAX_BUCKET_SLACK
        if total <= MIN_EXCESS * needed or max(self._arrived) > most:
            return 1.0
        for number, count in enumerate(self._arrived):
            if count >= needed:
                return (number + needed / count) / _BUCKETS
            needed -= count
        return 1.0
