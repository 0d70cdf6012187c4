"""Counters and histograms that cost little where they are counted."""

import bisect
import collections

__all__ = ["CounterSet", "Histogram"]


class CounterSet:
    """Counts by cause, cheap enough for each packet.

    OpenTelemetry reads the counts when it is asked to, so counting costs one
    dictionary update.
    """

    def __init__(self) -> None:
        self.by_cause: collections.Counter[str] = collections.Counter()

    def add(self, cause: str, number: int = 1) -> None:
        """Adds to the count of a cause."""
        self.by_cause[cause] += number


class Histogram:
    """Counts of observed values by upper bound.

    Attributes:
        bounds: Upper bounds of all buckets but the last, rising.
        counts: Observations in each bucket.
        total: Sum of the observed values.
    """

    def __init__(self, bounds: tuple[float, ...]):
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Counts a value.

        Examples:
            >>> histogram = Histogram((1.0, 2.0))
            >>> histogram.observe(1.5)
            >>> histogram.counts
            [0, 1, 0]
        """
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.total += value
