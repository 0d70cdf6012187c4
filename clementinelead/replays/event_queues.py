"""What is due when, in the time of a replay."""

import collections.abc
import heapq

__all__ = ["EventQueue"]

Action = collections.abc.Callable[[], None]


class EventQueue:
    """Runs actions in the order of their times.

    Attributes:
        now: Present time, seconds.

    Example:
        >>> event_queue = EventQueue()
        >>> event_queue.schedule(2.0, lambda: print("second"))
        >>> event_queue.schedule(1.0, lambda: print("first"))
        >>> event_queue.run(until=3.0)
        first
        second
    """

    def __init__(self) -> None:
        self.now = 0.0
        self._due: list[tuple[float, int, Action]] = []
        self._count = 0

    def schedule(self, moment: float, action: Action) -> None:
        """Plans an action; those of the same time run as planned."""
        self._count += 1
        heapq.heappush(self._due, (moment, self._count, action))

    def run(self, until: float) -> None:
        """Runs what is due up to a time, seconds."""
        while self._due and self._due[0][0] <= until:
            self.now, _, action = heapq.heappop(self._due)
            action()
