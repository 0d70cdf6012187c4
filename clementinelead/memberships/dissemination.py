"""Changed records that ride on gossip messages until all have heard them."""

import math

from clementinelead.memberships import members
from clementinelead.memberships import records

__all__ = ["DisseminationQueue"]

MAX_PIGGYBACKED_RECORDS = 5
"""Records on a probe or acknowledgement, so that it fits into a datagram."""

MAX_PUSHED_RECORDS = 8
"""Records on a message that carries nothing else."""

RETRANSMIT_FACTOR = 3
"""How often a record is sent, times the logarithm of the fleet's size."""


class DisseminationQueue:
    """Chooses which records a message carries."""

    def __init__(self, table: members.MemberTable):
        """Begins with nothing to tell.

        Args:
            table: All records known.
        """
        self._table = table
        self._remaining_by_id: dict[str, int] = {}
        self._urgent: dict[str, None] = {}

    @property
    def has_unpushed(self) -> bool:
        """Whether there are records that have not been pushed yet."""
        return bool(self._urgent)

    def enqueue(self, record: records.Record) -> None:
        """Takes up a record that has changed."""
        known = len(self._table.by_id)
        times = RETRANSMIT_FACTOR * math.ceil(math.log2(known + 1))
        self._remaining_by_id[record.id] = times
        self._urgent[record.id] = None

    def clear(self) -> None:
        """Drops all, as if the others knew it."""
        self._remaining_by_id.clear()
        self._urgent.clear()

    def next_piggyback(self) -> tuple[records.Record, ...]:
        """Returns the records to ride on a message, most urgent first."""
        waiting = sorted(
            self._remaining_by_id,
            key=lambda identifier: (
                not members.has_ended(self._table.by_id[identifier]),
                -self._remaining_by_id[identifier],
            ),
        )
        chosen = waiting[:MAX_PIGGYBACKED_RECORDS]
        for identifier in chosen:
            self._remaining_by_id[identifier] -= 1
            if self._remaining_by_id[identifier] <= 0:
                del self._remaining_by_id[identifier]
        return tuple(self._table.by_id[identifier] for identifier in chosen)

    def next_push(self) -> tuple[records.Record, ...]:
        """Returns the records to push now; they are urgent no more."""
        chosen = list(self._urgent)[:MAX_PUSHED_RECORDS]
        for identifier in chosen:
            del self._urgent[identifier]
        return tuple(self._table.by_id[identifier] for identifier in chosen)
