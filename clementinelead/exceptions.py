"""Exceptions and findings that all subpackages share."""

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
    """Base class of all exceptions that this package defines."""


class MalformedMessageError(ClementineleadError):
    """A datagram could not be decoded."""


class PeerUnavailableError(ClementineleadError):
    """Another process did not respond, or its response is not usable."""


class SettingsError(ClementineleadError):
    """The settings of a process are missing or invalid."""


class StoreUnavailableError(ClementineleadError):
    """No usable response was received from the platform's store.

    A write may have taken effect nevertheless.
    """


class TaskFailedError(ClementineleadError):
    """A background task failed, and its process stopped."""


@dataclasses.dataclass(frozen=True)
class Finding:
    """One error in an input, with its place.

    Attributes:
        place: File, row, column, section or key that contains the error.
        problem: Description of the error.
        allowed: Description of the valid values, or an empty string.
    """

    place: str
    problem: str
    allowed: str = ""

    def __str__(self) -> str:
        suffix = f" (allowed: {self.allowed})" if self.allowed else ""
        return f"{self.place}: {self.problem}{suffix}"


class FindingsError(ClementineleadError):
    """An input was rejected.

    Attributes:
        findings: All errors found in the input.
    """

    def __init__(self, findings: tuple[Finding, ...]):
        super().__init__("\n".join(str(finding) for finding in findings))
        self.findings = findings
