"""The event queue of a simulation, and its clock."""

import collections.abc
import heapq

__all__ = ["EventQueue"]

Action = collections.abc.Callable[[], None]


class EventQueue:
    """Runs scheduled actions in the order of their times.

    Attributes:
        now: Present simulated time, seconds.

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
        self._events: list[tuple[float, int, Action]] = []
        self._scheduled_count = 0

    def schedule(self, at_s: float, action: Action) -> None:
        """Adds an action; those of the same time run as scheduled.

        Args:
            at_s: Simulated time of the action, seconds.
            action: Is called without arguments, with ``now`` at that time.
        """
        self._scheduled_count += 1
        heapq.heappush(self._events, (at_s, self._scheduled_count, action))

    def run(self, until: float) -> None:
        """Runs all actions that are due.

        Args:
            until: Time of the last actions to run, seconds.
        """
        while self._events and self._events[0][0] <= until:
            self.now, _, action = heapq.heappop(self._events)
            action()
