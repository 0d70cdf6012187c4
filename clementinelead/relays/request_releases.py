"""Releases of requests from the queue beside a target."""

import enum

import msgspec

from clementinelead.relays import held_requests

__all__ = ["Cause", "Release", "dropped", "forwarded"]


class Cause(enum.Enum):
    """Why a request is not, or no longer, held."""

    IN_TURN = "in turn"
    AT_LIMIT = "at limit"  # could not be answered in time if held longer
    OVERFLOW = "overflow"  # the target is full, and it would come too late
    NO_SPACE = "no space"  # too many packets are held
    OUT_OF_TURN = "out of turn"  # another packet of its flow can't wait
    FLUSHED = "flushed"  # nothing is held from now on
    EXPIRED = "expired"  # dropped: its time budget has passed
    DISCARDED = "discarded"  # dropped: its flow has ended


class Release(msgspec.Struct, frozen=True):
    """A request that is not, or no longer, held.

    Attributes:
        key: Flow key.
        packets: Packets to forward now, in order; empty if it is dropped.
        cause: Why it is released.
        held_s: Time for which it was held, seconds.
    """

    key: bytes
    packets: tuple[bytes, ...]
    cause: Cause
    held_s: float = 0.0


def forwarded(
    request: held_requests.HeldRequest, cause: Cause, now: float
) -> Release:
    """Returns the release of a request with its packets.

    Args:
        request: The request.
        cause: Why it is released.
        now: Present time, seconds.
    """
    packets = tuple(request.data_by_position.values())
    return Release(request.key, packets, cause, now - request.arrived_at)


def dropped(
    request: held_requests.HeldRequest, cause: Cause, now: float
) -> Release:
    """Returns the release of a request without its packets.

    Args:
        request: The request.
        cause: Why it is dropped.
        now: Present time, seconds.
    """
    return Release(request.key, (), cause, now - request.arrived_at)
