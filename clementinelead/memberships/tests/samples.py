"""Sample membership record for tests."""

from clementinelead.memberships import records

__all__ = ["SIDE"]

SIDE = records.Record(
    id="side0",
    incarnation=1,
    sequence=1,
    role=records.Role.SIDE,
    state=records.State.READY,
    region="r",
    zone="z",
    address="10.0.0.2",
    data_port=1,
    control_port=2,
    http_port=3,
    services=("lookups",),
)
