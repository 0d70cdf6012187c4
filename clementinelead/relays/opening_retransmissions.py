"""When callers send their opening packets again, and what copies tell."""

__all__ = ["FIRST_RETRANSMISSION_S", "RETRANSMISSION_TIMES_S", "min_wait_s"]

RETRANSMISSION_TIMES_S = (0.2, 0.6)
"""Times after its opening packet at which a caller sends it again, seconds."""

FIRST_RETRANSMISSION_S = RETRANSMISSION_TIMES_S[0]
"""Time from which on a flow may be open through another balancer, seconds."""


def min_wait_s(copies: int) -> float:
    """Returns how long the caller of a flow has waited at least, seconds.

    Load pattern: all balancers were away, and the flows of that time come
    together with new ones, of which more can still be in time.

    Args:
        copies: Opening packets that it had sent before.

    Examples:
        >>> min_wait_s(0), min_wait_s(1), min_wait_s(2), min_wait_s(9)
        (0.0, 0.2, 0.6, 0.6)
    """
    if copies <= 0:
        return 0.0
    return RETRANSMISSION_TIMES_S[min(copies, len(RETRANSMISSION_TIMES_S)) - 1]
