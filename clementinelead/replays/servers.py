"""A target's slots and queue, in the time of a replay."""

import collections
import dataclasses
import enum
import heapq

from clementinelead.replays import loads

__all__ = ["Answer", "Server", "Status"]

REJECTION_TIME_S = 0.0005
"""Time that a failure or a full queue takes to be told, seconds."""


class Status(enum.Enum):
    """How a target answers."""

    OK = "ok"
    FAILED = "failed"
    SHED = "shed"  # turned away, not run


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What a target says to a request, and when.

    Attributes:
        at_s: When it is sent, seconds.
        status: What it says.
    """

    at_s: float
    status: Status


class Server:
    """Works on requests in the order in which they come.

    Attributes:
        spec: The target.
        condition: How it is now.
        served_requests: Requests answered well.
    """

    def __init__(self, spec: loads.TargetSpec):
        self.spec = spec
        self.condition = loads.Condition()
        self.served_requests = 0
        self._free_at = [0.0] * spec.slots
        self._starts: collections.deque[float] = collections.deque()

    def serve(self, work_s: float, draw: float, now: float) -> Answer | None:
        """Returns the answer to a request, None if there is none.

        Args:
            work_s: Time that it takes a target of slowness 1, seconds.
            draw: A number from 0 to 1 that decides whether it fails.
            now: Present time, seconds.
        """
        condition = self.condition
        if not condition.up or draw < condition.mute:
            return None
        if draw < condition.mute + condition.failing:
            return Answer(now + REJECTION_TIME_S, Status.FAILED)
        while self._starts and self._starts[0] <= now:
            self._starts.popleft()
        if len(self._starts) >= self.spec.queue:
            return Answer(now + REJECTION_TIME_S, Status.SHED)
        start = max(now, self._free_at[0])
        if start > now:
            self._starts.append(start)
        end = start + work_s * self.spec.slowness * condition.slowness
        heapq.heapreplace(self._free_at, end)
        self.served_requests += 1
        return Answer(end, Status.OK)

    def completion_time_s(self, work_s: float, now: float) -> float:
        """Returns when a request that comes now would be done, seconds.

        Only a policy that knows everything may ask.
        """
        if not self.condition.up or self.condition.mute:
            return float("inf")
        start = max(now, self._free_at[0])
        return start + work_s * self.spec.slowness * self.condition.slowness
