"""The other living processes, and whom of them to probe next."""

import collections.abc
import random

from clementinelead.memberships import members
from clementinelead.memberships import records

__all__ = ["PeerSelector"]

PEERS_PER_DEFERRED_CHANGE = 1_000
"""Processes for which one change does not yet make the list anew."""

RECENT_DEATH_PROBE_SHARE = 0.5
"""Share of the probes that go where a process has died a moment ago."""


class PeerSelector:
    """Lists the peers and draws from them."""

    def __init__(
        self,
        table: members.MemberTable,
        own: records.Record,
        generator: random.Random,
        cross_zone_probe_share: float,
    ):
        """Prepares the list.

        Args:
            table: All records known.
            own: Record of this process.
            generator: Draws the subjects.
            cross_zone_probe_share: Share of probes that leave the own zone.
        """
        self._table = table
        self._own_id = own.id
        self._zone = own.zone
        self._random = generator
        self._other_zone_share = cross_zone_probe_share
        self._peers: list[records.Record] = []
        self._near: list[records.Record] = []
        self._generation = -1
        self._ring: list[str] = []

    def peers(self) -> list[records.Record]:
        """Returns the records of the other living processes.

        The list is made anew only after a change, in a large system not
        after each, and must not be altered.
        """
        changes = self._table.generation - self._generation
        if changes * PEERS_PER_DEFERRED_CHANGE >= max(1, len(self._peers)):
            self._generation = self._table.generation
            self._peers = [
                record
                for record in self._table.living()
                if record.id != self._own_id
            ]
            self._near = [
                record for record in self._peers if record.zone == self._zone
            ]
        return self._peers

    def next_probe_peer(
        self, watched: collections.abc.Set[str]
    ) -> records.Record | None:
        """Returns whom to probe next, mostly in this availability zone.

        Args:
            watched: Zones where a process has died a moment ago.
        """
        others = self.peers()
        if not others:
            return None
        attentive = self._random.random() < RECENT_DEATH_PROBE_SHARE
        if watched and attentive:
            inside = [other for other in others if other.zone in watched]
            if inside:
                return self._living(self._random.choice(inside))
        far = self._random.random() < self._other_zone_share
        if far or not self._near:
            return self._living(self._random.choice(others))
        return self._from_ring()

    def _living(self, record: records.Record) -> records.Record | None:
        """Returns the present record of a peer, None if it has ended."""
        present = self._table.by_id.get(record.id)
        if present is None or members.has_ended(present):
            return None
        return present

    def _from_ring(self) -> records.Record | None:
        """Returns the members of the zone in turn, in an order of its own."""
        while self._ring:
            record = self._table.by_id.get(self._ring.pop())
            if record is not None and not members.has_ended(record):
                return record
        self._ring = [record.id for record in self._near]
        self._random.shuffle(self._ring)
        return self._living(self._table.by_id[self._ring.pop()])
