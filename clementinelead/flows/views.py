"""What a side process knows of the targets of one service."""

import dataclasses
import functools

import numpy as np
import numpy.typing as npt

from clementinelead.messages import envelopes
from clementinelead.packets import headers
from clementinelead.placements import tables

__all__ = ["ServiceView", "merged_route"]

SETTLE_S = 5.0
"""Time after which a bucket's new first candidate knows its flows."""

_MERGED_ROUTES = 16_384


@functools.lru_cache(maxsize=_MERGED_ROUTES)
def merged_route(
    received: envelopes.Route,
    own: envelopes.Route | None,
    others: tuple[envelopes.Candidate, ...],
) -> envelopes.Route:
    """Returns a route that names all who may hold a flow.

    Balancers and side processes may hold views several changes apart, so the
    candidates of both are asked.

    Args:
        received: Route that the balancer sent.
        own: Route of the same bucket in this process's view, if any.
        others: More processes to ask, and this process.
    """
    candidates = received.candidates
    known = {candidate.id for candidate in candidates}
    holders = received.previous
    if own is not None:
        holders += own.candidates + own.previous
    previous = []
    for candidate in holders + others:
        if candidate.id not in known:
            known.add(candidate.id)
            previous.append(candidate)
    merged = dataclasses.replace(received, previous=tuple(previous))
    return dataclasses.replace(merged, encoded=envelopes.encode_route(merged))


def _changes(
    old: npt.NDArray[np.object_], new: npt.NDArray[np.object_]
) -> npt.NDArray[np.bool_]:
    """Tells in which rows two arrays of identifiers differ."""
    if old.shape != new.shape:
        return np.full(len(new), True)
    return np.asarray((old != new).any(axis=1), dtype=np.bool_)


class ServiceView:
    """A service's table as this process sees it, and since when.

    Attributes:
        service: Name of the service.
        table: Table of the present view, or None before the first.
    """

    def __init__(self, service: str):
        self.service = service
        self.table: tables.BucketTable | None = None
        self._first_since: npt.NDArray[np.float64] | None = None

    def update(
        self, table: tables.BucketTable | None, places: int, now: float
    ) -> npt.NDArray[np.bool_] | None:
        """Takes over a new table.

        Args:
            table: Table of the new view, or None if no target is left.
            places: How many leading candidates matter to a flow's owner.
            now: Present time, seconds.

        Returns:
            Array of shape (buckets,) that tells where those have changed, or
            None if there is no table.
        """
        old = self.table
        since = self._first_since
        self.table = table
        if table is None:
            self._first_since = None
            return None
        if old is None or since is None or old.buckets != table.buckets:
            self._first_since = np.full(table.buckets, now)
            return np.full(table.buckets, True)
        changed = _changes(old.leading_ids(places), table.leading_ids(places))
        first_changed = _changes(old.leading_ids(1), table.leading_ids(1))
        self._first_since = np.where(first_changed, now, since)
        return changed

    def bucket(self, key: headers.FlowKey) -> int:
        """Returns the bucket of a flow; the view must have a table."""
        assert self.table is not None, "a view without a table has no buckets"
        return tables.bucket_index(key, self.table.buckets)

    def settled(
        self, key: headers.FlowKey, me: envelopes.Candidate, now: float
    ) -> bool:
        """Tells whether this process has long been first for a flow.

        Then every live owner has registered its flow here, and a new flow may
        be placed without asking the others.
        """
        if self.table is None or self._first_since is None:
            return False
        number = self.bucket(key)
        if self.table.routes[number].candidates[0].id != me.id:
            return False
        return bool(now - self._first_since[number] >= SETTLE_S)

    def route(self, key: headers.FlowKey) -> envelopes.Route | None:
        """Returns the flow's route in this view."""
        return None if self.table is None else self.table.route(key)

    def holders(
        self, key: headers.FlowKey, me: envelopes.Candidate, count: int
    ) -> tuple[int, ...]:
        """Returns the numbers of the targets to register a flow with."""
        route = self.route(key)
        candidates = route.candidates if route else ()
        others = [other.id for other in candidates if other.id != me.id]
        return tuple(others[:count])
