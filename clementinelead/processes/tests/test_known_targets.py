"""Incremental updates of the targets by service."""

import dataclasses
import random

from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.memberships.tests import samples
from clementinelead.processes import known_targets

NOW = 100.0


def _targets_after(*merged):
    """Returns the targets by service after merging some records in order."""
    table = members.MemberTable()
    known = known_targets.KnownTargets(table)
    targets_by_service = {}
    for record in merged:
        change = table.merge(record, NOW)
        if change is not None:
            targets_by_service.update(known.update([change]))
    return targets_by_service


def _side(**fields):
    return dataclasses.replace(
        samples.SIDE, services=("s",), state=records.State.READY, **fields
    )


def _ids(targets):
    return {target.id for target in targets}


def test_dead_side_process_removes_its_target():
    first, second = _side(id="a"), _side(id="b")
    dead = dataclasses.replace(first, health=records.Health.DEAD)
    assert _ids(_targets_after(first, second)["s"]) == {"a", "b"}
    assert _ids(_targets_after(first, second, dead)["s"]) == {"b"}


def test_change_of_service_moves_the_target():
    first = _side(id="a")
    moved = dataclasses.replace(
        first, services=("t",), incarnation=first.incarnation + 1
    )
    targets_by_service = _targets_after(first, moved)
    assert targets_by_service["s"] == ()
    [target] = targets_by_service["t"]
    assert target.is_successor


def test_balancers_add_no_targets():
    balancer = dataclasses.replace(samples.SIDE, role=records.Role.BALANCER)
    assert _targets_after(balancer) == {}


def test_random_changes_leave_the_targets_of_living_side_processes():
    generator = random.Random(1)
    table = members.MemberTable()
    known = known_targets.KnownTargets(table)
    targets_by_service = {}
    for step in range(2_000):
        record = _side(
            id=f"s{generator.randrange(20)}",
            sequence=step,
            health=generator.choice(list(records.Health)),
        )
        change = table.merge(record, NOW)
        targets_by_service.update(known.update([change]))
    living_ids = {record.id for record in table.living()}
    assert _ids(targets_by_service["s"]) == living_ids
