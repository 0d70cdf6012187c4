"""News of processes, passed on to all balancers by two in each zone.

Gossip alone takes seconds where many processes start at once. So a process
tells its news to a few balancers in each availability zone, chosen by
rendezvous hashing, and these tell the other balancers of their zone. What one
process sends grows with the zones, not with the fleet.
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
"""Balancers of a zone that pass on the news of a process."""

RECENTLY_RELAYED_S = 5.0
"""Time in which a balancer that appears is told of news, seconds.

Who joins gets a whole view, which may lack what is newer.
"""


def _rank(origin: str, balancer: records.Record) -> int:
    return int(xxhash.xxh3_64_intdigest(f"{origin} {balancer.id}".encode()))


def select_relays(
    origin: str, balancers: collections.abc.Iterable[records.Record]
) -> list[records.Record]:
    """Returns the balancers that pass on the news of a process.

    Args:
        origin: Identifier of the process.
        balancers: Living balancers of all zones.
    """
    in_zone: dict[str, list[records.Record]] = {}
    for balancer in balancers:
        in_zone.setdefault(balancer.zone, []).append(balancer)
    return [
        chosen
        for several in in_zone.values()
        for chosen in heapq.nsmallest(
            RELAYS_PER_ZONE, several, key=lambda one: _rank(origin, one)
        )
    ]


class ZoneDissemination:
    """Decides whom a process tells of itself and of others.

    Balancers pass on; side processes only tell of themselves.
    """

    def __init__(
        self,
        own: records.Record,
        table: members.MemberTable,
        peers: collections.abc.Callable[[], list[records.Record]],
    ):
        """Begins with no news.

        Args:
            own: Record of this process.
            table: All records known.
            peers: Returns the other living processes, the same list until
                they change.
        """
        self._own_id = own.id
        self._zone = own.zone
        self._passes_on = own.role is records.Role.BALANCER
        self._table = table
        self._peers = peers
        self._listed: list[records.Record] = []
        self._balancers: list[records.Record] = []
        self._near: list[records.Record] = []
        self._waiting: dict[str, None] = {}
        self._passed_at: dict[str, float] = {}

    @property
    def has_pending(self) -> bool:
        """Whether ``flush`` has something to send."""
        return bool(self._waiting)

    def announce(self, own: records.Record) -> list[outgoing.Message]:
        """Returns what tells the relays of a change of this process.

        Args:
            own: Its record.
        """
        self._refresh()
        return [
            _told(relay, (own,))
            for relay in select_relays(own.id, self._balancers)
        ]

    def on_changes(
        self,
        changes: collections.abc.Iterable[members.Change],
        own: records.Record | None,
        now: float,
    ) -> list[outgoing.Message]:
        """Takes up what this process has learned.

        Args:
            changes: Changes of membership records.
            own: Record of this process, None if it is not announced yet.
            now: Present time, seconds.

        Returns:
            What tells balancers that have appeared of this process, and of
            news that they have missed.
        """
        self._refresh()
        told: list[outgoing.Message] = []
        for change in changes:
            record = change.new
            if record.id == self._own_id:
                continue
            if self._passes_on and self._is_relay(record.id):
                self._waiting[record.id] = None
            if _appeared(change):
                told.extend(self._welcome(record, own, now))
        return told

    def _welcome(
        self, balancer: records.Record, own: records.Record | None, now: float
    ) -> list[outgoing.Message]:
        """Returns what a balancer that has appeared is told."""
        told: list[outgoing.Message] = []
        if own is not None and balancer.id in {
            relay.id for relay in select_relays(own.id, self._balancers)
        }:
            told.append(_told(balancer, (own,)))
        if self._passes_on and balancer.zone == self._zone:
            recent = [
                identifier
                for identifier, passed in self._passed_at.items()
                if now - passed < RECENTLY_RELAYED_S
            ]
            told.extend(self._batches(recent, [balancer]))
        return told

    def flush(self, now: float) -> list[outgoing.Message]:
        """Returns what passes the collected news on to the zone.

        Args:
            now: Present time, seconds.
        """
        self._refresh()
        waiting = list(self._waiting)
        self._waiting.clear()
        self._passed_at = {
            identifier: passed
            for identifier, passed in self._passed_at.items()
            if now - passed < RECENTLY_RELAYED_S
        }
        self._passed_at.update(dict.fromkeys(waiting, now))
        return self._batches(waiting, self._near)

    def _batches(
        self, identifiers: list[str], receivers: list[records.Record]
    ) -> list[outgoing.Message]:
        """Returns messages that tell receivers of some processes."""
        told: list[outgoing.Message] = []
        for start in range(
            0, len(identifiers), dissemination.MAX_PUSHED_RECORDS
        ):
            part = identifiers[start : start + dissemination.MAX_PUSHED_RECORDS]
            several = tuple(
                self._table.by_id[identifier]
                for identifier in part
                if identifier in self._table.by_id
            )
            told.extend(_told(receiver, several) for receiver in receivers)
        return told

    def _is_relay(self, origin: str) -> bool:
        """Tells whether this balancer passes on the news of a process."""
        own = xxhash.xxh3_64_intdigest(f"{origin} {self._own_id}".encode())
        ahead = sum(_rank(origin, other) < own for other in self._near)
        return ahead < RELAYS_PER_ZONE

    def _refresh(self) -> None:
        """Lists the balancers anew if the peers have changed."""
        listed = self._peers()
        if listed is self._listed:
            return
        self._listed = listed
        self._balancers = [
            peer for peer in listed if peer.role is records.Role.BALANCER
        ]
        self._near = [
            balancer
            for balancer in self._balancers
            if balancer.zone == self._zone
        ]


def _appeared(change: members.Change) -> bool:
    """Tells whether a balancer is new, or has restarted."""
    record = change.new
    if record.role is not records.Role.BALANCER or members.has_ended(record):
        return False
    return change.old is None or change.old.incarnation != record.incarnation


def _told(
    receiver: records.Record, several: tuple[records.Record, ...]
) -> outgoing.Message:
    return outgoing.Message(
        receiver.control_address, several, controls.Nothing()
    )
