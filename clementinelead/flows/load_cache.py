"""Cache of the loads that other targets have reported.

The reports are carried by control messages that are sent anyway, so an entry
is often only milliseconds old. The cache determines only the order in which
candidates are asked; each target makes its own admission decision.
"""

import dataclasses
import functools

from clementinelead.flows import loads
from clementinelead.messages import controls
from clementinelead.messages import envelopes

__all__ = ["LoadCache"]

LOAD_TTL_S = 0.5
"""Time after which a reported load is ignored, seconds."""

_MAX_CACHED_ROUTES = 16_384


@functools.lru_cache(maxsize=_MAX_CACHED_ROUTES)
def _encoded(route: envelopes.Route) -> envelopes.Route:
    """Returns the route with its encoded form."""
    return dataclasses.replace(route, encoded=envelopes.encode_route(route))


class LoadCache:
    """Last reported load of each target."""

    def __init__(self) -> None:
        """Creates an empty cache."""
        self._entry_by_id: dict[int, tuple[float, controls.TargetLoad]] = {}

    def update(
        self, candidate_id: int, load: controls.TargetLoad, now: float
    ) -> None:
        """Stores the load that a target has reported.

        Args:
            candidate_id: Number of the target in routes.
            load: Its reported load.
            now: Present time, seconds.
        """
        self._entry_by_id[candidate_id] = (now, load)

    def count_forwarded_flow(self, candidate: envelopes.Candidate) -> None:
        """Adds a flow forwarded to a target to its cached load.

        This bridges the time until the target's next report includes the flow.
        It takes one free slot or, if none is free, adds half the completion
        time.

        Args:
            candidate: The target; it is ignored if it has no entry.
        """
        entry = self._entry_by_id.get(candidate.id)
        if entry is None:
            return
        reported_at, load = entry
        added_ms = load.completion_ms // 2 if load.free_slots <= 0 else 0
        expected = controls.TargetLoad(
            max(0, load.free_slots - 1),
            min(loads.NOT_ACCEPTING_MS, load.completion_ms + added_ms),
        )
        self._entry_by_id[candidate.id] = (reported_at, expected)

    def order_candidates(
        self, route: envelopes.Route, now: float
    ) -> tuple[envelopes.Route, list[int]]:
        """Sorts the candidates of a route by their cached loads.

        Candidates with free slots come first, then those without a valid
        entry, then the others; within a group by completion time. The first
        candidate keeps its position, because it is the one that sorts.

        Args:
            route: A route whose first candidate is this process.
            now: Present time, seconds.

        Returns:
            The sorted route, and for each of its positions the previous
            position of the candidate there.
        """
        positions = range(1, len(route.candidates))
        order = [0]
        order += sorted(
            positions,
            key=lambda position: self._sort_key(
                route.candidates[position], now
            ),
        )
        if order == list(range(len(route.candidates))):
            return route, order
        candidates = tuple(route.candidates[position] for position in order)
        return _encoded(
            dataclasses.replace(route, candidates=candidates)
        ), order

    def least_loaded_position(
        self, route: envelopes.Route, own_completion_ms: int, now: float
    ) -> int | None:
        """Returns the position of the least loaded candidate if all are full.

        Args:
            route: A route whose first candidate is this process.
            own_completion_ms: Expected completion time of a new flow at this
                target, milliseconds.
            now: Present time, seconds.

        Returns:
            The position, or None if a candidate may have a free slot or none
            accepts new flows.
        """
        completion_ms = [own_completion_ms]
        for candidate in route.candidates[1:]:
            load = self._valid_load(candidate, now)
            if load is None or load.free_slots > 0:
                return None
            completion_ms.append(load.completion_ms)
        least_ms = min(completion_ms)
        if least_ms >= loads.NOT_ACCEPTING_MS:
            return None
        return completion_ms.index(least_ms)

    def _sort_key(
        self, candidate: envelopes.Candidate, now: float
    ) -> tuple[int, int]:
        load = self._valid_load(candidate, now)
        if load is None:
            return 1, 0
        if load.free_slots > 0:
            return 0, load.completion_ms
        return 2, load.completion_ms

    def _valid_load(
        self, candidate: envelopes.Candidate, now: float
    ) -> controls.TargetLoad | None:
        """Returns a target's cached load, or None if absent or expired."""
        entry = self._entry_by_id.get(candidate.id)
        if entry is None:
            return None
        reported_at, load = entry
        return None if now - reported_at > LOAD_TTL_S else load
