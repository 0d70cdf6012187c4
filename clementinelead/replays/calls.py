"""Requests of callers, with retries and a deadline."""

import dataclasses
import enum
import typing

from clementinelead.replays import event_queues
from clementinelead.replays import loads
from clementinelead.replays import servers

__all__ = ["Call", "Outcome", "Result", "Transport"]

MAX_RETRIES = 2
"""Further flows that a caller opens after refusals and failures."""


class Result(enum.Enum):
    """How a request ended for its caller."""

    SERVED = "served"
    FAILED = "failed"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """The end of a request, from its caller's view.

    Attributes:
        arrival: The request.
        result: How it ended.
        duration_s: Time from its arrival until its end, seconds.
        attempts: Flows that were opened for it.
        target: Name of the target that answered, empty if none.
    """

    arrival: loads.Arrival
    result: Result
    duration_s: float
    attempts: int
    target: str


class Transport(typing.Protocol):
    """Connects callers with targets."""

    def open_flow(self, call: "Call") -> None:
        """Opens a flow for the present attempt of a call; sends its request.

        The first attempt of a call with a session uses the session's flow if
        that is open. The end of the attempt is reported by
        ``Call.on_refusal``, ``Call.on_failure`` or ``Call.on_answer``, or
        never.

        Args:
            call: The call.
        """


class Call:
    """One request of a caller, over all its attempts.

    Attributes:
        number: Its index among the arrivals.
        arrival: The request.
        kind: Its kind, with its timeout.
        attempts: Flows opened so far.
        outcome: How it ended, None while it is unfinished.
    """

    def __init__(
        self,
        number: int,
        arrival: loads.Arrival,
        kind: loads.RequestKind,
        event_queue: event_queues.EventQueue,
        transport: Transport,
        retry_delay_s: float = 0.0,
    ):
        self.number = number
        self.arrival = arrival
        self.kind = kind
        self.attempts = 0
        self.outcome: Outcome | None = None
        self._event_queue = event_queue
        self._transport = transport
        self._retry_delay_s = retry_delay_s

    @property
    def deadline_s(self) -> float:
        """Time at which its caller gives up, seconds."""
        return self.arrival.at_s + self.kind.timeout_s

    def start(self) -> None:
        """Makes the first attempt and schedules the deadline."""
        deadline = self._event_queue.now + self.kind.timeout_s
        self._event_queue.schedule(deadline, self._on_deadline)
        self._make_attempt()

    def _make_attempt(self) -> None:
        self.attempts += 1
        self._transport.open_flow(self)

    def on_refusal(self, attempt: int) -> None:
        """Handles a refusal: retries, or ends the call as refused.

        Args:
            attempt: Number of the attempt, which has not run; that of an
                earlier attempt is ignored.
        """
        if self.outcome is not None or attempt != self.attempts:
            return
        self._retry_or_end(Result.REFUSED)

    def on_failure(self, attempt: int) -> None:
        """Handles the failure of a request that a target may have run.

        Only idempotent requests are retried.

        Args:
            attempt: Number of the attempt; that of an earlier attempt is
                ignored.
        """
        if self.outcome is not None or attempt != self.attempts:
            return
        if self.kind.idempotent:
            self._retry_or_end(Result.FAILED)
        else:
            self._end(Result.FAILED, "")

    def _retry_or_end(self, result: Result) -> None:
        """Schedules the next attempt, or ends the call if there is none left.

        Args:
            result: How the call ends then.
        """
        if self.attempts > MAX_RETRIES:
            self._end(result, "")
        elif self._retry_delay_s:
            self._event_queue.schedule(
                self._event_queue.now + self._retry_delay_s, self._retry
            )
        else:
            self._make_attempt()

    def _retry(self) -> None:
        if self.outcome is None:
            self._make_attempt()

    def on_answer(
        self, attempt: int, status: servers.Status, target: str
    ) -> None:
        """Handles a target's answer.

        Args:
            attempt: Number of the attempt; an answer to an earlier attempt is
                ignored.
            status: The answer; ``SHED`` counts as a refusal.
            target: Name of the target.
        """
        if self.outcome is not None or attempt != self.attempts:
            return
        match status:
            case servers.Status.OK:
                self._end(Result.SERVED, target)
            case servers.Status.FAILED if self.kind.idempotent:
                self.on_failure(attempt)
            case servers.Status.FAILED:
                self._end(Result.FAILED, target)
            case servers.Status.SHED:
                self.on_refusal(attempt)

    def _on_deadline(self) -> None:
        if self.outcome is None:
            self._end(Result.UNANSWERED, "")

    def _end(self, result: Result, target: str) -> None:
        duration_s = self._event_queue.now - self.arrival.at_s
        self.outcome = Outcome(
            self.arrival, result, duration_s, self.attempts, target
        )
