"""Exceptions and tagged findings shared by all subpackages."""

import dataclasses

__all__ = [
    "ClementineleadError",
    "Finding",
    "FindingsError",
    "MalformedMessageError",
    "PeerUnavailableError",
    "SettingsError",
    "StoreUnavailableError",
    "TaskFailedError",
]


class ClementineleadError(Exception):
    """Base of all exceptions that this package raises on purpose."""


class MalformedMessageError(ClementineleadError):
    """A datagram could not be decoded."""


class PeerUnavailableError(ClementineleadError):
    """Another process did not answer usefully."""


class SettingsError(ClementineleadError):
    """The settings of a process are missing or wrong."""


class StoreUnavailableError(ClementineleadError):
    """The platform's store did not answer, or its answer was lost."""


class TaskFailedError(ClementineleadError):
    """A task of a process failed, and the process stopped."""


@dataclasses.dataclass(frozen=True)
class Finding:
    """One thing wrong with an input, and where.

    Attributes:
        place: File, row, column, section or key that the finding is about.
        problem: What is wrong there.
        allowed: What would be accepted, or an empty string.
    """

    place: str
    problem: str
    allowed: str = ""

    def __str__(self) -> str:
        suffix = f" (allowed: {self.allowed})" if self.allowed else ""
        return f"{self.place}: {self.problem}{suffix}"


class FindingsError(ClementineleadError):
    """An input was rejected; carries all findings, not just the first."""

    def __init__(self, findings: tuple[Finding, ...]):
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings
