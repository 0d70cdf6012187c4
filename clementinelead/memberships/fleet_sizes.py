"""How many processes of a kind there were at once within a while."""

import collections

__all__ = ["FleetSize"]


class FleetSize:
    """The highest of the counts observed within a sliding window.

    Processes that are cut off or restart are missing from a count for a few
    seconds; the highest count still has them.

    Example:
        >>> size = FleetSize(window_s=20.0)
        >>> size.observe(5, now=0.0)
        >>> size.observe(3, now=1.0)
        >>> size.most(now=2.0), size.most(now=20.5)
        (5, 3)
    """

    def __init__(self, window_s: float):
        """Starts without an observation.

        Args:
            window_s: How long a count is taken into account, seconds.
        """
        self._window_s = window_s
        # Counts fall from left to right; later ones outlive earlier ones.
        self._observed: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    def observe(self, count: int, now: float) -> None:
        """Takes a count into account.

        Args:
            count: Processes that are there.
            now: Present time, seconds.
        """
        while self._observed and self._observed[-1][1] <= count:
            self._observed.pop()
        self._observed.append((now, count))

    def most(self, now: float) -> int:
        """Returns the highest count, 0 before the first observation.

        The last observation counts for as long as no other follows it.

        Args:
            now: Present time, seconds.
        """
        oldest = now - self._window_s
        while len(self._observed) > 1 and self._observed[0][0] < oldest:
            self._observed.popleft()
        return self._observed[0][1] if self._observed else 0
