"""Arithmetic of sequence numbers, which have 32 bits and wrap around."""

__all__ = [
    "FIRST_ACKNOWLEDGED_BYTES",
    "HALF_RANGE",
    "MASK",
    "acknowledges",
    "distance",
]

MASK = (1 << 32) - 1
HALF_RANGE = 1 << 31

MAX_ACKNOWLEDGED_BYTES = 1 << 24
"""Largest distance of an acknowledgement from the initial number, bytes."""

FIRST_ACKNOWLEDGED_BYTES = 1 << 15
"""The same for a caller's first packet after a target's acceptance, bytes.

A sender has at most 16 packets of 1,200 bytes in flight. Initial numbers of two
targets that accept one flow are rarely so close.
"""


def distance(acknowledgement: int, sequence: int) -> int:
    """Returns how far an acknowledgement is from an initial number, bytes.

    Args:
        acknowledgement: Acknowledgement number of the caller's packet.
        sequence: Initial sequence number of the target.
    """
    return (acknowledgement - sequence) & MASK


def acknowledges(
    acknowledgement: int, sequence: int, limit: int = MAX_ACKNOWLEDGED_BYTES
) -> bool:
    """Returns whether a caller continues the flow that a target accepted.

    Args:
        acknowledgement: Acknowledgement number of the caller's packet.
        sequence: Initial sequence number of the target.
        limit: Distance at which it no longer does, bytes.

    Examples:
        >>> acknowledges(5, 4), acknowledges(3, MASK), acknowledges(4, 5)
        (True, True, False)
    """
    return distance(acknowledgement, sequence) < limit
