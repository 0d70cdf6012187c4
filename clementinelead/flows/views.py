"""A side process's view of the targets of one service."""

import dataclasses
import functools

import numpy as np
import numpy.typing as npt

from clementinelead.messages import envelopes
from clementinelead.packets import headers
from clementinelead.placements import tables

__all__ = ["ServiceView", "merged_route"]

FIRST_CANDIDATE_SETTLE_S = 5.0
"""Time until a bucket's new first candidate has all registrations, seconds.

By then every live owner has received the new view and registered its flows.
"""

_MAX_CACHED_ROUTES = 16_384


@functools.lru_cache(maxsize=_MAX_CACHED_ROUTES)
def merged_route(
    received: envelopes.Route,
    own: envelopes.Route | None,
    others: tuple[envelopes.Candidate, ...],
) -> envelopes.Route:
    """Returns a route with all side processes that may hold a flow.

    The views of balancers and side processes may differ by several membership
    changes, so the candidates of both are included.

    Args:
        received: Route that the balancer sent.
        own: Route of the same bucket in this process's view, or None.
        others: Further processes to include, among them this process.
    """
    included_ids = {candidate.id for candidate in received.candidates}
    holders = received.previous
    if own is not None:
        holders += own.candidates + own.previous
    previous = []
    for candidate in holders + others:
        if candidate.id not in included_ids:
            included_ids.add(candidate.id)
            previous.append(candidate)
    merged = dataclasses.replace(received, previous=tuple(previous))
    return dataclasses.replace(merged, encoded=envelopes.encode_route(merged))


def _changed_rows(
    old: npt.NDArray[np.object_], new: npt.NDArray[np.object_]
) -> npt.NDArray[np.bool_]:
    """Returns a mask of the rows in which two arrays of identifiers differ."""
    if old.shape != new.shape:
        return np.full(len(new), True)
    return np.asarray((old != new).any(axis=1), dtype=np.bool_)


class ServiceView:
    """A service's current table, with the age of each first candidate.

    Attributes:
        service: Name of the service.
        table: Current table; None before the first one and while the service
            has no targets.
    """

    def __init__(self, service: str):
        """Creates a view without a table.

        Args:
            service: Name of the service.
        """
        self.service = service
        self.table: tables.BucketTable | None = None
        self._first_candidate_since: npt.NDArray[np.float64] | None = None

    def update(
        self, table: tables.BucketTable | None, leading_count: int, now: float
    ) -> npt.NDArray[np.bool_] | None:
        """Replaces the table.

        Args:
            table: Table of the new view, or None if no target is left.
            leading_count: Number of leading candidates to compare.
            now: Present time, seconds.

        Returns:
            Boolean array of shape (buckets,), true where those candidates have
            changed, or None if there is no table.
        """
        old = self.table
        since = self._first_candidate_since
        self.table = table
        if table is None:
            self._first_candidate_since = None
            return None
        if old is None or since is None or old.buckets != table.buckets:
            self._first_candidate_since = np.full(table.buckets, now)
            return np.full(table.buckets, True)
        changed = _changed_rows(
            old.leading_ids(leading_count), table.leading_ids(leading_count)
        )
        first_changed = _changed_rows(old.leading_ids(1), table.leading_ids(1))
        self._first_candidate_since = np.where(first_changed, now, since)
        return changed

    def bucket(self, key: headers.FlowKey) -> int:
        """Returns the bucket number of a flow; the view must have a table."""
        assert self.table is not None, "view has no table"
        return tables.bucket_index(key, self.table.buckets)

    def is_settled(
        self,
        key: headers.FlowKey,
        own_candidate: envelopes.Candidate,
        now: float,
    ) -> bool:
        """Returns whether this process is the settled first candidate.

        It is if it has been first candidate of the flow's bucket for
        ``FIRST_CANDIDATE_SETTLE_S``. Every live owner has then registered its
        flows of the bucket here, so a new flow may be placed without a search.

        Args:
            key: Key of the flow.
            own_candidate: This process.
            now: Present time, seconds.
        """
        if self.table is None or self._first_candidate_since is None:
            return False
        number = self.bucket(key)
        if self.table.routes[number].candidates[0].id != own_candidate.id:
            return False
        return bool(
            now - self._first_candidate_since[number]
            >= FIRST_CANDIDATE_SETTLE_S
        )

    def route(self, key: headers.FlowKey) -> envelopes.Route | None:
        """Returns the flow's route in this view, or None without a table."""
        return None if self.table is None else self.table.route(key)

    def holders(
        self,
        key: headers.FlowKey,
        own_candidate: envelopes.Candidate,
        count: int,
    ) -> tuple[int, ...]:
        """Returns the targets to register a flow with.

        Args:
            key: Key of the flow.
            own_candidate: This process, which is left out.
            count: Maximum number of targets.

        Returns:
            Their candidate numbers, in rank order.
        """
        route = self.route(key)
        candidates = route.candidates if route else ()
        other_ids = [
            candidate.id
            for candidate in candidates
            if candidate.id != own_candidate.id
        ]
        return tuple(other_ids[:count])
