import dataclasses

from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.memberships.tests import samples

DEATH = 100.0


def _table(*several):
    table = members.MemberTable()
    for number, (state, health) in enumerate(several):
        record = dataclasses.replace(
            samples.SIDE, id=f"side{number}", state=state, health=health
        )
        table.merge(record, DEATH)
    return table


def test_census_tells_who_serves_who_is_missing_and_who_may_come_back():
    alive, dead = records.Health.ALIVE, records.Health.DEAD
    table = _table(
        (records.State.READY, alive),
        (records.State.DRAINING, alive),
        (records.State.COLD, alive),
        (records.State.LEAVING, alive),
        (records.State.LEAVING, dead),
        (records.State.COLD, dead),
        (records.State.READY, dead),
    )
    soon = members.count_side_processes(table, DEATH + 1.0)
    assert soon == members.SideProcessCounts(serving=2, missing=1, expected=5)
    late = members.count_side_processes(
        table, DEATH + members.RETURN_WINDOW_S + 1.0
    )
    assert late == members.SideProcessCounts(serving=2, missing=1, expected=3)


def test_census_does_not_count_balancers():
    table = members.MemberTable()
    table.merge(
        dataclasses.replace(samples.SIDE, role=records.Role.BALANCER), DEATH
    )
    assert members.count_side_processes(
        table, DEATH
    ) == members.SideProcessCounts(0, 0, 0)


def test_view_of_who_joins_later_equals_that_of_who_knows_the_ends():
    alive, dead = records.Health.ALIVE, records.Health.DEAD
    ready = records.State.READY
    old = _table((ready, alive), (ready, alive))
    gone = dataclasses.replace(
        samples.SIDE, id="side1", state=ready, health=dead
    )
    assert old.digest != _table((ready, alive)).digest
    old.merge(gone, DEATH)
    assert old.digest == _table((ready, alive)).digest
    old.expire(DEATH + members.TOMBSTONE_LIFETIME_S + 1.0)
    assert old.digest == _table((ready, alive)).digest
