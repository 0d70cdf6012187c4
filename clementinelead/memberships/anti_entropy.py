"""Schedule of anti-entropy: when to sync the full state with a peer."""

import random

__all__ = ["SyncSchedule"]

MIN_DIFFERENCE_S = 3.0
"""Time for which digests must differ before a sync, seconds."""

MEAN_SYNC_INTERVAL_S = 10.0
"""Mean of the minimum time between syncs, seconds."""


class SyncSchedule:
    """Makes a sync due once digests have differed for 3 seconds.

    Digests differ briefly after each change, while it is disseminated; only a
    lasting difference justifies a transfer.
    """

    def __init__(self, generator: random.Random):
        """Starts without a difference.

        Args:
            generator: Source of the jitter, half to one and a half intervals.
        """
        self._random = generator
        self._differs_since: float | None = None
        self._earliest_sync = 0.0

    def is_due(self, differs: bool, now: float) -> bool:
        """Returns whether to sync now, and restarts the interval if so.

        Args:
            differs: Whether the digest just received from a peer differs from
                that of this process.
            now: Present time, seconds.
        """
        if not differs:
            self._differs_since = None
            return False
        if self._differs_since is None:
            self._differs_since = now
        if (
            now - self._differs_since < MIN_DIFFERENCE_S
            or now < self._earliest_sync
        ):
            return False
        self._earliest_sync = now + MEAN_SYNC_INTERVAL_S * (
            0.5 + self._random.random()
        )
        self._differs_since = None
        return True
