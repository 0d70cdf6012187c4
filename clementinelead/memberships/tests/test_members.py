"""Counts and digests of the membership table."""

import dataclasses

from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.memberships.tests import samples

DIED_AT = 100.0


def _table(*states_and_healths):
    table = members.MemberTable()
    for number, (state, health) in enumerate(states_and_healths):
        record = dataclasses.replace(
            samples.SIDE, id=f"side{number}", state=state, health=health
        )
        table.merge(record, DIED_AT)
    return table


def test_counts_of_serving_missing_and_expected_side_processes():
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
    within_window = members.count_side_processes(table, DIED_AT + 1.0)
    assert within_window == members.SideProcessCounts(
        serving=2, missing=1, expected=5
    )
    after_window = members.count_side_processes(
        table, DIED_AT + members.RETURN_WINDOW_S + 1.0
    )
    assert after_window == members.SideProcessCounts(
        serving=2, missing=1, expected=3
    )


def test_balancers_are_not_counted_as_side_processes():
    table = members.MemberTable()
    table.merge(
        dataclasses.replace(samples.SIDE, role=records.Role.BALANCER), DIED_AT
    )
    assert members.count_side_processes(
        table, DIED_AT
    ) == members.SideProcessCounts(0, 0, 0)


def test_digest_with_tombstones_equals_the_digest_without():
    """A process that joins later has no tombstones, but must compare equal."""
    alive, dead = records.Health.ALIVE, records.Health.DEAD
    ready = records.State.READY
    table = _table((ready, alive), (ready, alive))
    dead_record = dataclasses.replace(
        samples.SIDE, id="side1", state=ready, health=dead
    )
    assert table.digest != _table((ready, alive)).digest
    table.merge(dead_record, DIED_AT)
    assert table.digest == _table((ready, alive)).digest
    table.expire(DIED_AT + members.TOMBSTONE_LIFETIME_S + 1.0)
    assert table.digest == _table((ready, alive)).digest
