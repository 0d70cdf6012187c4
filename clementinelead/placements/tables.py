"""Bucket tables: the encoded route of each bucket of a service."""

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
    """A target with the properties that placement uses.

    Attributes:
        id: Identifier of the target.
        address: IP address and UDP port of its side process.
        weight: Relative share of the buckets in which it is first, positive.
    """

    id: str
    address: tuple[str, int]
    weight: float

    @property
    def candidate(self) -> envelopes.Candidate:
        """The candidate that represents the target in routes."""
        return envelopes.Candidate(
            envelopes.candidate_id(self.id), self.address
        )


@dataclasses.dataclass(frozen=True, slots=True)
class TargetGroup:
    """A set of targets that receives a share of a service's new flows.

    Attributes:
        name: Service that the targets announce.
        weight: Relative share of the buckets, not negative.
        members: Targets of the group.
    """

    name: str
    weight: int
    members: tuple[Member, ...]


@dataclasses.dataclass(frozen=True)
class BucketTable:
    """The routes of one service for one membership view.

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
        """Returns the route of a flow.

        Args:
            key: Flow key.
        """
        return self.routes[bucket_index(key, len(self.routes))]

    def leading_ids(self, count: int) -> npt.NDArray[np.object_]:
        """Returns the identifiers of each bucket's leading candidates.

        Args:
            count: Number of candidates of each bucket.

        Returns:
            Array of shape (buckets, min(count, depth)).
        """
        identifiers = np.array(
            [member.id for member in self.members], dtype=object
        )
        return identifiers[self.ranking[:, :count]]


def bucket_index(key: bytes, buckets: int) -> int:
    """Returns the index of a flow's bucket.

    Args:
        key: Flow key.
        buckets: Number of buckets of the service.
    """
    return xxhash.xxh3_64_intdigest(key) % buckets


def _previous_candidates(
    current: tuple[envelopes.Candidate, ...],
    old: envelopes.Route | None,
    living: frozenset[int],
) -> tuple[envelopes.Candidate, ...]:
    """Returns the living candidates that only the old route has."""
    if old is None:
        return ()
    current_ids = {candidate.id for candidate in current}
    return tuple(
        candidate
        for candidate in old.candidates
        if candidate.id in living and candidate.id not in current_ids
    )


def build(
    service: str,
    revision: int,
    members: tuple[Member, ...],
    buckets: int,
    depth: int,
    previous: BucketTable | None = None,
) -> BucketTable | None:
    """Builds the table of a service with a single target group.

    Args:
        service: Name of the service.
        revision: Configuration revision in force.
        members: All targets that are not dead or leaving.
        buckets: Number of buckets.
        depth: Number of candidates of a flow.
        previous: Table of the previous view, None if there is none.

    Returns:
        The table, None if there are no targets.
    """
    group = TargetGroup(service, 1, members)
    return build_grouped(service, revision, (group,), buckets, depth, previous)


def build_grouped(
    service: str,
    revision: int,
    groups: tuple[TargetGroup, ...],
    buckets: int,
    depth: int,
    previous: BucketTable | None = None,
) -> BucketTable | None:
    """Builds the table of a service with several target groups.

    Each bucket is assigned to one group, whose targets are its candidates.
    Equal routes share one encoded message.

    Args:
        service: Name of the service.
        revision: Configuration revision in force.
        groups: Target groups, without dead and leaving targets.
        buckets: Number of buckets.
        depth: Number of candidates of a flow.
        previous: Table of the previous view, whose candidates may still own
            flows; ignored if it has another number of buckets.

    Returns:
        The table, None if there are no targets.
    """
    member_by_id = {
        member.id: member for group in groups for member in group.members
    }
    if not member_by_id:
        return None
    ordered = tuple(member_by_id[name] for name in sorted(member_by_id))
    ranking = _grouped_ranking(groups, ordered, buckets, depth)
    candidates = tuple(member.candidate for member in ordered)
    living = frozenset(candidate.id for candidate in candidates)
    comparable = previous if previous and previous.buckets == buckets else None
    route_by_candidates: dict[tuple[object, ...], envelopes.Route] = {}
    routes = []
    for bucket, indices in enumerate(ranking.tolist()):
        # A row repeats its last target if the group has fewer than depth.
        current = tuple(candidates[index] for index in dict.fromkeys(indices))
        old = comparable.routes[bucket] if comparable else None
        earlier = _previous_candidates(current, old, living)
        route = route_by_candidates.get((current, earlier))
        if route is None:
            unencoded = envelopes.Route(service, revision, current, earlier)
            route = dataclasses.replace(
                unencoded, encoded=envelopes.encode_route(unencoded)
            )
            route_by_candidates[current, earlier] = route
        routes.append(route)
    return BucketTable(
        service, revision, ordered, ranking.astype(np.uint16), tuple(routes)
    )


def _grouped_ranking(
    groups: tuple[TargetGroup, ...],
    ordered: tuple[Member, ...],
    buckets: int,
    depth: int,
) -> npt.NDArray[np.int32]:
    """Returns the best targets of each bucket, best first.

    Groups without targets receive no buckets, and groups of weight 0 receive
    some only if no group of positive weight has targets.

    Args:
        groups: Target groups, not all empty.
        ordered: Targets of all groups, sorted by identifier.
        buckets: Number of buckets.
        depth: Number of targets to rank in each bucket.

    Returns:
        Array of shape (buckets, width) of indices into ``ordered``, with a
        width of at most ``depth``; rows of a group with fewer targets repeat
        the last one.
    """
    nonempty = [group for group in groups if group.members]
    eligible = [group for group in nonempty if group.weight] or nonempty
    eligible.sort(key=lambda group: group.name)
    index_by_id = {member.id: index for index, member in enumerate(ordered)}
    rankings = [
        _group_ranking(group, index_by_id, buckets, depth) for group in eligible
    ]
    if len(eligible) == 1:
        return rankings[0]
    width = max(ranking.shape[1] for ranking in rankings)
    padded = [
        np.pad(ranking, ((0, 0), (0, width - ranking.shape[1])), mode="edge")
        for ranking in rankings
    ]
    weight_by_name = {group.name: group.weight or 1 for group in eligible}
    group_by_bucket = rendezvous.apportion(weight_by_name, buckets)
    return np.stack(padded)[group_by_bucket, np.arange(buckets)]


def _group_ranking(
    group: TargetGroup, index_by_id: dict[str, int], buckets: int, depth: int
) -> npt.NDArray[np.int32]:
    """Ranks the targets of one group, as indices from ``index_by_id``."""
    weight_by_id = {member.id: member.weight for member in group.members}
    indices = np.array(
        [index_by_id[identifier] for identifier in sorted(weight_by_id)],
        dtype=np.int32,
    )
    return indices[rendezvous.ranking(weight_by_id, buckets, depth)]
