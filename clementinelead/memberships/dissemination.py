"""Queue of changed records to piggyback on gossip messages or push."""

import math

from clementinelead.memberships import members
from clementinelead.memberships import records

__all__ = ["DisseminationQueue"]

MAX_PIGGYBACKED_RECORDS = 5
"""Records on a ping or acknowledgement, so that it fits into a datagram."""

MAX_PUSHED_RECORDS = 8
"""Records in a message that carries nothing else."""

RETRANSMIT_FACTOR = 3
"""Transmissions of a record per binary logarithm of the number of members."""


class DisseminationQueue:
    """Selects the records that messages carry.

    Each record is piggybacked O(log n) times for n members, as in SWIM.
    """

    def __init__(self, table: members.MemberTable):
        """Starts empty.

        Args:
            table: All membership records.
        """
        self._table = table
        self._remaining_sends_by_id: dict[str, int] = {}
        self._unpushed_ids: dict[str, None] = {}

    @property
    def has_unpushed(self) -> bool:
        """Whether records wait to be pushed."""
        return bool(self._unpushed_ids)

    def enqueue(self, record: records.Record) -> None:
        """Queues a changed record for pushing and piggybacking.

        Args:
            record: The record, which must be in the table.
        """
        member_count = len(self._table.by_id)
        sends = RETRANSMIT_FACTOR * math.ceil(math.log2(member_count + 1))
        self._remaining_sends_by_id[record.id] = sends
        self._unpushed_ids[record.id] = None

    def clear(self) -> None:
        """Discards all queued records."""
        self._remaining_sends_by_id.clear()
        self._unpushed_ids.clear()

    def next_piggyback(self) -> tuple[records.Record, ...]:
        """Returns up to 5 records to piggyback on a message.

        Ended processes come first, then those with the most sends left.
        """
        queued = sorted(
            self._remaining_sends_by_id,
            key=lambda identifier: (
                not members.has_ended(self._table.by_id[identifier]),
                -self._remaining_sends_by_id[identifier],
            ),
        )
        chosen = queued[:MAX_PIGGYBACKED_RECORDS]
        for identifier in chosen:
            self._remaining_sends_by_id[identifier] -= 1
            if self._remaining_sends_by_id[identifier] <= 0:
                del self._remaining_sends_by_id[identifier]
        return tuple(self._table.by_id[identifier] for identifier in chosen)

    def next_push(self) -> tuple[records.Record, ...]:
        """Removes and returns up to 8 records to push, oldest first."""
        chosen = list(self._unpushed_ids)[:MAX_PUSHED_RECORDS]
        for identifier in chosen:
            del self._unpushed_ids[identifier]
        return tuple(self._table.by_id[identifier] for identifier in chosen)
