"""Requests that a target has been sent, and how many more it is sent.

The limit is ``slots`` + 1. It rises when held requests can no longer all be
answered in time, so that they overflow into the target's own queue, and falls
once none is held. The target's rejections show the capacity of its queue.
"""

import enum

__all__ = ["Ending", "RequestsInProgress"]

SPARE_REQUESTS = 1
"""Requests in progress beyond the slots.

One waits at the target, so that no slot is idle from an answer to the arrival
of the request that is forwarded upon it.
"""

IN_PROGRESS_TIMEOUT_S = 5.0
"""Time from its last data to the end of an unanswered request, seconds."""


class Ending(enum.Enum):
    """How a request ends."""

    SERVED = "served"
    REJECTED = "rejected"  # answered without being served
    UNANSWERED = "unanswered"  # by the end of its flow or the timeout


class RequestsInProgress:
    """Requests in progress at one target, by flow key.

    Attributes:
        limit: Requests in progress from which further ones are held.
        service_s: Expected service time at the target, seconds; set by the
            owner.
    """

    def __init__(self, slots: int):
        """Starts without requests.

        Args:
            slots: Requests that the target serves at once.
        """
        self.service_s = 0.0
        self._deadline_by_key: dict[bytes, float] = {}  # in order of time
        self.configure(slots)

    def __len__(self) -> int:
        """Returns the number of requests in progress."""
        return len(self._deadline_by_key)

    def configure(self, slots: int) -> None:
        """Sets the number of requests that the target serves at once.

        Args:
            slots: The number, at least 1.
        """
        self._slots = slots
        self._min_limit = slots + SPARE_REQUESTS
        self._capacity: int | None = None  # requests it takes, once known
        self.limit = self._min_limit

    @property
    def has_room(self) -> bool:
        """Whether a request may be forwarded in turn."""
        return len(self._deadline_by_key) < self.limit

    @property
    def has_rejected(self) -> bool:
        """Whether the target is known to reject requests."""
        return self._capacity is not None

    @property
    def is_full(self) -> bool:
        """Whether the target would reject a further request."""
        if self._capacity is None:
            return False
        return len(self._deadline_by_key) >= self._capacity

    def expected_s(self, before: int) -> float:
        """Returns the time to the answer of a further request, seconds.

        Args:
            before: Requests that are forwarded before it.
        """
        requests = len(self._deadline_by_key) + before + 1
        return requests * self.service_s / self._slots

    def begin(self, key: bytes, now: float) -> None:
        """Counts a request that is forwarded now.

        Args:
            key: Flow key.
            now: Present time, seconds.
        """
        self._deadline_by_key.pop(key, None)
        self._deadline_by_key[key] = now + IN_PROGRESS_TIMEOUT_S

    def extend(self, key: bytes, now: float) -> None:
        """Starts the timeout of a request anew, since more data is forwarded.

        Has no effect if the request has ended.

        Args:
            key: Flow key.
            now: Present time, seconds.
        """
        if key in self._deadline_by_key:
            self.begin(key, now)

    def begin_beyond_limit(self, key: bytes, now: float) -> None:
        """Counts a request as ``begin``; raises the limit to include it.

        Args:
            key: Flow key.
            now: Present time, seconds.
        """
        self.begin(key, now)
        self.limit = max(self.limit, len(self._deadline_by_key))

    def make_room(self) -> None:
        """Raises the limit so that one more request may be forwarded."""
        self.limit = max(self.limit, len(self._deadline_by_key) + 1)

    def end(self, key: bytes, ending: Ending, any_held: bool) -> bool:
        """Ends a request.

        Only answers show the capacity of the target's queue: a request without
        one may have been lost, or be in the queue no longer.

        Args:
            key: Flow key.
            ending: How it ends.
            any_held: Whether requests are held.

        Returns:
            Whether it was in progress.
        """
        in_progress = len(self._deadline_by_key)
        if self._deadline_by_key.pop(key, None) is None:
            return False
        if ending is Ending.REJECTED:
            self._capacity = max(self._min_limit, in_progress - 1)
        elif ending is Ending.SERVED and self._capacity is not None:
            self._capacity = max(self._capacity, in_progress)
        # After a rejection the target's queue is full with those left.
        if ending is Ending.REJECTED or not any_held:
            self._lower_limit()
        return True

    def end_unanswered(self, now: float, any_held: bool) -> None:
        """Ends the requests whose answer takes too long.

        Args:
            now: Present time, seconds.
            any_held: Whether requests are held.
        """
        while self._deadline_by_key:
            key = next(iter(self._deadline_by_key))
            if self._deadline_by_key[key] > now:
                return
            del self._deadline_by_key[key]
            if not any_held:
                self._lower_limit()

    def clear(self) -> None:
        """Ends all requests."""
        self._deadline_by_key.clear()
        self.limit = self._min_limit

    def _lower_limit(self) -> None:
        """Lowers the limit to the requests in progress."""
        in_progress = len(self._deadline_by_key)
        self.limit = max(self._min_limit, min(self.limit, in_progress))
