"""Checks of the invariants against what callers and targets observe."""

import collections
import dataclasses

from bench.soak import displacements as displacements_module
from clementinelead.platform.standins import packets

__all__ = ["Audit"]


@dataclasses.dataclass
class Audit:
    """Collects violations of invariants while a soak runs.

    Attributes:
        displacements: Check of the order of priorities, None without one.
        violations: Descriptions of violations, with the time of each.
        answer_times_s: Monotonic times at which requests were answered,
            seconds.
        request_times_s: Monotonic times at which requests were issued, seconds.
        outcomes: Number of attempts by outcome.
    """

    displacements: displacements_module.Displacements | None = None

    def __post_init__(self) -> None:
        self.violations: list[str] = []
        self.answer_times_s: list[float] = []
        self.request_times_s: list[float] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._runs_by_request: collections.Counter[str] = collections.Counter()
        self._refused_requests: set[str] = set()

    def record_run(
        self, request: str, service: str, own: str, now: float
    ) -> None:
        """Records that a target of the service ``own`` executes a request."""
        self._runs_by_request[request] += 1
        if self._runs_by_request[request] > 1:
            self.record_violation(f"{request} ran again", now)
        if service != own:
            self.record_violation(f"{request} for {service} ran at {own}", now)
        if request in self._refused_requests:
            self.record_violation(f"{request} ran after it was refused", now)

    def record_packet(
        self, target: str, packet: packets.Packet, now: float
    ) -> None:
        """Records a packet of a flow that a target holds."""
        if self.displacements is None:
            return
        for text in self.displacements.on_packet(target, packet, now):
            self.record_violation(text, now)

    def record_refusal(self, request: str, now: float) -> None:
        """Records that a caller got a refusal: the request must not run."""
        self.outcomes["refused"] += 1
        self._refused_requests.add(request)
        if self._runs_by_request[request]:
            self.record_violation(f"{request} ran and was refused", now)

    def record_answer(self, request: str, answer: str, now: float) -> None:
        """Records the answer that a caller received, and checks its text."""
        self.outcomes["answered"] += 1
        if answer != f"done {request}":
            self.record_violation(f"{request} was answered {answer!r}", now)

    def record_violation(self, text: str, now: float) -> None:
        """Records the violation of an invariant."""
        self.violations.append(f"{now:.3f} s: {text}")

    def answered_share(self, begin_s: float, end_s: float) -> float:
        """Returns the answers per request issued in an interval.

        Args:
            begin_s: Begin of the interval, monotonic time in seconds.
            end_s: End of the interval, exclusive.

        Returns:
            Number of answers divided by that of requests; 1 without requests.
        """
        requests = sum(
            begin_s <= time_s < end_s for time_s in self.request_times_s
        )
        answers = sum(
            begin_s <= time_s < end_s for time_s in self.answer_times_s
        )
        return answers / requests if requests else 1.0
