"""Counters and histograms that are cheap to update."""

import bisect
import collections

__all__ = ["CounterSet", "Histogram"]


class CounterSet:
    """Counters by cause, cheap enough to update for each packet.

    An update costs one dictionary update, since OpenTelemetry reads the
    counters only when metrics are requested.

    Attributes:
        by_cause: Counts by cause.
    """

    def __init__(self) -> None:
        self.by_cause: collections.Counter[str] = collections.Counter()

    def add(self, cause: str, number: int = 1) -> None:
        """Adds to the counter of a cause.

        Args:
            cause: The cause.
            number: Number of events to add.
        """
        self.by_cause[cause] += number


class Histogram:
    """Histogram of observed values.

    Attributes:
        bounds: Upper bounds of all buckets but the last, ascending; a value
            equal to a bound counts in its bucket.
        counts: Observations in each bucket.
        total: Sum of the observed values.
    """

    def __init__(self, bounds: tuple[float, ...]):
        self.bounds = bounds
        self.counts = [0] * (len(bounds) + 1)
        self.total = 0.0

    def observe(self, value: float) -> None:
        """Adds a value to its bucket and to the total.

        Args:
            value: The value.

        Examples:
            >>> histogram = Histogram((1.0, 2.0))
            >>> histogram.observe(1.5)
            >>> histogram.counts
            [0, 1, 0]
        """
        self.counts[bisect.bisect_left(self.bounds, value)] += 1
        self.total += value
