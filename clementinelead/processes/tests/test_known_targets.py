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


# Guards against a balancer that waits for the replies of a process which was
# stopped before its target announced itself.
def test_process_that_stops_before_its_target_is_ready_is_marked():
    side = _side(id="a", sequence=1)
    cold = dataclasses.replace(side, state=records.State.COLD)
    ready = dataclasses.replace(cold, sequence=2, state=records.State.READY)
    draining = dataclasses.replace(
        cold, sequence=2, state=records.State.DRAINING
    )
    drained_later = dataclasses.replace(draining, sequence=3)
    dead = dataclasses.replace(draining, health=records.Health.DEAD)
    back = dataclasses.replace(cold, incarnation=cold.incarnation + 1)
    [target] = _targets_after(cold, draining)["s"]
    assert target.never_ready
    [target] = _targets_after(cold, ready, drained_later)["s"]
    assert not target.never_ready
    [target] = _targets_after(draining)["s"]
    assert not target.never_ready
    # The record of the ready process was missed: its flows were reset.
    [target] = _targets_after(cold, drained_later)["s"]
    assert not target.never_ready
    [target] = _targets_after(cold, draining, dead, back)["s"]
    assert not target.never_ready


# Guards against memory that grows with each service that ever existed.
def test_services_without_targets_are_forgotten():
    known = known_targets.KnownTargets(members.MemberTable())
    side = _side(id="a")
    ended = dataclasses.replace(side, health=records.Health.DEAD)
    known.update([members.Change(None, side)])
    assert known.update([members.Change(side, ended)]) == {"s": ()}
    assert not known._by_service


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
