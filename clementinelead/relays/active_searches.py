"""Searches in progress, and those that a late reply resumes."""

from clementinelead.relays import query_rounds
from clementinelead.relays import searches
from clementinelead.relays import unresolved_flows
from clementinelead.telemetry import counters

__all__ = ["MAX_SEARCHES", "ActiveSearches"]

MAX_SEARCHES = 4_096
"""Most concurrent searches, those included that a late reply has resumed.

Further flows rely on the callers' retransmissions.
"""


class ActiveSearches:
    """Searches in progress by flow.

    A reply that is later than its timeout is as true as any other. The search
    that it belongs to has ended and waits for its retry; the reply resumes it.

    Attributes:
        by_key: Searches in progress, by flow key.
    """

    def __init__(
        self,
        unresolved: unresolved_flows.UnresolvedFlows,
        counts: counters.CounterSet,
    ):
        """Creates a record without searches.

        Args:
            unresolved: Flows whose last search has ended without an owner.
            counts: Receives the counts of decisions by cause.
        """
        self.by_key: dict[bytes, searches.Search] = {}
        self._unresolved = unresolved
        self._counts = counts

    def may_begin(self) -> bool:
        """Returns whether there is room for a search; counts if there is none."""
        if len(self.by_key) < MAX_SEARCHES:
            return True
        self._counts.add("searches_full")
        return False

    def last_search(self, key: bytes) -> searches.Search | None:
        """Returns the search for a flow, or the one whose retry is scheduled.

        Args:
            key: Flow key.
        """
        search = self.by_key.get(key)
        last = self._unresolved.get(key)
        if search is None and last is not None:
            return last.last_search
        return search

    def resume(self, key: bytes, search: searches.Search, now: float) -> bool:
        """Goes on with a search that ended before a reply arrived.

        Without room for it the search stays ended: the flow is searched for
        again by its retry or with the caller's next packet.

        Args:
            key: Flow key.
            search: The last search for the flow.
            now: Present time, seconds.

        Returns:
            Whether the search is in progress.
        """
        if key in self.by_key:
            return True
        if not self.may_begin():
            return False
        self.by_key[key] = search
        search.deadline = now + query_rounds.QUERY_REPLY_TIMEOUT_S
        self._counts.add("searches_resumed")
        return True
