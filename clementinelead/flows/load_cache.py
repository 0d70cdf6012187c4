"""What a side process believes of the other targets' loads.

It comes from control messages that are sent anyway, so it is often
milliseconds old. It decides only who is asked first; each target decides for
itself.
"""

import dataclasses
import functools

from clementinelead.flows import loads
from clementinelead.messages import controls
from clementinelead.messages import envelopes

__all__ = ["LoadCache"]

LOAD_TTL_S = 0.5
_CACHED_ROUTES = 16_384


@functools.lru_cache(maxsize=_CACHED_ROUTES)
def _encoded(route: envelopes.Route) -> envelopes.Route:
    """Returns a route with its message."""
    return dataclasses.replace(route, encoded=envelopes.encode_route(route))


class LoadCache:
    """Loads by target, as each last told its own."""

    def __init__(self) -> None:
        self._told_by_id: dict[int, tuple[float, controls.TargetLoad]] = {}

    def update(
        self, candidate: int, load: controls.TargetLoad, now: float
    ) -> None:
        """Notes what a target says of its load.

        Args:
            candidate: Number of the target in routes.
            load: What it says.
            now: Present time, seconds.
        """
        self._told_by_id[candidate] = (now, load)

    def count_forwarded_flow(self, candidate: envelopes.Candidate) -> None:
        """Counts a flow that is sent to a target before it says so itself."""
        told = self._told_by_id.get(candidate.id)
        if told is None:
            return
        load = told[1]
        more = load.completion_ms // 2 if load.free_slots <= 0 else 0
        expected = controls.TargetLoad(
            max(0, load.free_slots - 1),
            min(loads.NOT_ACCEPTING_MS, load.completion_ms + more),
        )
        self._told_by_id[candidate.id] = (told[0], expected)

    def order_candidates(
        self, route: envelopes.Route, now: float
    ) -> tuple[envelopes.Route, list[int]]:
        """Puts the candidates that are believed to have room first.

        The first candidate keeps its place: it is the one that arranges.

        Args:
            route: A route.
            now: Present time, seconds.

        Returns:
            The route, and for each place the place that its candidate had.
        """
        places = range(1, len(route.candidates))
        order = [0]
        order += sorted(
            places, key=lambda place: self._rank(route.candidates[place], now)
        )
        if order == list(range(len(route.candidates))):
            return route, order
        candidates = tuple(route.candidates[place] for place in order)
        return _encoded(
            dataclasses.replace(route, candidates=candidates)
        ), order

    def least_loaded_position(
        self, route: envelopes.Route, own_completion_ms: int, now: float
    ) -> int | None:
        """Returns the place of the least loaded candidate if none has room.

        Args:
            route: A route whose first candidate is this process.
            own_completion_ms: Expected completion here, milliseconds.
            now: Present time, seconds.

        Returns:
            The place, or None if some candidate may have room or none can
            take the flow.
        """
        completion = [own_completion_ms]
        for candidate in route.candidates[1:]:
            told = self._told(candidate, now)
            if told is None or told.free_slots > 0:
                return None
            completion.append(told.completion_ms)
        least = min(completion)
        if least >= loads.NOT_ACCEPTING_MS:
            return None
        return completion.index(least)

    def _rank(
        self, candidate: envelopes.Candidate, now: float
    ) -> tuple[int, int]:
        """Returns the order to ask in: room, not known, then by load."""
        told = self._told(candidate, now)
        if told is None:
            return 1, 0
        if told.free_slots > 0:
            return 0, told.completion_ms
        return 2, told.completion_ms

    def _told(
        self, candidate: envelopes.Candidate, now: float
    ) -> controls.TargetLoad | None:
        told = self._told_by_id.get(candidate.id)
        if told is None or now - told[0] > LOAD_TTL_S:
            return None
        return told[1]
