"""Flows whose owner was searched for in vain, and when to search again."""

import msgspec

from clementinelead.relays import searches

__all__ = ["FIRST_RETRY_DELAY_S", "UnresolvedFlow", "UnresolvedFlows"]

FIRST_RETRY_DELAY_S = 0.25
"""Pause after the first search in vain, seconds."""

RETRY_BACKOFF_FACTOR = 1.5
"""Factor between one such pause and the next."""

MAX_RETRY_AGE_S = 5.0
"""Time in which a flow is searched for again without a further packet, seconds.

Callers send a packet again after up to 1.6 s, and wait for seconds.
"""

MAX_FLOWS = 4_096
"""Flows kept; those beyond it are searched for when their callers send again."""


class UnresolvedFlow(msgspec.Struct):
    """A flow that nobody was known to hold, and that may be held.

    Attributes:
        search: The last search for it.
        begun: When the first one began, seconds.
        due: When the next one begins, seconds.
        pause_s: Time from the last one to that, seconds.
    """

    last_search: searches.Search
    began_at: float
    due_at: float
    delay_s: float

    def is_expired(self, now: float) -> bool:
        """Tells whether nobody waits for an answer in the flow any more."""
        resets = self.last_search.segment.resets
        return resets or now - self.began_at >= MAX_RETRY_AGE_S


class UnresolvedFlows:
    """Keeps flows until they are resolved, or their callers have given up."""

    def __init__(self) -> None:
        self._flow_by_key: dict[bytes, UnresolvedFlow] = {}
        self._next_due = float("inf")
        self._settled = False

    def get(self, key: bytes) -> UnresolvedFlow | None:
        """Returns a flow, None if it is not kept."""
        return self._flow_by_key.get(key)

    def schedule_retry(self, search: searches.Search, now: float) -> bool:
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
        begun = search.began_at if last is None else last.began_at
        pause_s = (
            FIRST_RETRY_DELAY_S
            if last is None
            else RETRY_BACKOFF_FACTOR * last.delay_s
        )
        due = now + pause_s
        self._flow_by_key[key] = UnresolvedFlow(search, begun, due, pause_s)
        self._next_due = min(self._next_due, due)
        return True

    def remove(self, key: bytes) -> None:
        """Forgets a flow that has been found, or is nowhere."""
        self._flow_by_key.pop(key, None)

    def due_searches(self, settled: bool, now: float) -> list[searches.Search]:
        """Returns searches to repeat now, all once nobody is missing.

        Args:
            settled: Whether some flows are known to be nowhere.
            now: Present time, seconds.
        """
        if settled and not self._settled:
            for flow in self._flow_by_key.values():
                flow.due_at = now
                flow.delay_s = FIRST_RETRY_DELAY_S / RETRY_BACKOFF_FACTOR
            self._next_due = now
        self._settled = settled
        if now < self._next_due:
            return []
        found = []
        self._next_due = float("inf")
        for flow in self._flow_by_key.values():
            if flow.due_at > now:
                self._next_due = min(self._next_due, flow.due_at)
            elif not flow.is_expired(now):
                found.append(flow.last_search)
        return found

    def expire(self, now: float) -> None:
        """Forgets flows whose callers have given up or ended them."""
        for key, flow in list(self._flow_by_key.items()):
            if flow.is_expired(now) and flow.due_at <= now:
                del self._flow_by_key[key]
