"""Records reach all balancers, while each process sends to a few."""

import collections
import dataclasses

import pytest

from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.memberships import zone_dissemination
from clementinelead.memberships.tests import samples

NOW = 100.0
ZONES = 6


def _balancer(zone, number, **fields):
    return dataclasses.replace(
        samples.SIDE,
        id=f"b{zone}-{number}",
        role=records.Role.BALANCER,
        zone=f"z{zone}",
        address=f"10.{zone}.{number >> 8}.{number & 255}",
        services=(),
        **fields,
    )


class Fleet:
    """Balancers and one side process with a common membership table."""

    def __init__(self, balancers_per_zone):
        self.side = samples.SIDE
        self.balancers = [
            _balancer(zone, number)
            for zone in range(ZONES)
            for number in range(balancers_per_zone)
        ]
        self.table = members.MemberTable()
        for record in (self.side, *self.balancers):
            self.table.merge(record, NOW)
        self.sent_by_id = collections.Counter()

    def disseminator(self, own, hidden=frozenset()):
        peers = [
            record
            for record in self.table.living()
            if record.id != own.id and record.id not in hidden
        ]
        return zone_dissemination.ZoneDissemination(
            own, self.table, lambda: peers
        )

    def announce(self, dead=frozenset()):
        """Announces the side process; returns the receivers' identifiers."""
        receivers = set()
        sent = self.disseminator(self.side).announce(self.side)
        self.sent_by_id[self.side.id] += len(sent)
        balancer_by_address = {
            balancer.control_address: balancer for balancer in self.balancers
        }
        for message in sent:
            relay = balancer_by_address[message.address]
            if relay.id in dead:
                continue
            receivers.add(relay.id)
            disseminator = self.disseminator(relay)
            change = members.Change(None, self.side)
            assert not disseminator.on_changes([change], relay, NOW)
            relayed = disseminator.flush(NOW)
            self.sent_by_id[relay.id] += len(relayed)
            receivers.update(
                balancer_by_address[message.address].id for message in relayed
            )
        return receivers


@pytest.mark.parametrize("balancers_per_zone", [1, 3, 10, 300])
def test_all_balancers_receive_and_no_process_sends_to_all(balancers_per_zone):
    fleet = Fleet(balancers_per_zone)
    assert fleet.announce() == {balancer.id for balancer in fleet.balancers}
    own = fleet.sent_by_id.pop(fleet.side.id)
    assert own <= ZONES * zone_dissemination.RELAYS_PER_ZONE
    assert max(fleet.sent_by_id.values()) < max(2, balancers_per_zone)


def test_records_reach_all_zones_despite_one_dead_relay_in_each():
    fleet = Fleet(10)
    chosen = zone_dissemination.select_relays(fleet.side.id, fleet.balancers)
    dead = {relay.id for relay in chosen[:: zone_dissemination.RELAYS_PER_ZONE]}
    living = {balancer.id for balancer in fleet.balancers} - dead
    assert living <= fleet.announce(dead)


def test_relaying_is_balanced_over_the_balancers_of_a_zone():
    balancers = Fleet(10).balancers
    relayed = collections.Counter(
        relay.id
        for number in range(600)
        for relay in zone_dissemination.select_relays(
            f"side{number}", balancers
        )
    )
    mean = 600 * zone_dissemination.RELAYS_PER_ZONE / 10
    assert len(relayed) == len(balancers)
    assert max(relayed.values()) < 1.5 * mean


def test_new_balancer_receives_recently_relayed_records_of_its_zone():
    fleet = Fleet(1)
    relay = fleet.balancers[0]
    new = _balancer(0, 7)
    disseminator = fleet.disseminator(relay)
    disseminator.on_changes([members.Change(None, fleet.side)], relay, NOW)
    disseminator.flush(NOW)
    fleet.table.merge(new, NOW)
    sent = disseminator.on_changes(
        [members.Change(None, new)], relay, NOW + 1.0
    )
    carried = {record.id for message in sent for record in message.records}
    assert fleet.side.id in carried
    expired = NOW + zone_dissemination.RECENTLY_RELAYED_S + 1.0
    restarted = dataclasses.replace(new, incarnation=new.incarnation + 1)
    sent = disseminator.on_changes(
        [members.Change(new, restarted)], relay, expired
    )
    assert fleet.side.id not in {
        record.id for message in sent for record in message.records
    }


def test_side_process_sends_its_record_to_a_new_relay_and_relays_nothing():
    fleet = Fleet(1)
    disseminator = fleet.disseminator(fleet.side)
    added = members.Change(None, fleet.balancers[3])
    [sent] = disseminator.on_changes([added], fleet.side, NOW)
    assert sent.address == fleet.balancers[3].control_address
    assert sent.records == (fleet.side,)
    assert not disseminator.has_pending


def test_unannounced_process_does_not_send_its_record():
    fleet = Fleet(1)
    disseminator = fleet.disseminator(fleet.side)
    assert not disseminator.on_changes(
        [members.Change(None, fleet.balancers[3])], None, NOW
    )
