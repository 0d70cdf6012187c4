"""Bucket tables: the encoded route of every bucket of a service."""

import dataclasses

import numpy as np
import numpy.typing as npt
import xxhash

from clementinelead.messages import envelopes
from clementinelead.placements import rendezvous

__all__ = ["Member", "Table", "bucket", "build"]


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A target as placement sees it.

    Attributes:
        id: Identifier of the target.
        address: IP address and UDP port of its side process.
        weight: Relative share of first places, positive.
    """

    id: str
    address: tuple[str, int]
    weight: float

    @property
    def candidate(self) -> envelopes.Candidate:
        """The member as routes name it."""
        return envelopes.Candidate(
            envelopes.candidate_id(self.id), self.address
        )


@dataclasses.dataclass(frozen=True)
class Table:
    """The routes of one service under one view.

    Attributes:
        service: Name of the service.
        revision: Configuration revision that the table was built for.
        members: Targets in the order that ``ranking`` indexes.
        ranking: Array of shape (buckets, depth) of member indices.
        routes: Route of each bucket.
    """

    service: str
    revision: int
    members: tuple[Member, ...]
    ranking: npt.NDArray[np.uint16]
    routes: tuple[envelopes.Route, ...]

    @property
    def buckets(self) -> int:
        """Number of buckets."""
        return len(self.routes)

    def route(self, key: bytes) -> envelopes.Route:
        """Returns the route of a flow."""
        return self.routes[bucket(key, len(self.routes))]

    def leading_ids(self, places: int) -> npt.NDArray[np.object_]:
        """Returns the identifiers of each bucket's leading candidates.

        Args:
            places: How many candidates of each bucket.

        Returns:
            Array of shape (buckets, min(places, depth)).
        """
        identifiers = np.array(
            [member.id for member in self.members], dtype=object
        )
        return identifiers[self.ranking[:, :places]]


def bucket(key: bytes, buckets: int) -> int:
    """Returns the bucket of a flow key."""
    return xxhash.xxh3_64_intdigest(key) % buckets


def _previous_candidates(
    current: tuple[envelopes.Candidate, ...],
    old: envelopes.Route | None,
    living: frozenset[int],
) -> tuple[envelopes.Candidate, ...]:
    if old is None:
        return ()
    ids = {candidate.id for candidate in current}
    return tuple(
        candidate
        for candidate in old.candidates
        if candidate.id in living and candidate.id not in ids
    )


def build(
    service: str,
    revision: int,
    members: tuple[Member, ...],
    buckets: int,
    depth: int,
    previous: Table | None = None,
) -> Table | None:
    """Returns the table of a service, or None if it has no targets.

    Routes that are equal share one encoded message.

    Args:
        service: Name of the service.
        revision: Configuration revision in force.
        members: All targets that are not dead or leaving.
        buckets: Number of buckets.
        depth: Number of candidates of a flow.
        previous: Table of the previous view, whose candidates may still hold
            flows.
    """
    if not members:
        return None
    ordered = tuple(sorted(members, key=lambda member: member.id))
    weight_by_id = {member.id: member.weight for member in ordered}
    ranking = rendezvous.ranking(weight_by_id, buckets, depth)
    candidates = tuple(member.candidate for member in ordered)
    living = frozenset(candidate.id for candidate in candidates)
    usable = previous if previous and previous.buckets == buckets else None
    route_by_content: dict[tuple[object, ...], envelopes.Route] = {}
    routes = []
    for number, places in enumerate(ranking.tolist()):
        chosen = tuple(candidates[place] for place in places)
        old = usable.routes[number] if usable else None
        earlier = _previous_candidates(chosen, old, living)
        content = (chosen, earlier)
        route = route_by_content.get(content)
        if route is None:
            bare = envelopes.Route(service, revision, chosen, earlier)
            route = dataclasses.replace(
                bare, encoded=envelopes.encode_route(bare)
            )
            route_by_content[content] = route
        routes.append(route)
    return Table(
        service, revision, ordered, ranking.astype(np.uint16), tuple(routes)
    )
