"""When callers send their opening packets again, and what copies tell."""

__all__ = ["COPIES_AFTER_S", "FIRST_COPY_S", "waited_s"]

COPIES_AFTER_S = (0.2, 0.6)
"""Times after its opening packet at which a caller sends it again, seconds."""

FIRST_COPY_S = COPIES_AFTER_S[0]
"""Time from which on a flow may be open through another balancer, seconds."""


def waited_s(copies: int) -> float:
    """Returns how long the caller of a flow has waited at least, seconds.

    Load pattern: all balancers were away, and the flows of that time come
    together with new ones, of which more can still be in time.

    Args:
        copies: Opening packets that it had sent before.

    Examples:
        >>> waited_s(0), waited_s(1), waited_s(2), waited_s(9)
        (0.0, 0.2, 0.6, 0.6)
    """
    if copies <= 0:
        return 0.0
    return COPIES_AFTER_S[min(copies, len(COPIES_AFTER_S)) - 1]
