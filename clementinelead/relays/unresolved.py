"""Flows whose owner was searched for in vain, and when to search again."""

import msgspec

from clementinelead.relays import searches

__all__ = ["UNKNOWN_S", "Unresolved", "UnresolvedFlows"]

UNKNOWN_S = 0.25
"""Pause after the first search in vain, seconds."""

PAUSE_GROWTH = 1.5
"""Factor between one such pause and the next."""

RETRY_FOR_S = 5.0
"""Time in which a flow is searched for again without a further packet, seconds.

Callers send a packet again after up to 1.6 s, and wait for seconds.
"""

MAX_FLOWS = 4_096
"""Flows kept; those beyond it are searched for when their callers send again."""


class Unresolved(msgspec.Struct):
    """A flow that nobody was known to hold, and that may be held.

    Attributes:
        search: The last search for it.
        begun: When the first one began, seconds.
        due: When the next one begins, seconds.
        pause_s: Time from the last one to that, seconds.
    """

    search: searches.Search
    begun: float
    due: float
    pause_s: float

    def given_up(self, now: float) -> bool:
        """Tells whether nobody waits for an answer in the flow any more."""
        resets = self.search.segment.resets
        return resets or now - self.begun >= RETRY_FOR_S


class UnresolvedFlows:
    """Keeps flows until they are resolved, or their callers have given up."""

    def __init__(self) -> None:
        self._flow_by_key: dict[bytes, Unresolved] = {}
        self._next_due = float("inf")
        self._settled = False

    def get(self, key: bytes) -> Unresolved | None:
        """Returns a flow, None if it is not kept."""
        return self._flow_by_key.get(key)

    def keep(self, search: searches.Search, now: float) -> bool:
        """Plans the next search for a flow.

        Args:
            search: A search in vain.
            now: Present time, seconds.

        Returns:
            Whether there is room for the flow.
        """
        key = search.segment.key
        last = self._flow_by_key.get(key)
        if last is None and len(self._flow_by_key) >= MAX_FLOWS:
            return False
        begun = search.begun if last is None else last.begun
        pause_s = UNKNOWN_S if last is None else PAUSE_GROWTH * last.pause_s
        due = now + pause_s
        self._flow_by_key[key] = Unresolved(search, begun, due, pause_s)
        self._next_due = min(self._next_due, due)
        return True

    def resolve(self, key: bytes) -> None:
        """Forgets a flow that has been found, or is nowhere."""
        self._flow_by_key.pop(key, None)

    def due(self, settled: bool, now: float) -> list[searches.Search]:
        """Returns searches to repeat now, all once nobody is missing.

        Args:
            settled: Whether some flows are known to be nowhere.
            now: Present time, seconds.
        """
        if settled and not self._settled:
            for flow in self._flow_by_key.values():
                flow.due = now
                flow.pause_s = UNKNOWN_S / PAUSE_GROWTH
            self._next_due = now
        self._settled = settled
        if now < self._next_due:
            return []
        found = []
        self._next_due = float("inf")
        for flow in self._flow_by_key.values():
            if flow.due > now:
                self._next_due = min(self._next_due, flow.due)
            elif not flow.given_up(now):
                found.append(flow.search)
        return found

    def expire(self, now: float) -> None:
        """Forgets flows whose callers have given up or ended them."""
        for key, flow in list(self._flow_by_key.items()):
            if flow.given_up(now) and flow.due <= now:
                del self._flow_by_key[key]
