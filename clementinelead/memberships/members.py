"""The membership table of a process, with digests for anti-entropy."""

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
"""Time after which the record of an ended process is removed, seconds."""

RETURN_WINDOW_S = 20.0
"""Time in which a process that was declared dead may return, seconds.

Network partitions, pauses and restarts usually last a few seconds.
"""


def digest_bucket(identifier: str) -> int:
    """Returns the digest bucket of a process, from 0 to 255.

    Args:
        identifier: Identifier of the process.
    """
    return int(xxhash.xxh3_64_intdigest(identifier.encode())) % DIGEST_BUCKETS


def _bucket_hash(bucket: int, value: int) -> int:
    """Hashes a bucket's digest with its index; an empty bucket gives 0."""
    if not value:
        return 0
    return int(xxhash.xxh3_64_intdigest(value.to_bytes(8, "big"), seed=bucket))


class Change(msgspec.Struct, frozen=True):
    """A change of the membership table.

    Attributes:
        old: Record replaced, None if the process was not in the table.
        new: Record stored.
    """

    old: records.Record | None
    new: records.Record


class MemberTable:
    """Newest record of each process, with digests for anti-entropy.

    Attributes:
        by_id: Record of each process. Those of dead and leaving processes
            remain for two hours as tombstones, so that an older live record
            can't resurrect them.
        digests: Digest of the living processes' records of each bucket.
        digest: Digest of all living processes' records.
        generation: Number that rises with each change.
        predecessor_by_id: Last record of the previous incarnation of each
            process that restarted in the last 20 seconds.
    """

    def __init__(self) -> None:
        """Starts without records."""
        self.by_id: dict[str, records.Record] = {}
        self.digests = [0] * DIGEST_BUCKETS
        self.digest = 0
        self.generation = 0
        self.predecessor_by_id: dict[str, records.Record] = {}
        self._ended_at_by_id: dict[str, float] = {}
        self._restarted_at_by_id: dict[str, float] = {}
        self._count_by_state_and_health: collections.Counter[
            tuple[records.State, records.Health]
        ] = collections.Counter()

    def merge(self, record: records.Record, now: float) -> Change | None:
        """Stores a record if it is newer than the stored one.

        Args:
            record: The record.
            now: Present time, seconds.

        Returns:
            The change, None if the record is not newer.
        """
        old = self.by_id.get(record.id)
        if not records.supersedes(record, old):
            return None
        if old is not None:
            self._toggle_digest(old)
            self._count_side_process(old, -1)
            if old.incarnation != record.incarnation:
                self.predecessor_by_id[record.id] = old
                self._restarted_at_by_id[record.id] = now
        self._toggle_digest(record)
        self._count_side_process(record, 1)
        self.by_id[record.id] = record
        if has_ended(record):
            self._ended_at_by_id[record.id] = now
        else:
            self._ended_at_by_id.pop(record.id, None)
        return Change(old, record)

    def expire(self, now: float) -> None:
        """Removes expired tombstones and predecessors' records.

        Args:
            now: Present time, seconds.
        """
        for identifier, restarted_at in list(self._restarted_at_by_id.items()):
            if now - restarted_at >= RETURN_WINDOW_S:
                del self._restarted_at_by_id[identifier]
                del self.predecessor_by_id[identifier]
        for identifier, ended_at in list(self._ended_at_by_id.items()):
            if now - ended_at < TOMBSTONE_LIFETIME_S:
                continue
            record = self.by_id.pop(identifier)
            self._toggle_digest(record)
            self._count_side_process(record, -1)
            del self._ended_at_by_id[identifier]

    def _toggle_digest(self, record: records.Record) -> None:
        """Adds a record to the digests, or removes it again.

        Tombstones are excluded: a process that joins later does not store
        them, and its digests must still equal those of older processes.
        """
        self.generation += 1
        if has_ended(record):
            return
        bucket = digest_bucket(record.id)
        self.digest ^= _bucket_hash(bucket, self.digests[bucket])
        self.digests[bucket] ^= record.digest
        self.digest ^= _bucket_hash(bucket, self.digests[bucket])

    def _count_side_process(self, record: records.Record, change: int) -> None:
        """Updates the number of side processes by state and health."""
        if record.role is records.Role.SIDE:
            key = record.state, record.health
            self._count_by_state_and_health[key] += change

    def side_process_counts(
        self,
    ) -> collections.abc.Iterable[tuple[records.State, records.Health, int]]:
        """Returns the number of side processes by state and health."""
        return (
            (*key, count)
            for key, count in self._count_by_state_and_health.items()
        )

    def living(self) -> collections.abc.Iterator[records.Record]:
        """Returns the records of processes that are not dead or leaving."""
        return (
            record for record in self.by_id.values() if not has_ended(record)
        )

    def recently_dead_ids(self, now: float, within_s: float) -> frozenset[str]:
        """Returns the identifiers of processes declared dead recently.

        Args:
            now: Present time, seconds.
            within_s: Time since the declaration, seconds.
        """
        return frozenset(
            identifier
            for identifier, ended_at in self._ended_at_by_id.items()
            if now - ended_at < within_s
            and self.by_id[identifier].health is records.Health.DEAD
        )

    def dead_records(self) -> list[records.Record]:
        """Returns the records of processes that were declared dead."""
        ended_records = (self.by_id[name] for name in self._ended_at_by_id)
        return [
            record
            for record in ended_records
            if record.health is records.Health.DEAD
        ]

    def records_in_buckets(self, buckets: set[int]) -> list[records.Record]:
        """Returns the records of some digest buckets, with tombstones.

        Args:
            buckets: Indices from 0 to 255.
        """
        return [
            record
            for record in self.by_id.values()
            if digest_bucket(record.id) in buckets
        ]


class SideProcessCounts(msgspec.Struct, frozen=True):
    """Numbers of side processes in the membership table.

    Leaving ones have no flows any more and are not counted.

    Attributes:
        serving: Living ones whose target has announced itself.
        missing: Dead ones whose target had announced itself.
        expected: Living ones, cold ones included, and those declared dead in
            the last 20 seconds, which may return.
    """

    serving: int
    missing: int
    expected: int


def count_side_processes(table: MemberTable, now: float) -> SideProcessCounts:
    """Counts the side processes that serve, are missing and are expected.

    Args:
        table: Records of all roles.
        now: Present time, seconds.
    """
    serving = missing = expected = 0
    for state, health, count in table.side_process_counts():
        if state is records.State.LEAVING:
            continue
        announced = count if state is not records.State.COLD else 0
        if health is records.Health.DEAD:
            missing += announced
        else:
            serving += announced
            expected += count
    for identifier in table.recently_dead_ids(now, RETURN_WINDOW_S):
        record = table.by_id[identifier]
        is_side = record.role is records.Role.SIDE
        expected += is_side and record.state is not records.State.LEAVING
    return SideProcessCounts(serving, missing, expected)


def has_ended(record: records.Record) -> bool:
    """Returns whether a process is dead or leaving."""
    if record.health is records.Health.DEAD:
        return True
    return record.state is records.State.LEAVING
