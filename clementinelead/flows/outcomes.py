"""Outcomes of a side process's decision about one packet."""

import dataclasses

from clementinelead.packets import headers

__all__ = ["Deliver", "Drop", "Forward", "Outcome", "Placement", "Refuse"]


@dataclasses.dataclass(frozen=True, slots=True)
class Placement:
    """Content of a placement decision's log record.

    Attributes:
        service: Name of the service.
        key: Flow key.
        passed_over: Candidate number and reason of each target that declined
            the flow, in order.
        chosen: Candidate number of the chosen target, or None.
        reason: Reason for the choice, or for choosing no target here.
        revision: Configuration revision of the packet's route.
        hops: Forwards between side processes before the decision.
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
    """Deliver the packet to the target beside this process.

    Attributes:
        packet: IPv4 packet of the caller.
        placement: Decision to log, if the packet has opened a flow.
    """

    packet: bytes
    placement: Placement | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Forward:
    """Send an envelope to another side process.

    Attributes:
        address: IP address and UDP port of its packet path.
        envelope: Encoded envelope.
        placement: Decision to log, if a new flow is passed on.
    """

    address: tuple[str, int]
    envelope: bytes
    placement: Placement | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Refuse:
    """Send a refusal to the caller: the request was not executed, retry later.

    Attributes:
        replies: IPv4 packets to send to the caller.
        placement: Decision to log.
    """

    replies: tuple[bytes, ...]
    placement: Placement


@dataclasses.dataclass(frozen=True, slots=True)
class Reset:
    """Send a reset to the caller: the flow is lost and may have been executed.

    Attributes:
        replies: IPv4 packets to send to the caller.
        key: Key of the flow.
    """

    replies: tuple[bytes, ...]
    key: headers.FlowKey


@dataclasses.dataclass(frozen=True, slots=True)
class Drop:
    """Drop the packet.

    Attributes:
        cause: Reason, counted in a metric.
    """

    cause: headers.DropCause


Outcome = Deliver | Forward | Refuse | Reset | Drop
