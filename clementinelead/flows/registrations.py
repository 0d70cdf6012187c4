"""Registers the flows of an owner with other side processes, the holders.

Registrations are sent in batches, retransmitted until acknowledged, and
verified by periodic renewals that carry a count and a checksum.
"""

import collections
import dataclasses

from clementinelead.flows import locators
from clementinelead.messages import controls
from clementinelead.packets import headers

__all__ = ["Batch", "Registrar", "Release", "Renewal"]

RENEWAL_INTERVAL_S = 30.0
INITIAL_RETRY_INTERVAL_S = 0.2  # doubles with each retransmission
MAX_SENDS_PER_BATCH = 6
MAX_BATCH_ENTRIES = 40  # keeps the datagram below 1,400 bytes


@dataclasses.dataclass(frozen=True)
class Batch:
    """Registrations for one holder, retransmitted until acknowledged.

    Attributes:
        holder: Identifier of the side process that stores them.
        number: Sequence number, named in the acknowledgement.
        service: Name of the service of all flows.
        entries: The registrations.
    """

    holder: str
    number: int
    service: str
    entries: tuple[controls.Registration, ...]


@dataclasses.dataclass(frozen=True)
class Release:
    """Flows that one holder should remove.

    It is neither acknowledged nor retransmitted. If it is lost, the checksum
    of the next renewal differs and the holder requests all entries again.

    Attributes:
        holder: Identifier of the side process that stores the registrations.
        keys: Keys of the flows.
    """

    holder: str
    keys: tuple[headers.FlowKey, ...]


@dataclasses.dataclass(frozen=True)
class Renewal:
    """Renewal of all registrations that one holder should have.

    Attributes:
        holder: Identifier of the side process that stores the registrations.
        count: Number of entries.
        checksum: XOR of ``locators.key_hash`` over the keys.
    """

    holder: str
    count: int
    checksum: int


Message = Batch | Release | Renewal


@dataclasses.dataclass(slots=True)
class _UnacknowledgedBatch:
    batch: Batch
    last_sent_at: float
    send_count: int


