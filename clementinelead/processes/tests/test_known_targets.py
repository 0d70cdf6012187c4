"""Targets by service follow the membership, a change at a time."""

import dataclasses
import random

from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.memberships.tests import samples
from clementinelead.processes import known_targets

NOW = 100.0


def _known(*several):
    """Returns what the last of some records leaves, by service."""
    table = members.MemberTable()
    known = known_targets.KnownTargets(table)
    found = {}
    for record in several:
        change = table.merge(record, NOW)
        if change is not None:
            found.update(known.update([change]))
    return found


def _side(**fields):
    return dataclasses.replace(
        samples.SIDE, services=("s",), state=records.State.READY, **fields
    )


def test_target_that_lives_is_known_and_one_that_has_ended_is_not():
    first, second = _side(id="a"), _side(id="b")
    gone = dataclasses.replace(first, health=records.Health.DEAD)
    assert {one.id for one in _known(first, second)["s"]} == {"a", "b"}
    assert {one.id for one in _known(first, second, gone)["s"]} == {"b"}


def test_target_that_changes_its_service_leaves_the_old_one():
    first = _side(id="a")
    moved = dataclasses.replace(
        first, services=("t",), incarnation=first.incarnation + 1
    )
    found = _known(first, moved)
    assert found["s"] == ()
    [target] = found["t"]
    assert target.is_successor


def test_balancers_are_no_targets():
    balancer = dataclasses.replace(samples.SIDE, role=records.Role.BALANCER)
    assert _known(balancer) == {}


def test_any_order_of_changes_leaves_the_living():
    generator = random.Random(1)
    table = members.MemberTable()
    known = known_targets.KnownTargets(table)
    found = {}
    for step in range(2_000):
        record = _side(
            id=f"s{generator.randrange(20)}",
            sequence=step,
            health=generator.choice(list(records.Health)),
        )
        found.update(known.update([table.merge(record, NOW)]))
    living = {record.id for record in table.living()}
    assert {target.id for target in found["s"]} == living
