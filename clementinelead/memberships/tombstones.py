"""Records of ended processes that peers return in a state sync."""

from clementinelead.memberships import records

__all__ = ["PeerTombstones"]

MAX_TOMBSTONES = 4_096
"""Ended processes kept; the one received earliest is evicted.

A tombstone is only needed until all peers have received the end, which takes
seconds.
"""


class PeerTombstones:
    """Tombstones of processes that were never in this process's table.

    Attributes:
        predecessor: Newest record of an earlier process with this one's
            identifier, None if peers have returned none.
        lost_side_ids: Identifiers of ready or draining side processes that
            were declared dead before this process received a live record of
            them. They may return with their flows.
    """

    def __init__(self) -> None:
        """Starts without tombstones."""
        self.predecessor: records.Record | None = None
        self.lost_side_ids: set[str] = set()
        self._version_by_id: dict[str, tuple[int, int, int]] = {}

    def record_predecessor(
        self, record: records.Record, own: records.Record
    ) -> None:
        """Keeps the newest record of an earlier process with this identifier.

        Args:
            record: A record with this process's identifier. One with this
                process's incarnation is ignored.
            own: Record of this process.
        """
        if record.incarnation == own.incarnation:
            return
        if records.supersedes(record, self.predecessor):
            self.predecessor = record

    def record_end(self, record: records.Record) -> None:
        """Stores the tombstone of a process that is not in the table.

        Args:
            record: Record of a process that is dead or leaving.
        """
        if self.is_superseded(record):
            return
        self._version_by_id.pop(record.id, None)
        self._version_by_id[record.id] = record.version
        self.lost_side_ids.discard(record.id)
        was_in_use = record.state in (
            records.State.READY,
            records.State.DRAINING,
        )
        if record.role is records.Role.SIDE and was_in_use:
            self.lost_side_ids.add(record.id)
        if len(self._version_by_id) > MAX_TOMBSTONES:
            oldest = next(iter(self._version_by_id))
            del self._version_by_id[oldest]
            self.lost_side_ids.discard(oldest)

    def is_superseded(self, record: records.Record) -> bool:
        """Returns whether a record is not newer than its process's tombstone.

        Args:
            record: Record of a process that is not in the table.
        """
        ended_version = self._version_by_id.get(record.id)
        return ended_version is not None and record.version <= ended_version
