"""Failure suspicion of side processes, from unanswered queries."""

import collections.abc

__all__ = ["Responsiveness"]

SUSPECT_AFTER_S = 0.12
"""Time without a reply after which a process is suspected, seconds.

Round trips between availability zones take 3 ms; a process that starts or is
short of processor time replies within tens of milliseconds.
"""

MISSED_AFTER_S = 0.06
"""Time without a reply after which a query counts as missed, seconds."""

RETRY_INTERVAL_S = 0.4
"""Time after which a suspected process is queried again, seconds."""


class Responsiveness:
    """Unanswered queries, by the address of the queried process.

    The membership protocol takes seconds to declare a process dead. This takes
    one query, and a wrong suspicion ends with the next reply.
    """

    def __init__(self) -> None:
        self._unanswered_since: dict[tuple[str, int], float] = {}
        self._queried_at: dict[tuple[str, int], float] = {}
        self._missed_by_address: dict[tuple[str, int], int] = {}

    def record_query(self, address: tuple[str, int], now: float) -> None:
        """Records a query that expects a reply.

        Args:
            address: Address of the queried process.
            now: Present time, seconds.
        """
        missed = self.missed_count(address, now)
        if missed:
            self._missed_by_address[address] = missed
        self._unanswered_since.setdefault(address, now)
        self._queried_at[address] = now

    def record_reply(self, address: tuple[str, int]) -> bool:
        """Records a reply; returns whether its sender had been suspected."""
        since = self._unanswered_since.pop(address, None)
        self._missed_by_address.pop(address, None)
        queried_at = self._queried_at.get(address)
        if since is None or queried_at is None:
            return False
        return queried_at - since > SUSPECT_AFTER_S

    def is_suspect(self, address: tuple[str, int], now: float) -> bool:
        """Returns whether a query is unanswered for too long.

        Args:
            address: Address of the queried process.
            now: Present time, seconds.
        """
        since = self._unanswered_since.get(address)
        return since is not None and now - since > SUSPECT_AFTER_S

    def unanswered_s(self, address: tuple[str, int], now: float) -> float:
        """Returns the age of the oldest unanswered query, seconds.

        Args:
            address: Address of the queried process.
            now: Present time, seconds.

        Returns:
            The age, 0 if all queries are answered.
        """
        return max(0.0, now - self._unanswered_since.get(address, now))

    def missed_count(self, address: tuple[str, int], now: float) -> int:
        """Returns how many consecutive queries have missed their reply.

        Queries that follow each other within ``MISSED_AFTER_S`` count as one.

        Args:
            address: Address of the queried process.
            now: Present time, seconds.
        """
        if address not in self._unanswered_since:
            return 0
        last_missed = now - self._queried_at[address] >= MISSED_AFTER_S
        return self._missed_by_address.get(address, 0) + last_missed

    def retry_due(self, address: tuple[str, int], now: float) -> bool:
        """Returns whether the last query to a process is old enough to retry.

        Args:
            address: Address of the queried process.
            now: Present time, seconds.
        """
        return now - self._queried_at.get(address, 0.0) > RETRY_INTERVAL_S

    def discard(self, address: tuple[str, int]) -> None:
        """Drops the queries of a process that is no longer a member."""
        self._unanswered_since.pop(address, None)
        self._queried_at.pop(address, None)
        self._missed_by_address.pop(address, None)

    def retain(self, addresses: collections.abc.Set[tuple[str, int]]) -> None:
        """Drops the queries of all processes except some.

        Args:
            addresses: Addresses of the processes.
        """
        for address in self._queried_at.keys() - addresses:
            self.discard(address)
