"""Model of a target: a server with slots and a bounded queue."""

import collections
import dataclasses
import enum
import heapq

from clementinelead.replays import loads

__all__ = ["Answer", "Server", "Status"]

REJECTION_TIME_S = 0.0005
"""Time until a target reports a failure or a full queue, seconds."""


class Status(enum.Enum):
    """How a target answers a request."""

    OK = "ok"
    FAILED = "failed"
    SHED = "shed"  # rejected, not run


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A target's answer to a request.

    Attributes:
        at_s: When the target sends it, seconds.
        status: Result of the request.
    """

    at_s: float
    status: Status


class Server:
    """A target that serves requests first come, first served.

    Attributes:
        spec: Fixed properties of the target.
        condition: Its present condition.
        served_requests: Requests accepted for service so far.
    """

    def __init__(self, spec: loads.TargetSpec):
        self.spec = spec
        self.condition = loads.Condition()
        self.served_requests = 0
        self._slot_free_at_s = [0.0] * spec.slots
        self._queued_starts_s: collections.deque[float] = collections.deque()

    def serve(self, work_s: float, draw: float, now: float) -> Answer | None:
        """Adds a request; returns its answer, None if there is none.

        Args:
            work_s: Its service time at a target of slowness 1, seconds.
            draw: A random number from 0 to 1 that decides whether it fails.
            now: Present time, seconds.
        """
        condition = self.condition
        if not condition.up or draw < condition.mute:
            return None
        if draw < condition.mute + condition.failing:
            return Answer(now + REJECTION_TIME_S, Status.FAILED)
        while self._queued_starts_s and self._queued_starts_s[0] <= now:
            self._queued_starts_s.popleft()
        if len(self._queued_starts_s) >= self.spec.queue:
            return Answer(now + REJECTION_TIME_S, Status.SHED)
        start_s = max(now, self._slot_free_at_s[0])
        if start_s > now:
            self._queued_starts_s.append(start_s)
        end_s = start_s + work_s * self.spec.slowness * condition.slowness
        heapq.heapreplace(self._slot_free_at_s, end_s)
        self.served_requests += 1
        return Answer(end_s, Status.OK)

    def completion_time_s(self, work_s: float, now: float) -> float:
        """Returns when a request that arrives now would complete, seconds.

        Infinite if it might never complete. Only a policy with full
        information may call this, as real ones can't observe it.

        Args:
            work_s: Its service time at a target of slowness 1, seconds.
            now: Present time, seconds.
        """
        if not self.condition.up or self.condition.mute:
            return float("inf")
        start_s = max(now, self._slot_free_at_s[0])
        return start_s + work_s * self.spec.slowness * self.condition.slowness
