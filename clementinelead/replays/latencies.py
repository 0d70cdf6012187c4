"""One-way network latencies of a simulation."""

__all__ = ["CALLER_TO_ZONE_S", "one_way_s"]

CALLER_TO_ZONE_S = 0.001
"""One way between a caller and its availability zone, seconds."""

SAME_ZONE_S = 0.0002
"""One way between processes of one availability zone, seconds."""

CROSS_ZONE_S = 0.0014
"""One way between availability zones, as on the users' sheet, seconds."""


def one_way_s(source_zone: str, destination_zone: str) -> float:
    """Returns the one-way latency between two processes, seconds.

    Args:
        source_zone: Availability zone of the sender.
        destination_zone: Availability zone of the receiver.
    """
    return SAME_ZONE_S if source_zone == destination_zone else CROSS_ZONE_S
