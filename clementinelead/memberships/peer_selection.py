"""List of the living peers and selection of the next one to probe."""

import collections.abc
import random

from clementinelead.memberships import members
from clementinelead.memberships import records

__all__ = ["PeerSelector"]

PEERS_PER_DEFERRED_CHANGE = 1_000
"""Peers per change that the list may lag behind the table.

Up to this many peers, the list is rebuilt after each change.
"""

RECENT_DEATH_PROBE_SHARE = 0.5
"""Share of probes sent to zones with a recent death, while there are any."""


class PeerSelector:
    """Lists the living peers and selects the next one to probe.

    Peers of the own zone are probed round-robin in random order, as in SWIM.
    """

    def __init__(
        self,
        table: members.MemberTable,
        own: records.Record,
        generator: random.Random,
        cross_zone_probe_share: float,
    ):
        """Starts with a list that is built on first use.

        Args:
            table: All membership records.
            own: Record of this process.
            generator: Source of the random choices.
            cross_zone_probe_share: Share of probes for which the peer is
                drawn from all zones, from 0 to 1.
        """
        self._table = table
        self._own_id = own.id
        self._zone = own.zone
        self._random = generator
        self._cross_zone_probe_share = cross_zone_probe_share
        self._peers: list[records.Record] = []
        self._zone_peers: list[records.Record] = []
        self._generation = -1
        self._zone_round: list[str] = []

    def peers(self) -> list[records.Record]:
        """Returns the records of the other living processes.

        The list is rebuilt only after changes, with more than 1000 peers not
        after each, and must not be modified.
        """
        changes = self._table.generation - self._generation
        if changes * PEERS_PER_DEFERRED_CHANGE >= max(1, len(self._peers)):
            self._generation = self._table.generation
            self._peers = [
                record
                for record in self._table.living()
                if record.id != self._own_id
            ]
            self._zone_peers = [
                record for record in self._peers if record.zone == self._zone
            ]
        return self._peers

    def next_probe_peer(
        self, zones_with_recent_death: collections.abc.Set[str]
    ) -> records.Record | None:
        """Returns the next peer to probe, mostly of this availability zone.

        Args:
            zones_with_recent_death: Zones to which half of the probes go.

        Returns:
            Its record, None if there is no peer or the one drawn has ended.
        """
        peers = self.peers()
        if not peers:
            return None
        prefers_deaths = self._random.random() < RECENT_DEATH_PROBE_SHARE
        if zones_with_recent_death and prefers_deaths:
            in_zones = [
                peer for peer in peers if peer.zone in zones_with_recent_death
            ]
            if in_zones:
                return self._current_if_living(self._random.choice(in_zones))
        is_cross_zone = self._random.random() < self._cross_zone_probe_share
        if is_cross_zone or not self._zone_peers:
            return self._current_if_living(self._random.choice(peers))
        return self._next_in_zone()

    def _current_if_living(
        self, record: records.Record
    ) -> records.Record | None:
        """Returns the peer's record in the table, None if it has ended."""
        current = self._table.by_id.get(record.id)
        if current is None or members.has_ended(current):
            return None
        return current

    def _next_in_zone(self) -> records.Record | None:
        """Returns the peers of the zone in turn, shuffled for each round."""
        while self._zone_round:
            record = self._table.by_id.get(self._zone_round.pop())
            if record is not None and not members.has_ended(record):
                return record
        self._zone_round = [record.id for record in self._zone_peers]
        self._random.shuffle(self._zone_round)
        return self._current_if_living(
            self._table.by_id[self._zone_round.pop()]
        )
