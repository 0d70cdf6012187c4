"""Bucket tables: the encoded route of every bucket of a service."""

import dataclasses

import numpy as np
import numpy.typing as npt
import xxhash

from clementinelead.messages import envelopes
from clementinelead.placements import rendezvous

__all__ = [
    "BucketTable",
    "Member",
    "TargetGroup",
    "bucket_index",
    "build",
    "build_grouped",
]


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


@dataclasses.dataclass(frozen=True, slots=True)
class TargetGroup:
    """A set of targets and its share of a service's new flows.

    Attributes:
        name: Service that the targets announce.
        weight: Relative share, not negative.
        members: The targets.
    """

    name: str
    weight: int
    members: tuple[Member, ...]


@dataclasses.dataclass(frozen=True)
class BucketTable:
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
        return self.routes[bucket_index(key, len(self.routes))]

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


def bucket_index(key: bytes, buckets: int) -> int:
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
    previous: BucketTable | None = None,
) -> BucketTable | None:
    """Returns the table of a service that one set of targets serves.

    Args:
        service: Name of the service.
        revision: Configuration revision in force.
        members: All targets that are not dead or leaving.
        buckets: Number of buckets.
        depth: Number of candidates of a flow.
        previous: Table of the previous view.
    """
    part = TargetGroup(service, 1, members)
    return build_grouped(service, revision, (part,), buckets, depth, previous)


def build_grouped(
    service: str,
    revision: int,
    parts: tuple[TargetGroup, ...],
    buckets: int,
    depth: int,
    previous: BucketTable | None = None,
) -> BucketTable | None:
    """Returns the table of a service, or None if it has no targets.

    A bucket belongs to one part, whose targets are its candidates. Routes that
    are equal share one encoded message.

    Args:
        service: Name of the service.
        revision: Configuration revision in force.
        parts: Its sets of targets that are not dead or leaving.
        buckets: Number of buckets.
        depth: Number of candidates of a flow.
        previous: Table of the previous view, whose candidates may still hold
            flows.
    """
    member_by_id = {
        member.id: member for part in parts for member in part.members
    }
    if not member_by_id:
        return None
    ordered = tuple(member_by_id[name] for name in sorted(member_by_id))
    ranking = _shared_ranking(parts, ordered, buckets, depth)
    candidates = tuple(member.candidate for member in ordered)
    living = frozenset(candidate.id for candidate in candidates)
    usable = previous if previous and previous.buckets == buckets else None
    route_by_content: dict[tuple[object, ...], envelopes.Route] = {}
    routes = []
    for number, places in enumerate(ranking.tolist()):
        chosen = tuple(candidates[place] for place in dict.fromkeys(places))
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
    return BucketTable(
        service, revision, ordered, ranking.astype(np.uint16), tuple(routes)
    )


def _shared_ranking(
    parts: tuple[TargetGroup, ...],
    ordered: tuple[Member, ...],
    buckets: int,
    depth: int,
) -> npt.NDArray[np.int32]:
    """Returns the best targets of each bucket, best first.

    A part without targets takes no part; one with a weight of 0 only if none
    with another weight has targets.

    Args:
        parts: Sets of targets, not all empty.
        ordered: Their targets, sorted by identifier.
        buckets: Number of buckets.
        depth: How many places to fill.

    Returns:
        Array of shape (buckets, places) of indices into ``ordered``; in rows
        of a part with fewer targets than places the last one is repeated.
    """
    filled = [part for part in parts if part.members]
    taking = [part for part in filled if part.weight] or filled
    taking.sort(key=lambda part: part.name)
    place_by_id = {member.id: place for place, member in enumerate(ordered)}
    rankings = [_ranking(part, place_by_id, buckets, depth) for part in taking]
    if len(taking) == 1:
        return rankings[0]
    width = max(found.shape[1] for found in rankings)
    padded = [
        np.pad(found, ((0, 0), (0, width - found.shape[1])), mode="edge")
        for found in rankings
    ]
    shares = {part.name: part.weight or 1 for part in taking}
    chosen = rendezvous.apportion(shares, buckets)
    return np.stack(padded)[chosen, np.arange(buckets)]


def _ranking(
    part: TargetGroup, place_by_id: dict[str, int], buckets: int, depth: int
) -> npt.NDArray[np.int32]:
    """Returns the best targets of each bucket among those of a part."""
    weight_by_id = {member.id: member.weight for member in part.members}
    places = np.array(
        [place_by_id[name] for name in sorted(weight_by_id)], dtype=np.int32
    )
    return places[rendezvous.ranking(weight_by_id, buckets, depth)]
