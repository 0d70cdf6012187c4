"""What peers tell of processes that are gone."""

from clementinelead.memberships import records

__all__ = ["PeerTombstones"]

MAX_TOMBSTONES = 4_096
"""Ended processes remembered, the last ones told.

Peers that have not heard yet of an end hear within seconds.
"""


class PeerTombstones:
    """Former processes that this one must reckon with.

    Attributes:
        predecessor: Last record known of the process that had this one's
            identifier before, None if peers have told of none.
        lost_side_ids: Identifiers of side processes beside a target that peers had
            declared dead before this one knew them. They may come back with
            their flows.
    """

    def __init__(self) -> None:
        self.predecessor: records.Record | None = None
        self.lost_side_ids: set[str] = set()
        self._ended_version_by_id: dict[str, tuple[int, int, int]] = {}

    def record_predecessor(
        self, record: records.Record, own: records.Record
    ) -> None:
        """Keeps the newest record of a former process of this name.

        Args:
            record: A record with the own identifier.
            own: Record of this process.
        """
        if record.incarnation == own.incarnation:
            return
        if records.supersedes(record, self.predecessor):
            self.predecessor = record

    def record_end(self, record: records.Record) -> None:
        """Keeps whether a process that is not known here may come back.

        Args:
            record: Record of a process that has ended.
        """
        if not self.is_superseded(record):
            self._ended_version_by_id.pop(record.id, None)
            self._ended_version_by_id[record.id] = record.version
        if len(self._ended_version_by_id) > MAX_TOMBSTONES:
            del self._ended_version_by_id[next(iter(self._ended_version_by_id))]
        beside_target = record.state in (
            records.State.READY,
            records.State.DRAINING,
        )
        if record.role is records.Role.SIDE and beside_target:
            self.lost_side_ids.add(record.id)

    def is_superseded(self, record: records.Record) -> bool:
        """Tells whether a record is older than what a peer told of its end.

        Args:
            record: Record of a process that is not known here.
        """
        ended = self._ended_version_by_id.get(record.id)
        return ended is not None and record.version <= ended
