"""What the flow decisions ask a process to send or to log."""

import dataclasses

__all__ = ["Decision", "Outcome", "ToCaller", "ToPeer", "ToTarget"]


@dataclasses.dataclass(frozen=True, slots=True)
class ToPeer:
    """A datagram for another process of the system."""

    address: tuple[str, int]
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ToCaller:
    """A packet for a caller."""

    address: tuple[str, int]
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class ToTarget:
    """A packet for the target beside this process."""

    data: bytes


Outcome = ToPeer | ToCaller | ToTarget


@dataclasses.dataclass(frozen=True, slots=True)
class Decision:
    """What a log line says of a decision about a flow.

    Attributes:
        event: What was decided on, ``placement`` or ``search`` for instance.
        outcome: What was decided.
        key: Flow key.
        inputs: What it was decided from, with the age of what was learned.
    """

    event: str
    outcome: str
    key: bytes
    inputs: dict[str, object]
