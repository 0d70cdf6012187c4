"""Candidates: which targets a balancer queries for a flow, in which order."""

import collections
import collections.abc
import dataclasses
import itertools

import xxhash

__all__ = ["MAX_QUERIED", "Target", "placement_order", "ranked", "select"]

MAX_QUERIED = 4
"""Number of targets that are queried at once for a flow."""

MAX_QUERIED_IN_ZONE = 2
"""Number of these from the balancer's availability zone, if it has as many.

The others are in other zones, so that the load of a zone does not depend on
its own callers alone.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target as a balancer sees it.

    Attributes:
        id: Identifier of its side process.
        address: IP address and UDP port of its side process.
        zone: Its availability zone.
        accepting: Whether it accepts new flows, by its membership record.
        starting: Whether its membership record does not say so yet.
        is_successor: Whether its side process has just replaced another one
            whose flows may still be open.
        never_ready: Whether it has begun to stop before its target announced
            itself, so most likely there is none.
    """

    id: str
    address: tuple[str, int]
    zone: str
    accepting: bool
    starting: bool
    is_successor: bool = False
    never_ready: bool = False


def ranked(
    key: bytes, targets: collections.abc.Iterable[Target]
) -> list[Target]:
    """Returns targets in the rendezvous order of a flow.

    All balancers query the same targets first, so a retransmitted opening
    packet that arrives at another balancer reaches the flow's target too.

    Args:
        key: Flow key.
        targets: The targets to order.
    """
    digest = xxhash.xxh3_64_digest(key)
    return sorted(
        targets,
        key=lambda target: xxhash.xxh3_64_intdigest(
            digest + target.id.encode()
        ),
    )


def select(
    ordered: collections.abc.Iterable[Target],
    zone: str,
    max_in_zone: int | None = None,
) -> list[Target]:
    """Returns the targets to query, those in the balancer's zone first.

    A flow's packets follow the path of its opening packet, and traffic between
    zones is expensive; among targets of about equal load the first one in this
    order gets the flow.

    Args:
        ordered: Targets in the rendezvous order of a flow.
        zone: Availability zone of the balancer.
        max_in_zone: Number of targets to query in it if other zones have
            the rest, None for ``MAX_QUERIED_IN_ZONE``.

    Examples:
        >>> order = [
        ...     Target(name, (name, 1), name[0], True, False)
        ...     for name in ("b1", "b2", "a1", "b3", "a2", "a3")
        ... ]
        >>> [target.id for target in select(order, "a")]
        ['a1', 'a2', 'b1', 'b2']
    """
    same_zone: list[Target] = []
    other_zones: list[Target] = []
    if max_in_zone is None:
        max_in_zone = MAX_QUERIED_IN_ZONE
    max_other = MAX_QUERIED - max_in_zone
    for target in ordered:
        (same_zone if target.zone == zone else other_zones).append(target)
        count = len(same_zone) + len(other_zones)
        if len(same_zone) >= max_in_zone and count >= MAX_QUERIED:
            if len(other_zones) >= max_other:
                break
    first = same_zone[:max_in_zone] + other_zones[:max_other]
    spare = same_zone[max_in_zone:] + other_zones[max_other:]
    return first + spare[: MAX_QUERIED - len(first)]


def placement_order(
    key: bytes,
    targets: collections.abc.Iterable[Target],
    zone: str,
    max_in_zone: int | None = None,
) -> list[Target]:
    """Returns targets in the order in which a balancer queries them for a flow.

    Args:
        key: Flow key.
        targets: The targets to order.
        zone: Availability zone of the balancer.
        max_in_zone: As in ``select``.

    Examples:
        >>> targets = [
        ...     Target(name, (name, 1), name[0], True, False)
        ...     for name in ("a1", "a2", "a3", "b1", "b2", "b3")
        ... ]
        >>> order = placement_order(b"any flow", targets, "a")
        >>> [target.zone for target in order]
        ['a', 'a', 'b', 'b', 'a', 'b']
    """
    in_rank_order = ranked(key, targets)
    same_zone = collections.deque(
        target for target in in_rank_order if target.zone == zone
    )
    other_zones = collections.deque(
        target for target in in_rank_order if target.zone != zone
    )
    order: list[Target] = []
    while same_zone or other_zones:
        head = [*itertools.islice(same_zone, MAX_QUERIED)]
        head += itertools.islice(other_zones, MAX_QUERIED)
        for target in select(head, zone, max_in_zone):
            (same_zone if target.zone == zone else other_zones).popleft()
            order.append(target)
    return order
