"""Tagged outcomes of a side process's decision about one packet."""

import dataclasses

from clementinelead.packets import headers

__all__ = ["Deliver", "Drop", "Forward", "Outcome", "Placement", "Refuse"]


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """What a log line says of a placement.

    Attributes:
        service: Name of the service.
        key: Flow key.
        passed_over: Target's number and the reason against it, in order.
        chosen: Number of the chosen target, or None.
        reason: Why it was chosen, or why none was.
        revision: Configuration revision of the decision.
        hops: Passes between side processes before it.
    """

    service: str
    key: headers.FlowKey
    passed_over: tuple[tuple[int, str], ...]
    chosen: int | None
    reason: str
    revision: int
    hops: int


@dataclasses.dataclass(frozen=True, slots=True)
class Deliver:
    """Give the packet to the target beside this process."""

    packet: bytes
    placement: Placement | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Send an envelope to another side process."""

    address: tuple[str, int]
    envelope: bytes
    placement: Placement | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Answer the caller: the flow was not run, come back later."""

    replies: tuple[bytes, ...]
    placement: Placement


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """Answer the caller: the flow is gone, and may have been run."""

    replies: tuple[bytes, ...]
    key: headers.FlowKey


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Do nothing with the packet."""

    cause: headers.DropCause


Outcome = Deliver | Forward | Refuse | Reset | Drop
