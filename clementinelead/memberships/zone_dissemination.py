"""Dissemination of records to all balancers through two relays per zone.

Gossip alone takes seconds if many processes start at once. A process therefore
sends its record directly to a few balancers of each availability zone, selected
by rendezvous hashing, and these relay it to the other balancers of their zone.
The messages sent by one process grow with the number of zones, not with the
number of processes.
"""

import collections.abc
import heapq

import xxhash

from clementinelead.memberships import dissemination
from clementinelead.memberships import members
from clementinelead.memberships import outgoing
from clementinelead.memberships import records
from clementinelead.messages import controls

__all__ = ["RELAYS_PER_ZONE", "ZoneDissemination", "select_relays"]

RELAYS_PER_ZONE = 2
"""Balancers of each zone that relay the records of a process."""

RECENTLY_RELAYED_S = 5.0
"""Time in which relayed records are also sent to new balancers, seconds.

The state sync of a joining balancer may lack records that changed since.
"""


def _rank(origin: str, balancer: records.Record) -> int:
    """Returns the rendezvous hash of a balancer; the least ones relay."""
    return int(xxhash.xxh3_64_intdigest(f"{origin} {balancer.id}".encode()))


def select_relays(
    origin: str, balancers: collections.abc.Iterable[records.Record]
) -> list[records.Record]:
    """Returns the balancers that relay the records of a process.

    Args:
        origin: Identifier of the process.
        balancers: Living balancers of all zones.

    Returns:
        Records of up to two balancers of each zone.
    """
    balancers_by_zone: dict[str, list[records.Record]] = {}
    for balancer in balancers:
        balancers_by_zone.setdefault(balancer.zone, []).append(balancer)
    return [
        relay
        for in_zone in balancers_by_zone.values()
        for relay in heapq.nsmallest(
            RELAYS_PER_ZONE,
            in_zone,
            key=lambda balancer: _rank(origin, balancer),
        )
    ]


class ZoneDissemination:
    """Decides which records to send to which balancers.

    Balancers relay the records of other processes; side processes only send
    their own.
    """

    def __init__(
        self,
        own: records.Record,
        table: members.MemberTable,
        peers: collections.abc.Callable[[], list[records.Record]],
    ):
        """Starts without pending records.

        Args:
            own: Record of this process.
            table: All membership records.
            peers: Returns the other living processes, the same list object
                until they change.
        """
        self._own_id = own.id
        self._zone = own.zone
        self._is_balancer = own.role is records.Role.BALANCER
        self._table = table
        self._peers = peers
        self._last_peers: list[records.Record] = []
        self._balancers: list[records.Record] = []
        self._zone_balancers: list[records.Record] = []
        self._pending_ids: dict[str, None] = {}
        self._relayed_at_by_id: dict[str, float] = {}

    @property
    def has_pending(self) -> bool:
        """Whether records wait to be relayed by ``flush``."""
        return bool(self._pending_ids)

    def announce(self, own: records.Record) -> list[outgoing.Message]:
        """Returns messages that send this process's record to its relays.

        Args:
            own: Record of this process, which has changed.
        """
        self._refresh()
        return [
            _message(relay, (own,))
            for relay in select_relays(own.id, self._balancers)
        ]

    def on_changes(
        self,
        changes: collections.abc.Iterable[members.Change],
        own: records.Record | None,
        now: float,
    ) -> list[outgoing.Message]:
        """Queues the changed records that this balancer relays.

        Args:
            changes: Changes of the membership table.
            own: Record of this process, None if it is not announced yet.
            now: Present time, seconds.

        Returns:
            Messages to new balancers: this process's record to those that are
            its relays, and records relayed recently to those of its zone.
        """
        self._refresh()
        sent: list[outgoing.Message] = []
        for change in changes:
            record = change.new
            if record.id == self._own_id:
                continue
            if self._is_balancer and self._is_relay(record.id):
                self._pending_ids[record.id] = None
            if _is_new_balancer(change):
                sent.extend(self._catch_up(record, own, now))
        return sent

    def _catch_up(
        self, balancer: records.Record, own: records.Record | None, now: float
    ) -> list[outgoing.Message]:
        """Returns the messages for a balancer that is new or restarted."""
        sent: list[outgoing.Message] = []
        if own is not None and balancer.id in {
            relay.id for relay in select_relays(own.id, self._balancers)
        }:
            sent.append(_message(balancer, (own,)))
        if self._is_balancer and balancer.zone == self._zone:
            recent = [
                identifier
                for identifier, relayed_at in self._relayed_at_by_id.items()
                if now - relayed_at < RECENTLY_RELAYED_S
            ]
            sent.extend(self._batches(recent, [balancer]))
        return sent

    def flush(self, now: float) -> list[outgoing.Message]:
        """Returns messages that relay the pending records to the zone.

        Args:
            now: Present time, seconds.
        """
        self._refresh()
        pending = list(self._pending_ids)
        self._pending_ids.clear()
        self._relayed_at_by_id = {
            identifier: relayed_at
            for identifier, relayed_at in self._relayed_at_by_id.items()
            if now - relayed_at < RECENTLY_RELAYED_S
        }
        self._relayed_at_by_id.update(dict.fromkeys(pending, now))
        return self._batches(pending, self._zone_balancers)

    def _batches(
        self, identifiers: list[str], receivers: list[records.Record]
    ) -> list[outgoing.Message]:
        """Returns messages with the records of some processes."""
        sent: list[outgoing.Message] = []
        for start in range(
            0, len(identifiers), dissemination.MAX_PUSHED_RECORDS
        ):
            batch = identifiers[
                start : start + dissemination.MAX_PUSHED_RECORDS
            ]
            carried = tuple(
                self._table.by_id[identifier]
                for identifier in batch
                if identifier in self._table.by_id
            )
            sent.extend(_message(receiver, carried) for receiver in receivers)
        return sent

    def _is_relay(self, origin: str) -> bool:
        """Returns whether this balancer relays the records of a process."""
        own = xxhash.xxh3_64_intdigest(f"{origin} {self._own_id}".encode())
        preferred = sum(
            _rank(origin, other) < own for other in self._zone_balancers
        )
        return preferred < RELAYS_PER_ZONE

    def _refresh(self) -> None:
        """Rebuilds the lists of balancers if the peers have changed."""
        peers = self._peers()
        if peers is self._last_peers:
            return
        self._last_peers = peers
        self._balancers = [
            peer for peer in peers if peer.role is records.Role.BALANCER
        ]
        self._zone_balancers = [
            balancer
            for balancer in self._balancers
            if balancer.zone == self._zone
        ]


def _is_new_balancer(change: members.Change) -> bool:
    """Returns whether a change adds a balancer or a new incarnation of one."""
    record = change.new
    if record.role is not records.Role.BALANCER or members.has_ended(record):
        return False
    return change.old is None or change.old.incarnation != record.incarnation


def _message(
    receiver: records.Record, carried: tuple[records.Record, ...]
) -> outgoing.Message:
    return outgoing.Message(
        receiver.control_address, carried, controls.NoBody()
    )
