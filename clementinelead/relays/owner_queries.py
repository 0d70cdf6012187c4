"""Queries of a search to the side processes that may hold the flow."""

from clementinelead.relays import directory
from clementinelead.relays import outcomes
from clementinelead.relays import possible_owners
from clementinelead.relays import query_rounds
from clementinelead.relays import searches

__all__ = ["OwnerQueries"]

_Address = tuple[str, int]


class OwnerQueries:
    """Queries side processes for flows, each of them once in a search."""

    def __init__(
        self,
        targets: directory.Directory,
        owners: possible_owners.PossibleOwners,
    ):
        """Creates queries without a round.

        Args:
            targets: The targets of all services.
            owners: Selects the side processes to query.
        """
        self._directory = targets
        self._owners = owners
        self._rounds = query_rounds.QueryRounds(targets)

    @property
    def has_queued(self) -> bool:
        """Whether queries wait to be sent."""
        return self._rounds.has_queued

    def query_further(self, search: searches.Search, now: float) -> bool:
        """Queries side processes that a search has not queried yet.

        These have appeared since it began. If there are none, and all present
        and former services of the address deny the flow, those of all other
        services are queried where they may hold it. That waits for a complete
        directory: the owner is most likely a process that is missing in it.

        Args:
            search: The search.
            now: Present time, seconds.

        Returns:
            Whether replies are awaited.
        """
        if self._query_new(search, now):
            return True
        if search.everywhere or not search.all_replied:
            return False
        if not self._directory.absence_decidable(now):
            return False
        search.everywhere = self._owners.may_be_elsewhere(
            search.segment, search.services, now
        )
        return search.everywhere and self._query_new(search, now)

    def _query_new(self, search: searches.Search, now: float) -> bool:
        """Queries the possible owners that have not been queried."""
        owners, awaited = self._owners.to_query(
            search.segment, search.services, search.everywhere, now
        )
        awaited.difference_update(search.queried)
        if not awaited:
            return False
        new = [owner for owner in owners if owner[0] not in search.queried]
        search.awaiting_reply |= awaited
        not_awaited = [address for address, _ in new if address not in awaited]
        search.not_awaited.update(not_awaited)
        search.queried |= search.awaiting_reply
        search.queried |= not_awaited
        search.deadline = float("inf")  # set when the queries are sent
        self._rounds.add(search.segment.key, new, now)
        return True

    def record_reply(self, source: _Address, now: float) -> None:
        """Records a reply; the last one of a round makes the next round due.

        Args:
            source: Address of the side process.
            now: Present time, seconds.
        """
        self._rounds.record_reply(source, now)

    def take_due(
        self, search_by_key: dict[bytes, searches.Search], now: float
    ) -> list[outcomes.Outcome]:
        """Returns the queries that are due; sets the deadlines of the searches.

        Args:
            search_by_key: Searches in progress.
            now: Present time, seconds.
        """
        sends, queried = self._rounds.take_due(now)
        for key in queried & search_by_key.keys():
            search_by_key[key].deadline = (
                now + query_rounds.QUERY_REPLY_TIMEOUT_S
            )
        return sends
