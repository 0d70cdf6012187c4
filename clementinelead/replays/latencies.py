"""How long a datagram takes in a replay."""

__all__ = ["CALLER_TO_ZONE_S", "one_way_s"]

CALLER_TO_ZONE_S = 0.001
"""One way between a caller and its availability zone, seconds."""

SAME_ZONE_S = 0.0002
CROSS_ZONE_S = 0.0014
"""One way between availability zones, as on the users' sheet, seconds."""


def one_way_s(zone: str, other: str) -> float:
    """Returns the time one way between two processes, seconds."""
    return SAME_ZONE_S if zone == other else CROSS_ZONE_S
