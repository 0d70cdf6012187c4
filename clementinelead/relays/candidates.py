"""Candidates: which targets a balancer asks for a flow, in which order."""

import collections.abc
import dataclasses

import xxhash

__all__ = ["Target", "ranked"]


@dataclasses.dataclass(frozen=True, slots=True)
class Target:
    """A target as a balancer sees it.

    Attributes:
        id: Identifier of its side process.
        address: IP address and UDP port of its side process.
        zone: Its availability zone.
        accepting: Whether it takes new flows, as far as the members know.
        starting: Whether it has not said yet whether it does.
        succeeds: Whether its side process has just replaced one that served,
            and whose flows may go on.
    """

    id: str
    address: tuple[str, int]
    zone: str
    accepting: bool
    starting: bool
    succeeds: bool = False


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
