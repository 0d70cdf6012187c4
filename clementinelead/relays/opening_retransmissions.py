"""Schedule on which callers retransmit their opening packets."""

__all__ = ["FIRST_RETRANSMISSION_S", "RETRANSMISSION_TIMES_S", "min_wait_s"]

RETRANSMISSION_TIMES_S = (0.2, 0.6)
"""Delays from an opening packet to its retransmissions, seconds."""

FIRST_RETRANSMISSION_S = RETRANSMISSION_TIMES_S[0]
"""Age from which a flow may be open through another balancer, seconds."""


def min_wait_s(earlier_packets: int) -> float:
    """Returns how long the caller of a flow has waited at least, seconds.

    After an outage of all balancers, flows that have waited arrive together
    with new ones, of which more can still meet the latency objective.

    Args:
        earlier_packets: Number of opening packets that the caller sent before.

    Examples:
        >>> min_wait_s(0), min_wait_s(1), min_wait_s(2), min_wait_s(9)
        (0.0, 0.2, 0.6, 0.6)
    """
    if earlier_packets <= 0:
        return 0.0
    return RETRANSMISSION_TIMES_S[
        min(earlier_packets, len(RETRANSMISSION_TIMES_S)) - 1
    ]
