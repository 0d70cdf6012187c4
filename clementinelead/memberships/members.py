"""The membership records that a process knows."""

import collections
import collections.abc

import msgspec
import xxhash

from clementinelead.memberships import records

__all__ = [
    "DIGEST_BUCKETS",
    "Change",
    "MemberTable",
    "SideProcessCounts",
    "count_side_processes",
    "digest_bucket",
    "has_ended",
]

DIGEST_BUCKETS = 256
TOMBSTONE_LIFETIME_S = 7_200.0

RETURN_WINDOW_S = 20.0
"""Time in which a process that was declared dead may come back, seconds.

Cuts, freezes and restarts last a few seconds.
"""


def digest_bucket(identifier: str) -> int:
    """Returns the digest bucket of a process."""
    return int(xxhash.xxh3_64_intdigest(identifier.encode())) % DIGEST_BUCKETS


def _mixed(bucket: int, value: int) -> int:
    if not value:
        return 0
    return int(xxhash.xxh3_64_intdigest(value.to_bytes(8, "big"), seed=bucket))


class Change(msgspec.Struct, frozen=True):
    """A record that replaced another one."""

    old: records.Record | None
    new: records.Record


class MemberTable:
    """Records by identifier, with digests for comparison with a peer's.

    Attributes:
        by_id: All records, those of the dead and gone too for a while, so
            that an old record can't bring them back.
        digests: Digest of the living processes' records of each bucket.
        digest: Digest of all living processes' records.
        generation: Raised with each change.
        predecessor_by_id: Last records of the former processes of those that
            have restarted lately.
    """

    def __init__(self) -> None:
        self.by_id: dict[str, records.Record] = {}
        self.digests = [0] * DIGEST_BUCKETS
        self.digest = 0
        self.generation = 0
        self.predecessor_by_id: dict[str, records.Record] = {}
        self._ended_by_id: dict[str, float] = {}
        self._restarted_by_id: dict[str, float] = {}
        self._sides: collections.Counter[
            tuple[records.State, records.Health]
        ] = collections.Counter()

    def merge(self, record: records.Record, now: float) -> Change | None:
        """Takes over a record if it is newer than the one known.

        Args:
            record: The record.
            now: Present time, seconds.

        Returns:
            What changed, or None if the record is old.
        """
        old = self.by_id.get(record.id)
        if not records.supersedes(record, old):
            return None
        if old is not None:
            self._toggle(old)
            self._count(old, -1)
            if old.incarnation != record.incarnation:
                self.predecessor_by_id[record.id] = old
                self._restarted_by_id[record.id] = now
        self._toggle(record)
        self._count(record, 1)
        self.by_id[record.id] = record
        if has_ended(record):
            self._ended_by_id[record.id] = now
        else:
            self._ended_by_id.pop(record.id, None)
        return Change(old, record)

    def expire(self, now: float) -> None:
        """Removes the records of processes that ended long ago."""
        for identifier, since in list(self._restarted_by_id.items()):
            if now - since >= RETURN_WINDOW_S:
                del self._restarted_by_id[identifier]
                del self.predecessor_by_id[identifier]
        for identifier, since in list(self._ended_by_id.items()):
            if now - since < TOMBSTONE_LIFETIME_S:
                continue
            record = self.by_id.pop(identifier)
            self._toggle(record)
            self._count(record, -1)
            del self._ended_by_id[identifier]

    def _toggle(self, record: records.Record) -> None:
        """Adds a record to the digests, or takes it out again.

        Those of processes that have ended are left out: who joins later does
        not keep them, and is to have the same view nevertheless.
        """
        self.generation += 1
        if has_ended(record):
            return
        bucket = digest_bucket(record.id)
        self.digest ^= _mixed(bucket, self.digests[bucket])
        self.digests[bucket] ^= record.digest
        self.digest ^= _mixed(bucket, self.digests[bucket])

    def _count(self, record: records.Record, change: int) -> None:
        """Keeps the number of side processes by state and health."""
        if record.role is records.Role.SIDE:
            self._sides[record.state, record.health] += change

    def side_process_counts(
        self,
    ) -> collections.abc.Iterable[tuple[records.State, records.Health, int]]:
        """Returns how many side processes have which state and health."""
        return (
            (state, health, number)
            for (state, health), number in self._sides.items()
        )

    def living(self) -> collections.abc.Iterator[records.Record]:
        """Returns the records of processes that are not dead or leaving."""
        return (
            record for record in self.by_id.values() if not has_ended(record)
        )

    def recently_dead_ids(self, now: float, within: float) -> frozenset[str]:
        """Returns who was declared dead within the last seconds."""
        return frozenset(
            identifier
            for identifier, since in self._ended_by_id.items()
            if now - since < within
            and self.by_id[identifier].health is records.Health.DEAD
        )

    def dead_records(self) -> list[records.Record]:
        """Returns the records of those declared dead."""
        ended_records = (self.by_id[name] for name in self._ended_by_id)
        return [
            record
            for record in ended_records
            if record.health is records.Health.DEAD
        ]

    def records_in_buckets(self, buckets: set[int]) -> list[records.Record]:
        """Returns the records of some digest buckets."""
        return [
            record
            for record in self.by_id.values()
            if digest_bucket(record.id) in buckets
        ]


class SideProcessCounts(msgspec.Struct, frozen=True):
    """How many side processes are known.

    One that is leaving has no flows any more and counts nowhere.

    Attributes:
        serving: Those that live, beside a target that has announced itself.
        missing: Those that died beside a target that had announced itself.
        expected: Those that would serve if all of them were back.
    """

    serving: int
    missing: int
    expected: int


def count_side_processes(table: MemberTable, now: float) -> SideProcessCounts:
    """Counts the side processes.

    Args:
        table: Records of all roles.
        now: Present time, seconds.
    """
    serving = missing = expected = 0
    for state, health, number in table.side_process_counts():
        if state is records.State.LEAVING:
            continue
        settled = number if state is not records.State.COLD else 0
        if health is records.Health.DEAD:
            missing += settled
        else:
            serving += settled
            expected += number
    for identifier in table.recently_dead_ids(now, RETURN_WINDOW_S):
        record = table.by_id[identifier]
        is_side = record.role is records.Role.SIDE
        expected += is_side and record.state is not records.State.LEAVING
    return SideProcessCounts(serving, missing, expected)


def has_ended(record: records.Record) -> bool:
    """Tells whether a process is dead or leaving."""
    if record.health is records.Health.DEAD:
        return True
    return record.state is records.State.LEAVING
