"""News reach all balancers, while each process tells a few."""

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
    """Balancers that know each other, and one side process."""

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

    def news(self, own, hidden=frozenset()):
        listed = [
            record
            for record in self.table.living()
            if record.id != own.id and record.id not in hidden
        ]
        return zone_dissemination.ZoneDissemination(
            own, self.table, lambda: listed
        )

    def announce(self, dead=frozenset()):
        """Lets the side process announce itself; returns who hears."""
        heard = set()
        told = self.news(self.side).announce(self.side)
        self.sent_by_id[self.side.id] += len(told)
        by_address = {one.control_address: one for one in self.balancers}
        for send in told:
            relay = by_address[send.address]
            if relay.id in dead:
                continue
            heard.add(relay.id)
            passing = self.news(relay)
            change = members.Change(None, self.side)
            assert not passing.on_changes([change], relay, NOW)
            passed = passing.flush(NOW)
            self.sent_by_id[relay.id] += len(passed)
            heard.update(by_address[one.address].id for one in passed)
        return heard


@pytest.mark.parametrize("balancers_per_zone", [1, 3, 10, 300])
def test_all_balancers_hear_and_nobody_tells_all(balancers_per_zone):
    fleet = Fleet(balancers_per_zone)
    assert fleet.announce() == {one.id for one in fleet.balancers}
    own = fleet.sent_by_id.pop(fleet.side.id)
    assert own <= ZONES * zone_dissemination.RELAYS_PER_ZONE
    assert max(fleet.sent_by_id.values()) < max(2, balancers_per_zone)


def test_death_of_one_relay_in_each_zone_keeps_no_zone_from_hearing():
    fleet = Fleet(10)
    chosen = zone_dissemination.select_relays(fleet.side.id, fleet.balancers)
    dead = {relay.id for relay in chosen[:: zone_dissemination.RELAYS_PER_ZONE]}
    living = {one.id for one in fleet.balancers} - dead
    assert living <= fleet.announce(dead)


def test_work_of_passing_on_is_spread_over_the_zone():
    balancers = Fleet(10).balancers
    passed = collections.Counter(
        relay.id
        for number in range(600)
        for relay in zone_dissemination.select_relays(
            f"side{number}", balancers
        )
    )
    mean = 600 * zone_dissemination.RELAYS_PER_ZONE / 10
    assert len(passed) == len(balancers)
    assert max(passed.values()) < 1.5 * mean


def test_balancer_that_appears_hears_recent_news_from_its_zone():
    fleet = Fleet(1)
    relay = fleet.balancers[0]
    late = _balancer(0, 7)
    news = fleet.news(relay)
    news.on_changes([members.Change(None, fleet.side)], relay, NOW)
    news.flush(NOW)
    fleet.table.merge(late, NOW)
    told = news.on_changes([members.Change(None, late)], relay, NOW + 1.0)
    about = {record.id for send in told for record in send.records}
    assert fleet.side.id in about
    old = zone_dissemination.RECENTLY_RELAYED_S + 1.0
    again = dataclasses.replace(late, incarnation=late.incarnation + 1)
    told = news.on_changes([members.Change(late, again)], relay, NOW + old)
    assert fleet.side.id not in {
        record.id for send in told for record in send.records
    }


def test_side_process_tells_a_relay_that_appears_and_passes_nothing_on():
    fleet = Fleet(1)
    news = fleet.news(fleet.side)
    appeared = members.Change(None, fleet.balancers[3])
    [told] = news.on_changes([appeared], fleet.side, NOW)
    assert told.address == fleet.balancers[3].control_address
    assert told.records == (fleet.side,)
    assert not news.has_pending


def test_process_that_is_not_announced_tells_nobody_of_itself():
    fleet = Fleet(1)
    news = fleet.news(fleet.side)
    assert not news.on_changes(
        [members.Change(None, fleet.balancers[3])], None, NOW
    )
