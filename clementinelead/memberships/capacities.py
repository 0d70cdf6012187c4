"""Relative capacities of the balancers of an availability zone.

The fabric uses all balancers of a zone if fewer than half of them are in its
rotation. An overloaded one may therefore leave only if it belongs to the half
with the smallest links, and only if others have much larger ones: among equals
the rest would be overloaded next.
"""

import collections.abc
import math

from clementinelead.memberships import records

__all__ = [
    "has_usable_weight",
    "may_leave_rotation",
    "weight",
]

MAX_WEIGHT = 655.0
"""Largest weight that a control message can carry."""

UNKNOWN_WEIGHT = 1.0
"""Weight of a process whose link is not known, and least weight of any other.

Balancers of earlier versions publish it. None may have a smaller link than
those, as nobody may leave the rotation beside them.
"""

WEIGHT_DECIMALS = 2
"""Decimal places of a weight in a control message.

With more, balancers of equal links would each see the others' as larger.
"""

MAX_RELATIVE_CAPACITY = 0.5
"""Capacity up to which a balancer may leave, as a share of the largest one."""

_ENDING = (records.State.DRAINING, records.State.LEAVING)


def weight(role: records.Role, link_mbps: float) -> float:
    """Returns the weight in the membership record of a process.

    Args:
        role: Kind of the process.
        link_mbps: Bandwidth of the instance's link, Mbit/s; 0 if not known.

    Examples:
        >>> weight(records.Role.BALANCER, 5.0)
        5.0
        >>> weight(records.Role.SIDE, 1000.0)
        1.0
    """
    if role is not records.Role.BALANCER or link_mbps <= 0.0:
        return UNKNOWN_WEIGHT
    known = min(MAX_WEIGHT, max(UNKNOWN_WEIGHT, link_mbps))
    return round(known, WEIGHT_DECIMALS)


def has_usable_weight(record: records.Record) -> bool:
    """Returns whether the weight in a membership record can be used.

    A message without a weight is read as one with the weight 0.

    Args:
        record: Record of a process.
    """
    return 0.0 < record.weight < math.inf


def may_leave_rotation(
    own: records.Record, others: collections.abc.Iterable[records.Record]
) -> bool:
    """Returns whether a balancer may leave the rotation while it is overloaded.

    Args:
        own: Its own record.
        others: Records of all processes; its own may be among them.
    """
    balancers = {
        record.id: record
        for record in others
        if record.role is records.Role.BALANCER and record.zone == own.zone
    }
    balancers[own.id] = own
    serving = sorted(
        (record for record in balancers.values() if _serves(record)),
        key=lambda record: (_capacity(record), record.id),
    )
    if own not in serving:
        return False
    if _capacity(own) > MAX_RELATIVE_CAPACITY * _capacity(serving[-1]):
        return False
    # The fabric may still count balancers that have stopped or died.
    absent = len(balancers) - len(serving)
    return own in serving[: max(0, len(balancers) // 2 - absent)]


def _capacity(record: records.Record) -> float:
    """Returns the weight of a record, or the default if it can't be used."""
    return record.weight if has_usable_weight(record) else UNKNOWN_WEIGHT


def _serves(record: records.Record) -> bool:
    """Returns whether a balancer is alive and does not stop."""
    alive = record.health is records.Health.ALIVE
    return alive and record.state not in _ENDING
