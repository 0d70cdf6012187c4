"""Retry schedule for flows whose search found no owner."""

import msgspec

from clementinelead.relays import searches

__all__ = ["FIRST_RETRY_DELAY_S", "UnresolvedFlow", "UnresolvedFlows"]

FIRST_RETRY_DELAY_S = 0.25
"""Delay after the first failed search, seconds."""

RETRY_BACKOFF_FACTOR = 1.5
"""Factor between consecutive retry delays."""

MAX_RETRY_AGE_S = 5.0
"""Time for which searches are retried without a further packet, seconds.

Callers retransmit a packet after up to 1.6 s, and time out after seconds.
"""

MAX_FLOWS = 4_096
"""Most flows with a scheduled retry.

Further flows are searched for when their callers retransmit.
"""


class UnresolvedFlow(msgspec.Struct):
    """A flow without a known owner that may still be held by a side process.

    Attributes:
        last_search: The last search for it.
        began_at: Start of the first search, seconds.
        due_at: Start of the next search, seconds.
        delay_s: Time from the end of the last search to that, seconds.
    """

    last_search: searches.Search
    began_at: float
    due_at: float
    delay_s: float

    def is_expired(self, now: float) -> bool:
        """Returns whether the caller has reset the flow or has timed out."""
        resets = self.last_search.segment.resets
        return resets or now - self.began_at >= MAX_RETRY_AGE_S


class UnresolvedFlows:
    """Schedules retries until a flow is resolved or its caller times out."""

    def __init__(self) -> None:
        self._flow_by_key: dict[bytes, UnresolvedFlow] = {}
        self._next_due_at = float("inf")
        self._decidable = False

    def get(self, key: bytes) -> UnresolvedFlow | None:
        """Returns the entry of a flow, None if no retry is scheduled."""
        return self._flow_by_key.get(key)

    def schedule_retry(self, search: searches.Search, now: float) -> bool:
        """Schedules the next search for a flow, with exponential backoff.

        A search that late replies have resumed has sent no further queries, so
        its end does not postpone the next one.

        Args:
            search: The search that found no owner.
            now: Present time, seconds.

        Returns:
            Whether the retry is scheduled; False if too many flows are kept.
        """
        key = search.segment.key
        last = self._flow_by_key.get(key)
        if last is None and len(self._flow_by_key) >= MAX_FLOWS:
            return False
        if last is not None and last.last_search is search:
            self._next_due_at = min(self._next_due_at, last.due_at)
            return True
        began_at = search.began_at if last is None else last.began_at
        delay_s = (
            FIRST_RETRY_DELAY_S
            if last is None
            else RETRY_BACKOFF_FACTOR * last.delay_s
        )
        due_at = now + delay_s
        self._flow_by_key[key] = UnresolvedFlow(
            search, began_at, due_at, delay_s
        )
        self._next_due_at = min(self._next_due_at, due_at)
        return True

    def remove(self, key: bytes) -> None:
        """Removes a flow whose owner was found or that is lost."""
        self._flow_by_key.pop(key, None)

    def due_searches(
        self, decidable: bool, now: float
    ) -> list[searches.Search]:
        """Returns the searches to repeat now.

        All are due as soon as replies can prove flows lost.

        Args:
            decidable: Whether replies of the side processes in the directory
                can prove a flow lost.
            now: Present time, seconds.
        """
        if decidable and not self._decidable:
            for flow in self._flow_by_key.values():
                flow.due_at = now
                flow.delay_s = FIRST_RETRY_DELAY_S / RETRY_BACKOFF_FACTOR
            self._next_due_at = now
        self._decidable = decidable
        if now < self._next_due_at:
            return []
        due = []
        self._next_due_at = float("inf")
        for flow in self._flow_by_key.values():
            if flow.due_at > now:
                self._next_due_at = min(self._next_due_at, flow.due_at)
            elif not flow.is_expired(now):
                due.append(flow.last_search)
        return due

    def expire(self, now: float) -> None:
        """Removes flows whose callers have reset them or have timed out."""
        for key, flow in list(self._flow_by_key.items()):
            if flow.is_expired(now) and flow.due_at <= now:
                del self._flow_by_key[key]
