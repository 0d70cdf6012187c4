"""When to compare whole tables with a peer."""

import random

__all__ = ["SyncSchedule"]

MIN_DIFFERENCE_S = 3.0
MEAN_SYNC_INTERVAL_S = 10.0


class SyncSchedule:
    """Asks for a repair when views have differed for a while.

    News is always under way somewhere, so digests differ for a moment after
    each change; only a difference that lasts is worth a transfer.
    """

    def __init__(self, generator: random.Random):
        self._random = generator
        self._differs_since: float | None = None
        self._next = 0.0

    def is_due(self, differs: bool, now: float) -> bool:
        """Tells whether to compare tables now.

        Args:
            differs: Whether the digest that a peer just told differs from the
                own one.
            now: Present time, seconds.
        """
        if not differs:
            self._differs_since = None
            return False
        if self._differs_since is None:
            self._differs_since = now
        if now - self._differs_since < MIN_DIFFERENCE_S or now < self._next:
            return False
        self._next = now + MEAN_SYNC_INTERVAL_S * (0.5 + self._random.random())
        self._differs_since = None
        return True
