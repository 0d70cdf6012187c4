"""State of the callers' flows, and of sessions that use a flow repeatedly."""

import collections
import dataclasses

from clementinelead.replays import calls
from clementinelead.replays import servers

__all__ = ["CallerFlow", "Session"]


@dataclasses.dataclass(slots=True, eq=False)
class CallerFlow:
    """The caller's state of a flow.

    Attributes:
        key: Flow key.
        zone: Availability zone of the caller.
        session: Number of its session, None if it carries one request.
        call: The call under way, None between the requests of a session.
        attempt: Number of the call's attempt.
        opened: Whether the caller has received a target's acceptance.
        sequence: Sequence number of the next data.
        acknowledgement: Sequence number of the next byte from the target.
        acknowledged: Sequence number up to which the target has the data.
        status: Answer of the target that executes its request.
        target: Name of that target.
    """

    key: bytes
    zone: str
    session: int | None
    call: calls.Call | None
    attempt: int
    opened: bool = False
    sequence: int = 1
    acknowledgement: int = 0
    acknowledged: int = 1
    status: servers.Status = servers.Status.OK
    target: str = ""

    def is_awaited(self) -> bool:
        """Returns whether it has the present attempt of an unfinished call."""
        call = self.call
        return (
            call is not None
            and call.outcome is None
            and call.attempts == self.attempt
        )


@dataclasses.dataclass(slots=True)
class Session:
    """A caller that sends several requests on one flow, one at a time.

    Attributes:
        remaining: Requests that have not ended.
        flow: Its present flow, None without one.
        call: The call under way, with its retries; None between requests.
        waiting: Calls that wait for the end of the present one.
    """

    remaining: int
    flow: CallerFlow | None = None
    call: calls.Call | None = None
    waiting: collections.deque[calls.Call] = dataclasses.field(
        default_factory=collections.deque
    )

    def admit(self, call: calls.Call) -> bool:
        """Makes a call the present one, or lets it wait for that.

        Args:
            call: A call at its first attempt.

        Returns:
            Whether it is the present one.
        """
        if self.call is not None:
            self.waiting.append(call)
            return False
        self.call = call
        return True

    def finish(self, call: calls.Call) -> calls.Call | None:
        """Goes on to the next call if the present one has ended.

        Calls that have ended while they waited are skipped.

        Args:
            call: A call of the session.

        Returns:
            The new present call, None if there is no other or the call is not
            the present one or has not ended.
        """
        if call.outcome is None or self.call is not call:
            return None
        self.call = None
        self.remaining -= 1
        while self.waiting and self.call is None:
            following = self.waiting.popleft()
            if following.outcome is None:
                self.call = following
            else:
                self.remaining -= 1
        return self.call
