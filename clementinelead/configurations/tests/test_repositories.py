"""Changes of the configuration under lost answers, races and outages."""

import asyncio
import random

import hypothesis
from hypothesis import strategies
import pytest

from clementinelead import exceptions
from clementinelead.configurations import adoption
from clementinelead.configurations import edits
from clementinelead.configurations import repositories
from clementinelead.configurations.tests import fakes

TIMEOUT_S = 60.0


def add(name, number, change, **fields):
    author = fakes.author(change)
    values = fakes.service(name, number, **fields).model_dump()
    return edits.set_edit(name, values, author), author


async def made(store, name, number, change, timeout_s=TIMEOUT_S, **fields):
    edit, author = add(name, number, change, **fields)
    return await fakes.repository(store).change(edit, author, timeout_s)


def test_a_change_is_accepted_once_however_often_it_is_made():
    async def scenario():
        store = fakes.FakeStore()
        first = await made(store, "a", 1, "c1")
        again = await made(store, "a", 1, "c1")
        assert first == again == repositories.Accepted(1)

    asyncio.run(scenario())


def test_a_lost_answer_after_the_write_is_still_accepted():
    async def scenario():
        store = fakes.FakeStore()
        store.lose_answers_of.add("/head")
        assert await made(store, "a", 1, "c1") == repositories.Accepted(1)
        configuration, _ = await fakes.repository(store).read_configuration()
        assert configuration.revision == 1

    asyncio.run(scenario())


def test_store_down_from_the_start_rejects_truthfully():
    async def scenario():
        store = fakes.FakeStore()
        store.down = True
        outcome = await made(store, "a", 1, "c1", timeout_s=0.2)
        assert isinstance(outcome, repositories.Rejected)
        store.down = False
        configuration, _ = await fakes.repository(store).read_configuration()
        assert configuration.revision == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("took_effect", [True, False])
def test_store_down_during_the_write_is_unknown_until_settled(took_effect):
    async def scenario():
        store = fakes.FakeStore()

        original = store.compare_and_swap

        async def compare_and_swap(key, value, index):
            if not key.endswith("/head"):
                return await original(key, value, index)
            if took_effect:
                await original(key, value, index)
            store.down = True
            raise exceptions.StoreUnavailableError("the answer was lost")

        store.compare_and_swap = compare_and_swap
        outcome = await made(store, "a", 1, "c1", timeout_s=2.0)
        assert outcome == repositories.Unknown("c1")
        store.down = False
        store.compare_and_swap = original
        settled = await fakes.repository(store).settle("c1")
        if took_effect:
            assert settled == repositories.Accepted(1)
        else:
            assert isinstance(settled, repositories.Rejected)

    asyncio.run(scenario())


def test_a_write_still_under_way_cannot_land_after_it_was_called_rejected():
    async def scenario():
        store = fakes.FakeStore()
        await made(store, "a", 1, "c1")
        repository = fakes.repository(store)
        _, modification = await repository.read_head()
        assert isinstance(await repository.settle("c2"), repositories.Rejected)
        late = await store.compare_and_swap("test/head", b"late", modification)
        assert not late

    asyncio.run(scenario())


def test_two_shifts_that_race_both_win_in_some_order():
    async def scenario():
        store = fakes.FakeStore()

        async def other():
            outcome = await made(store, "b", 2, "c2")
            assert isinstance(outcome, repositories.Accepted)

        store.before_swap = other
        outcome = await made(store, "a", 1, "c1")
        assert outcome == repositories.Accepted(2)
        configuration, _ = await fakes.repository(store).read_configuration()
        assert sorted(configuration.entry_by_name) == ["a", "b"]

    asyncio.run(scenario())


def test_an_address_belongs_to_one_service():
    async def scenario():
        store = fakes.FakeStore()
        await made(store, "a", 1, "c1")
        outcome = await made(store, "b", 1, "c2")
        assert isinstance(outcome, repositories.Rejected)
        assert "belongs to 'a'" in str(outcome.findings[0])

    asyncio.run(scenario())


def test_a_further_address_belongs_to_one_service_too():
    async def scenario():
        store = fakes.FakeStore()
        await made(store, "a", 1, "c1", more_addresses="10.9.8.7:80")
        outcome = await made(
            store, "b", 2, "c2", more_addresses=["10.9.8.6:80", "10.9.8.7:80"]
        )
        assert isinstance(outcome, repositories.Rejected)
        assert "10.9.8.7:80 belongs to 'a'" in str(outcome.findings[0])

    asyncio.run(scenario())


@hypothesis.given(
    strategies.integers(0, 10**6),
    strategies.integers(2, 6),
    strategies.floats(0.0, 0.6),
)
@hypothesis.settings(derandomize=True, max_examples=40, deadline=None)
def test_every_accepted_change_is_there_once_and_none_is_reverted(
    seed, operators, loss
):
    """Operators race while answers are lost at random."""
    generator = random.Random(seed)

    class Lossy(fakes.FakeStore):
        async def compare_and_swap(self, key, value, index):
            if key.endswith("/head") and generator.random() < loss:
                self.lose_answers_of.add("/head")
            for _ in range(generator.randrange(4)):
                await asyncio.sleep(0)
            return await super().compare_and_swap(key, value, index)

    async def scenario():
        store = Lossy()
        outcomes = await asyncio.gather(
            *(
                made(store, f"s{number}", number, f"c{number}")
                for number in range(1, operators + 1)
            )
        )
        configuration, _ = await fakes.repository(store).read_configuration()
        revisions = [outcome.revision for outcome in outcomes]
        assert sorted(revisions) == list(range(1, operators + 1))
        assert configuration.revision == operators
        assert len(configuration.entry_by_name) == operators

    asyncio.run(scenario())


def test_replaced_values_are_deleted_in_the_end():
    async def scenario():
        store = fakes.FakeStore()
        repository = fakes.repository(store)
        for number in range(150):
            author = fakes.author(f"c{number}")
            values = {
                **fakes.service("a").model_dump(),
                "max_wait_s": number + 1,
            }
            edit = edits.set_edit("a", values, author)
            await repository.change(edit, author, TIMEOUT_S)
        assert len(store.items) < 4 * 64 + 40
        configuration, _ = await fakes.repository(store).read_configuration()
        assert configuration.revision == 150

    asyncio.run(scenario())


def test_patches_lead_from_one_revision_to_the_next():
    async def scenario():
        store = fakes.FakeStore()
        for number in range(1, 6):
            await made(store, f"s{number}", number, f"c{number}")
        repository = fakes.repository(store)
        head, _ = await repository.read_head()
        adopted = adoption.ActiveConfiguration()
        patches = await repository.read_patches(head, 0)
        adopted.offer_patches(patches)
        whole, _ = await repository.read_configuration()
        assert adopted.revision == 5
        assert adopted.entry_by_name == whole.entry_by_name
        assert [patch.revision for patch in adopted.patches_since(3)] == [4, 5]

    asyncio.run(scenario())


def test_a_lower_revision_is_never_adopted():
    adopted = adoption.ActiveConfiguration()
    adopted.offer_snapshot(7, {}, {})
    outcome = adopted.offer_snapshot(3, {}, {})
    assert outcome == adoption.OlderRevision(3, 7)
    assert adopted.revision == 7
