"""Callers: send a request, try again when turned away, give up in time."""

import dataclasses
import enum
import typing

from clementinelead.replays import event_queues
from clementinelead.replays import loads
from clementinelead.replays import servers

__all__ = ["Call", "Outcome", "Result", "Transport"]

MAX_RETRIES = 2


class Result(enum.Enum):
    """How a request ended for its caller."""

    SERVED = "served"
    FAILED = "failed"
    REFUSED = "refused"
    UNANSWERED = "unanswered"


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What became of a request.

    Attributes:
        arrival: The request.
        result: How it ended.
        duration_s: Time that its caller has spent on it, seconds.
        attempts: Flows that were opened for it.
        target: Name of the target that answered, empty if none.
    """

    arrival: loads.Arrival
    result: Result
    duration_s: float
    attempts: int
    target: str


class Transport(typing.Protocol):
    """Carries attempts to targets."""

    def open_flow(self, call: "Call") -> None:
        """Opens a flow for a call and sends its request there."""


class Call:
    """One request of a caller.

    Attributes:
        number: Its place among the arrivals.
        arrival: The request.
        attempts: Flows opened so far.
        outcome: How it ended, None while it goes on.
    """

    def __init__(
        self,
        number: int,
        arrival: loads.Arrival,
        kind: loads.RequestKind,
        event_queue: event_queues.EventQueue,
        transport: Transport,
    ):
        self.number = number
        self.arrival = arrival
        self.kind = kind
        self.attempts = 0
        self.outcome: Outcome | None = None
        self._event_queue = event_queue
        self._transport = transport

    def start(self) -> None:
        """Sends the request for the first time."""
        deadline = self._event_queue.now + self.kind.timeout_s
        self._event_queue.schedule(deadline, self._give_up)
        self._try()

    def _try(self) -> None:
        self.attempts += 1
        self._transport.open_flow(self)

    def on_refusal(self, attempt: int) -> None:
        """Takes the news that an attempt was refused and has not run."""
        if self.outcome is not None or attempt != self.attempts:
            return
        if self.attempts > MAX_RETRIES:
            self._end(Result.REFUSED, "")
        else:
            self._try()

    def on_answer(
        self, attempt: int, status: servers.Status, target: str
    ) -> None:
        """Takes a target's answer."""
        if self.outcome is not None or attempt != self.attempts:
            return
        match status:
            case servers.Status.OK:
                self._end(Result.SERVED, target)
            case servers.Status.FAILED:
                self._end(Result.FAILED, target)
            case servers.Status.SHED:
                self.on_refusal(attempt)

    def _give_up(self) -> None:
        if self.outcome is None:
            self._end(Result.UNANSWERED, "")

    def _end(self, result: Result, target: str) -> None:
        duration = self._event_queue.now - self.arrival.at_s
        self.outcome = Outcome(
            self.arrival, result, duration, self.attempts, target
        )
