"""Arithmetic of sequence numbers, which have 32 bits and wrap around."""

__all__ = ["HALF_RANGE", "MASK", "acknowledges"]

MASK = (1 << 32) - 1
HALF_RANGE = 1 << 31

MAX_ACKNOWLEDGED_BYTES = 1 << 24
"""Largest distance of an acknowledgement from the initial number, bytes."""


def acknowledges(acknowledgement: int, sequence: int) -> bool:
    """Returns whether a caller continues the flow that a target accepted.

    Args:
        acknowledgement: Acknowledgement number of the caller's packet.
        sequence: Initial sequence number of the target.

    Examples:
        >>> acknowledges(5, 4), acknowledges(3, MASK), acknowledges(4, 5)
        (True, True, False)
    """
    return (acknowledgement - sequence) & MASK < MAX_ACKNOWLEDGED_BYTES
