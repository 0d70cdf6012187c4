"""Tests how long a removed service keeps its open flows."""

import asyncio

from clementinelead.configurations import edits
from clementinelead.configurations import repositories
from clementinelead.configurations.tests import fakes

BOUND_S = 90.0


def _author(number, time):
    return fakes.author(f"c{number}").model_copy(update={"time": time})


def _apply_edits(*steps):
    """Applies pairs of edit and time; returns each configuration."""

    async def scenario():
        repository = fakes.repository(fakes.FakeStore())
        configurations = []
        for number, (edit, time) in enumerate(steps):
            author = _author(number, time)
            outcome = await repository.change(edit(author), author, 5.0)
            assert isinstance(outcome, repositories.Accepted)
            configurations.append((await repository.read_configuration())[0])
        return configurations

    return asyncio.run(scenario())


def _set(name, number):
    values = fakes.service(name, number, drain_bound_s=BOUND_S).model_dump()
    return lambda author: edits.set_edit(name, values, author)


def _remove(name):
    return lambda author: edits.remove_edit(name, author)


def test_removed_service_ends_at_its_drain_bound():
    _, _, removed = _apply_edits(
        (_set("a", 1), 10.0), (_set("b", 2), 11.0), (_remove("a"), 100.0)
    )
    assert removed.entry_by_name.keys() == {"b"}
    assert removed.ending_by_name["a"].ends_at == 100.0 + BOUND_S


def test_later_changes_do_not_extend_the_drain_bound_of_a_removed_service():
    *_, before, after = _apply_edits(
        (_set("a", 1), 10.0),
        (_remove("a"), 100.0),
        (_set("b", 2), 100.0 + BOUND_S - 1.0),
        (_set("c", 3), 100.0 + BOUND_S),
    )
    assert before.ending_by_name["a"].ends_at == 100.0 + BOUND_S
    assert not after.ending_by_name
    assert after.stored_by_name.keys() == {"b", "c"}


def test_removed_service_that_is_added_again_is_in_force():
    *_, readded = _apply_edits(
        (_set("a", 1), 10.0), (_remove("a"), 20.0), (_set("a", 1), 30.0)
    )
    assert readded.entry_by_name["a"].ends_at is None
    assert not readded.ending_by_name


def test_removed_service_ends_when_its_address_is_reassigned():
    *_, reassigned = _apply_edits(
        (_set("a", 1), 10.0), (_remove("a"), 20.0), (_set("b", 1), 30.0)
    )
    assert reassigned.stored_by_name.keys() == {"b"}
