"""What callers and targets saw, held against the promises."""

import collections
import dataclasses

__all__ = ["Audit"]


@dataclasses.dataclass
class Audit:
    """Collects violations while a soak runs.

    Attributes:
        violations: What broke a promise, with the time.
        served: Times at which requests were answered, seconds.
        asked: Times at which requests were sent, seconds.
        outcomes: How attempts ended.
    """

    def __post_init__(self) -> None:
        self.violations: list[str] = []
        self.served: list[float] = []
        self.asked: list[float] = []
        self.outcomes: collections.Counter[str] = collections.Counter()
        self._runs_by_request: collections.Counter[str] = collections.Counter()
        self._not_run: set[str] = set()

    def record_run(
        self, request: str, service: str, own: str, now: float
    ) -> None:
        """Notes that a target of the service ``own`` runs a request."""
        self._runs_by_request[request] += 1
        if self._runs_by_request[request] > 1:
            self.record_violation(f"{request} ran again", now)
        if service != own:
            self.record_violation(f"{request} for {service} ran at {own}", now)
        if request in self._not_run:
            self.record_violation(f"{request} ran after it was refused", now)

    def refused(self, request: str, now: float) -> None:
        """Notes that a caller was told that a request has not run."""
        self.outcomes["refused"] += 1
        self._not_run.add(request)
        if self._runs_by_request[request]:
            self.record_violation(f"{request} ran and was refused", now)

    def answered(self, request: str, answer: str, now: float) -> None:
        """Notes a caller's answer."""
        self.outcomes["answered"] += 1
        self.served.append(now)
        if answer != f"done {request}":
            self.record_violation(f"{request} was answered {answer!r}", now)

    def record_violation(self, text: str, now: float) -> None:
        """Notes a broken promise."""
        self.violations.append(f"{now:.3f} s: {text}")

    def share_served(self, begin: float, end: float) -> float:
        """Returns answers per request sent within a time, 1 if none was."""
        asked = sum(begin <= moment < end for moment in self.asked)
        served = sum(begin <= moment < end for moment in self.served)
        return served / asked if asked else 1.0
