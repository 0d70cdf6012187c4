"""Candidates: which targets a balancer asks for a flow, in which order."""

import collections.abc
import dataclasses

import xxhash

__all__ = ["MAX_QUERIED", "Target", "ranked", "select"]

MAX_QUERIED = 4
"""Targets asked at once for a flow."""

MAX_QUERIED_IN_ZONE = 2
"""Of these, how many are in the balancer's availability zone if it has them.

The others keep the load of a zone from depending on its own callers alone.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target as a balancer sees it.

    Attributes:
        id: Identifier of its side process.
        address: IP address and UDP port of its side process.
        zone: Its availability zone.
        accepting: Whether it takes new flows, as far as the members know.
        starting: Whether it has not said yet whether it does.
        is_successor: Whether its side process has just replaced one that served,
            and whose flows may go on.
    """

    id: str
    address: tuple[str, int]
    zone: str
    accepting: bool
    starting: bool
    is_successor: bool = False


def ranked(
    key: bytes, targets: collections.abc.Iterable[Target]
) -> list[Target]:
    """Returns targets in the rendezvous order of a flow.

    All balancers ask the same targets first, so a copy of an opening packet
    that takes another way meets the target that has the flow.

    Args:
        key: Flow key.
        targets: The targets.
    """
    digest = xxhash.xxh3_64_digest(key)
    return sorted(
        targets,
        key=lambda target: xxhash.xxh3_64_intdigest(
            digest + target.id.encode()
        ),
    )


def select(
    ordered: collections.abc.Iterable[Target], zone: str
) -> list[Target]:
    """Returns the targets to ask, those in the balancer's zone first.

    A flow's packets take the way that its opening packet took, and bytes
    between zones are dear; among targets about equally loaded the first one
    gets the flow.

    Args:
        ordered: Targets in the rendezvous order of a flow.
        zone: Availability zone of the balancer.

    Examples:
        >>> order = [
        ...     Target(name, (name, 1), name[0], True, False)
        ...     for name in ("b1", "b2", "a1", "b3", "a2", "a3")
        ... ]
        >>> [target.id for target in select(order, "a")]
        ['a1', 'a2', 'b1', 'b2']
    """
    near: list[Target] = []
    far: list[Target] = []
    for target in ordered:
        (near if target.zone == zone else far).append(target)
        if (
            len(near) >= MAX_QUERIED_IN_ZONE
            and len(near) + len(far) >= MAX_QUERIED
        ):
            if len(far) >= MAX_QUERIED - MAX_QUERIED_IN_ZONE:
                break
    first = (
        near[:MAX_QUERIED_IN_ZONE] + far[: MAX_QUERIED - MAX_QUERIED_IN_ZONE]
    )
    spare = (
        near[MAX_QUERIED_IN_ZONE:] + far[MAX_QUERIED - MAX_QUERIED_IN_ZONE :]
    )
    return first + spare[: MAX_QUERIED - len(first)]
