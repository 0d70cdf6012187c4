"""Results of flow decisions: what a process is to send and to log."""

import msgspec

__all__ = ["Decision", "Outcome", "ToCaller", "ToPeer", "ToTarget"]


class ToPeer(msgspec.Struct, frozen=True):
    """A datagram to send to a balancer or a side process.

    Attributes:
        address: Address and port of the process.
        data: The datagram.
    """

    address: tuple[str, int]
    data: bytes


class ToCaller(msgspec.Struct, frozen=True):
    """A packet to send to a caller.

    Attributes:
        address: Address and port that packets for the caller are sent to.
        data: The packet.
    """

    address: tuple[str, int]
    data: bytes


class ToTarget(msgspec.Struct, frozen=True):
    """A packet to send to the target beside this process.

    Attributes:
        data: The packet.
    """

    data: bytes


Outcome = ToPeer | ToCaller | ToTarget


class Decision(msgspec.Struct, frozen=True):
    """A decision about a flow, for the log.

    Attributes:
        event: Kind of decision, such as ``placement`` or ``search``.
        outcome: What was decided.
        key: Flow key.
        inputs: Data that the decision was based on, and the age of cached
            data.
    """

    event: str
    outcome: str
    key: bytes
    inputs: dict[str, object]
