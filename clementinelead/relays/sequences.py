"""Sequence numbers of flows, which have 32 bits and wrap around."""

__all__ = ["HALF_RANGE", "MASK", "acknowledges"]

MASK = (1 << 32) - 1
HALF_RANGE = 1 << 31

MAX_ACKNOWLEDGED_BYTES = 1 << 24
"""Bytes that a caller may have acknowledged since a flow was opened."""


def acknowledges(acknowledgement: int, sequence: int) -> bool:
    """Tells whether a caller's packet answers a target's opening answer.

    Args:
        acknowledgement: Of the caller's packet.
        sequence: First sequence number that the target chose.

    Examples:
        >>> acknowledges(5, 4), acknowledges(3, MASK), acknowledges(4, 5)
        (True, True, False)
    """
    return (acknowledgement - sequence) & MASK < MAX_ACKNOWLEDGED_BYTES
