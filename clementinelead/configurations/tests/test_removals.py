"""Removed services keep their open flows, and nothing else."""

import asyncio

from clementinelead.configurations import edits
from clementinelead.configurations import repositories
from clementinelead.configurations.tests import fakes

BOUND_S = 90.0


def _author(number, time):
    return fakes.author(f"c{number}").model_copy(update={"time": time})


def _states(*steps):
    """Makes changes; returns the configuration after each."""

    async def scenario():
        repository = fakes.repository(fakes.FakeStore())
        found = []
        for number, (edit, time) in enumerate(steps):
            author = _author(number, time)
            outcome = await repository.change(edit(author), author, 5.0)
            assert isinstance(outcome, repositories.Accepted)
            found.append((await repository.read_configuration())[0])
        return found

    return asyncio.run(scenario())


def _set(name, number):
    values = fakes.service(name, number, drain_bound_s=BOUND_S).model_dump()
    return lambda author: edits.set_edit(name, values, author)


def _remove(name):
    return lambda author: edits.remove_edit(name, author)


def test_removed_service_ends_at_its_bound():
    _, _, removed = _states(
        (_set("a", 1), 10.0), (_set("b", 2), 11.0), (_remove("a"), 100.0)
    )
    assert removed.entry_by_name.keys() == {"b"}
    assert removed.ending_by_name["a"].ends_at == 100.0 + BOUND_S


def test_bound_counts_from_the_removal_whatever_changes_meanwhile():
    *_, before, after = _states(
        (_set("a", 1), 10.0),
        (_remove("a"), 100.0),
        (_set("b", 2), 100.0 + BOUND_S - 1.0),
        (_set("c", 3), 100.0 + BOUND_S),
    )
    assert before.ending_by_name["a"].ends_at == 100.0 + BOUND_S
    assert not after.ending_by_name
    assert after.stored_by_name.keys() == {"b", "c"}


def test_service_that_is_added_again_is_in_force():
    *_, again = _states(
        (_set("a", 1), 10.0), (_remove("a"), 20.0), (_set("a", 1), 30.0)
    )
    assert again.entry_by_name["a"].ends_at is None
    assert not again.ending_by_name


def test_address_that_is_given_away_ends_the_service():
    *_, moved = _states(
        (_set("a", 1), 10.0), (_remove("a"), 20.0), (_set("b", 1), 30.0)
    )
    assert moved.stored_by_name.keys() == {"b"}