class Registrar:
    """Keeps the registrations of the owned flows up to date at their holders.

    A flow's holders are its first two candidates other than the owner. The
    first one forwards the packets that balancers send to it. The second one
    does so when the first one has left, because it then ranks first.
    """

    def __init__(self) -> None:
        self._holders_by_key: dict[headers.FlowKey, tuple[str, ...]] = {}
        self._totals_by_holder: dict[str, list[int]] = {}
        self._queue_by_destination: dict[
            tuple[str, str], list[controls.Registration]
        ] = collections.defaultdict(list)
        self._released_by_holder: dict[str, list[headers.FlowKey]] = (
            collections.defaultdict(list)
        )
        self._unacknowledged_by_number: dict[int, _UnacknowledgedBatch] = {}
        self._next_renewal_by_holder: dict[str, float] = {}
        self._last_number = 0

    def holders(self, key: headers.FlowKey) -> tuple[str, ...]:
        """Returns the identifiers of a flow's holders; empty if it has none."""
        return self._holders_by_key.get(key, ())

    @property
    def unacknowledged_count(self) -> int:
        """Number of registrations that are queued or not acknowledged."""
        queued = sum(
            len(entries) for entries in self._queue_by_destination.values()
        )
        sent = sum(
            len(unacknowledged.batch.entries)
            for unacknowledged in self._unacknowledged_by_number.values()
        )
        return queued + sent

    @property
    def has_queued(self) -> bool:
        """Whether registrations or releases wait for their first sending."""
        return bool(self._queue_by_destination or self._released_by_holder)

    def register(
        self,
        key: headers.FlowKey,
        service: str,
        incarnation: int,
        holders: tuple[str, ...],
    ) -> None:
        """Queues the registration of a flow with its current holders.

        Holders that have the registration already get no message; those that
        are no longer holders get a release.

        Args:
            key: Key of the flow.
            service: Name of its service.
            incarnation: Its incarnation.
            holders: Identifiers of its current holders.
        """
        previous_holders = self._holders_by_key.get(key, ())
        for holder in previous_holders:
            if holder not in holders:
                self._release_from_holder(holder, key)
        for holder in holders:
            if holder not in previous_holders:
                self._update_totals(holder, key, 1)
                entry = controls.Registration(key, incarnation)
                self._queue_by_destination[holder, service].append(entry)
        self._holders_by_key[key] = holders

    def mark_closing(
        self, key: headers.FlowKey, service: str, incarnation: int
    ) -> None:
        """Queues the registration of a flow as closing.

        Args:
            key: Key of the flow, whose caller has sent FIN.
            service: Name of its service.
            incarnation: Its incarnation.
        """
        entry = controls.Registration(key, incarnation, True)
        for holder in self._holders_by_key.get(key, ()):
            self._queue_by_destination[holder, service].append(entry)

    def release(self, key: headers.FlowKey) -> None:
        """Queues the release of a flow that has ended, at all its holders."""
        for holder in self._holders_by_key.pop(key, ()):
            self._release_from_holder(holder, key)

    def release_unowned(self, holder: str, key: headers.FlowKey) -> None:
        """Queues the release of a flow that is not owned here.

        Args:
            holder: Holder that may have an outdated registration.
            key: Key of the flow.
        """
        self._released_by_holder[holder].append(key)

    def on_acknowledged(self, number: int) -> None:
        """Ends the retransmission of a batch.

        Args:
            number: Sequence number of the batch; unknown ones are ignored.
        """
        self._unacknowledged_by_number.pop(number, None)

    def resend_all(
        self,
        holder: str,
        entry_by_key: dict[headers.FlowKey, tuple[str, controls.Registration]],
    ) -> None:
        """Queues all registrations of a holder for sending again.

        Args:
            holder: Holder whose entries differ from those sent to it.
            entry_by_key: Service and registration of each owned flow.
        """
        for key, holders in self._holders_by_key.items():
            if holder in holders and key in entry_by_key:
                service, entry = entry_by_key[key]
                self._queue_by_destination[holder, service].append(entry)

    def due_messages(self, now: float) -> list[Message]:
        """Returns the messages to send now and records them as sent.

        Args:
            now: Present time, seconds.
        """
        messages: list[Message] = []
        messages.extend(self._release_messages())
        messages.extend(self._retransmissions(now))
        messages.extend(self._new_batches(now))
        messages.extend(self._due_renewals(now))
        return messages

    def _update_totals(
        self, holder: str, key: headers.FlowKey, change: int
    ) -> None:
        totals = self._totals_by_holder.setdefault(holder, [0, 0])
        totals[0] += change
        totals[1] ^= locators.key_hash(key)
        assert totals[0] >= 0, "released more registrations than were counted"

    def _release_from_holder(self, holder: str, key: headers.FlowKey) -> None:
        self._update_totals(holder, key, -1)
        self._released_by_holder[holder].append(key)

    def _release_messages(self) -> list[Message]:
        messages: list[Message] = []
        for holder, keys in self._released_by_holder.items():
            for start in range(0, len(keys), MAX_BATCH_ENTRIES):
                chunk = tuple(keys[start : start + MAX_BATCH_ENTRIES])
                messages.append(Release(holder, chunk))
        self._released_by_holder.clear()
        return messages

    def _retransmissions(self, now: float) -> list[Message]:
        messages: list[Message] = []
        for number, pending in list(self._unacknowledged_by_number.items()):
            interval_s = INITIAL_RETRY_INTERVAL_S * 2 ** (
                pending.send_count - 1
            )
            if now - pending.last_sent_at < interval_s:
                continue
            if pending.send_count >= MAX_SENDS_PER_BATCH:
                del self._unacknowledged_by_number[number]
                continue
            pending.last_sent_at = now
            pending.send_count += 1
            messages.append(self._without_released(pending.batch))
        return messages

    def _without_released(self, batch: Batch) -> Batch:
        """Returns a batch without the flows released since it was sent."""
        entries = tuple(
            entry
            for entry in batch.entries
            if batch.holder in self._holders_by_key.get(entry.key, ())
        )
        return dataclasses.replace(batch, entries=entries)

    def _new_batches(self, now: float) -> list[Message]:
        messages: list[Message] = []
        for (holder, service), queued in self._queue_by_destination.items():
            entries = [
                entry
                for entry in queued
                if holder in self._holders_by_key.get(entry.key, ())
            ]
            for start in range(0, len(entries), MAX_BATCH_ENTRIES):
                self._last_number += 1
                chunk = tuple(entries[start : start + MAX_BATCH_ENTRIES])
                batch = Batch(holder, self._last_number, service, chunk)
                self._unacknowledged_by_number[self._last_number] = (
                    _UnacknowledgedBatch(batch, now, 1)
                )
                messages.append(batch)
        self._queue_by_destination.clear()
        return messages

    def _due_renewals(self, now: float) -> list[Message]:
        messages: list[Message] = []
        unacknowledged_holders = {
            pending.batch.holder
            for pending in self._unacknowledged_by_number.values()
        }
        for holder, (count, checksum) in list(self._totals_by_holder.items()):
            next_renewal = self._next_renewal_by_holder.setdefault(
                holder, now + RENEWAL_INTERVAL_S
            )
            if now < next_renewal or holder in unacknowledged_holders:
                continue
            self._next_renewal_by_holder[holder] = now + RENEWAL_INTERVAL_S
            messages.append(Renewal(holder, count, checksum))
            if count == 0:
                del self._totals_by_holder[holder]
                del self._next_renewal_by_holder[holder]
        return messages
