"""What the flow decisions ask a process to send or to log."""

import msgspec

__all__ = ["Decision", "Outcome", "ToCaller", "ToPeer", "ToTarget"]


class ToPeer(msgspec.Struct, frozen=True):
    """A datagram for another process of the system."""

    address: tuple[str, int]
    data: bytes


class ToCaller(msgspec.Struct, frozen=True):
    """A packet for a caller."""

    address: tuple[str, int]
    data: bytes


class ToTarget(msgspec.Struct, frozen=True):
    """A packet for the target beside this process."""

    data: bytes


Outcome = ToPeer | ToCaller | ToTarget


class Decision(msgspec.Struct, frozen=True):
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
