"""Registrations: an owner tells other side processes where its flows are."""

import collections
import dataclasses

from clementinelead.flows import locators
from clementinelead.messages import controls
from clementinelead.packets import headers

__all__ = ["Batch", "Registrar", "Release", "Renewal"]

RENEWAL_INTERVAL_S = 30.0
INITIAL_RETRY_INTERVAL_S = 0.2
MAX_SENDS_PER_BATCH = 6
MAX_BATCH_ENTRIES = 40  # keeps the datagram below 1,400 bytes


@dataclasses.dataclass(frozen=True)
class Batch:
    """Registrations for one holder, sent until acknowledged."""

    holder: str
    number: int
    service: str
    entries: tuple[controls.Registration, ...]


@dataclasses.dataclass(frozen=True)
class Release:
    """Flows that have ended, for one holder; a lost one is repaired later."""

    holder: str
    keys: tuple[headers.FlowKey, ...]


@dataclasses.dataclass(frozen=True)
class Renewal:
    """Number and checksum of all entries that one holder should have."""

    holder: str
    count: int
    checksum: int


Message = Batch | Release | Renewal


@dataclasses.dataclass(slots=True)
class _Outstanding:
    batch: Batch
    sent: float
    attempts: int


class Registrar:
    """Keeps the holders of each owned flow informed.

    A flow's holders are its first two candidates other than the owner: the
    first sends on what balancers hand it, the second takes over when the
    first is gone, since it then ranks first.
    """

    def __init__(self) -> None:
        self._holders_by_key: dict[headers.FlowKey, tuple[str, ...]] = {}
        self._total_by_holder: dict[str, list[int]] = {}
        self._queue_by_target: dict[
            tuple[str, str], list[controls.Registration]
        ] = collections.defaultdict(list)
        self._released_by_holder: dict[str, list[headers.FlowKey]] = (
            collections.defaultdict(list)
        )
        self._outstanding_by_number: dict[int, _Outstanding] = {}
        self._renew_at_by_holder: dict[str, float] = {}
        self._number = 0

    def holders(self, key: headers.FlowKey) -> tuple[str, ...]:
        """Returns the holders that a flow is registered with."""
        return self._holders_by_key.get(key, ())

    @property
    def unacknowledged_count(self) -> int:
        """Number of registrations that are queued or not acknowledged."""
        queued = sum(len(entries) for entries in self._queue_by_target.values())
        outstanding = self._outstanding_by_number.values()
        return queued + sum(len(item.batch.entries) for item in outstanding)

    @property
    def has_queued(self) -> bool:
        """Whether anything waits to be sent for the first time."""
        return bool(self._queue_by_target or self._released_by_holder)

    def register(
        self,
        key: headers.FlowKey,
        service: str,
        incarnation: int,
        holders: tuple[str, ...],
    ) -> None:
        """Queues the registration of a flow with its present holders."""
        old = self._holders_by_key.get(key, ())
        for holder in old:
            if holder not in holders:
                self._drop(holder, key)
        for holder in holders:
            if holder not in old:
                self._count(holder, key, 1)
                entry = controls.Registration(key, incarnation)
                self._queue_by_target[holder, service].append(entry)
        self._holders_by_key[key] = holders

    def mark_closing(
        self, key: headers.FlowKey, service: str, incarnation: int
    ) -> None:
        """Queues the news that a flow's caller has ended its side."""
        entry = controls.Registration(key, incarnation, True)
        for holder in self._holders_by_key.get(key, ()):
            self._queue_by_target[holder, service].append(entry)

    def release(self, key: headers.FlowKey) -> None:
        """Queues the release of a flow that has ended."""
        for holder in self._holders_by_key.pop(key, ()):
            self._drop(holder, key)

    def release_unowned(self, holder: str, key: headers.FlowKey) -> None:
        """Queues the release of a flow that a holder wrongly has as ours."""
        self._released_by_holder[holder].append(key)

    def on_acknowledged(self, number: int) -> None:
        """Notes that a holder has taken a batch."""
        self._outstanding_by_number.pop(number, None)

    def resend_all(
        self,
        holder: str,
        entry_by_key: dict[headers.FlowKey, tuple[str, controls.Registration]],
    ) -> None:
        """Queues all entries of a holder again.

        Args:
            holder: Holder that lacks some, or has too many.
            entry_by_key: Service and registration of each owned flow.
        """
        for key, holders in self._holders_by_key.items():
            if holder in holders and key in entry_by_key:
                service, entry = entry_by_key[key]
                self._queue_by_target[holder, service].append(entry)

    def due_messages(self, now: float) -> list[Message]:
        """Returns the messages to send now.

        Args:
            now: Present time, seconds.
        """
        messages: list[Message] = []
        messages.extend(self._releases())
        messages.extend(self._retries(now))
        messages.extend(self._batches(now))
        messages.extend(self._renewals(now))
        return messages

    def _count(self, holder: str, key: headers.FlowKey, change: int) -> None:
        total = self._total_by_holder.setdefault(holder, [0, 0])
        total[0] += change
        total[1] ^= locators.key_hash(key)
        assert total[0] >= 0, "released more registrations than were made"

    def _drop(self, holder: str, key: headers.FlowKey) -> None:
        self._count(holder, key, -1)
        self._released_by_holder[holder].append(key)

    def _releases(self) -> list[Message]:
        messages: list[Message] = []
        for holder, keys in self._released_by_holder.items():
            for start in range(0, len(keys), MAX_BATCH_ENTRIES):
                part = tuple(keys[start : start + MAX_BATCH_ENTRIES])
                messages.append(Release(holder, part))
        self._released_by_holder.clear()
        return messages

    def _retries(self, now: float) -> list[Message]:
        messages: list[Message] = []
        for number, item in list(self._outstanding_by_number.items()):
            wait = INITIAL_RETRY_INTERVAL_S * 2 ** (item.attempts - 1)
            if now - item.sent < wait:
                continue
            if item.attempts >= MAX_SENDS_PER_BATCH:
                del self._outstanding_by_number[number]
                continue
            item.sent = now
            item.attempts += 1
            messages.append(self._current(item.batch))
        return messages

    def _current(self, batch: Batch) -> Batch:
        """Returns a batch less the flows that ended since it was sent."""
        entries = tuple(
            entry
            for entry in batch.entries
            if batch.holder in self._holders_by_key.get(entry.key, ())
        )
        return dataclasses.replace(batch, entries=entries)

    def _batches(self, now: float) -> list[Message]:
        messages: list[Message] = []
        for (holder, service), queued in self._queue_by_target.items():
            entries = [
                entry
                for entry in queued
                if holder in self._holders_by_key.get(entry.key, ())
            ]
            for start in range(0, len(entries), MAX_BATCH_ENTRIES):
                self._number += 1
                part = tuple(entries[start : start + MAX_BATCH_ENTRIES])
                batch = Batch(holder, self._number, service, part)
                self._outstanding_by_number[self._number] = _Outstanding(
                    batch, now, 1
                )
                messages.append(batch)
        self._queue_by_target.clear()
        return messages

    def _renewals(self, now: float) -> list[Message]:
        messages: list[Message] = []
        outstanding = self._outstanding_by_number.values()
        unsettled = {item.batch.holder for item in outstanding}
        for holder, (count, total) in list(self._total_by_holder.items()):
            due = self._renew_at_by_holder.setdefault(
                holder, now + RENEWAL_INTERVAL_S
            )
            if now < due or holder in unsettled:
                continue
            self._renew_at_by_holder[holder] = now + RENEWAL_INTERVAL_S
            messages.append(Renewal(holder, count, total))
            if count == 0:
                del self._total_by_holder[holder]
                del self._renew_at_by_holder[holder]
        return messages
