"""Tests changes under lost responses, concurrency and store outages."""

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


def make_set_edit(name, number, change, **fields):
    author = fakes.author(change)
    values = fakes.service(name, number, **fields).model_dump()
    return edits.set_edit(name, values, author), author


async def apply_set_edit(
    store, name, number, change, timeout_s=TIMEOUT_S, **fields
):
    edit, author = make_set_edit(name, number, change, **fields)
    return await fakes.repository(store).change(edit, author, timeout_s)


def test_change_with_the_same_identifier_is_committed_only_once():
    async def scenario():
        store = fakes.FakeStore()
        first = await apply_set_edit(store, "a", 1, "c1")
        repeated = await apply_set_edit(store, "a", 1, "c1")
        assert first == repeated == repositories.Accepted(1)

    asyncio.run(scenario())


def test_change_is_accepted_when_the_response_to_its_write_is_lost():
    async def scenario():
        store = fakes.FakeStore()
        store.lose_response_suffixes.add("/head")
        assert await apply_set_edit(
            store, "a", 1, "c1"
        ) == repositories.Accepted(1)
        configuration, _ = await fakes.repository(store).read_configuration()
        assert configuration.revision == 1

    asyncio.run(scenario())


def test_change_is_rejected_when_the_store_is_down_before_any_write():
    async def scenario():
        store = fakes.FakeStore()
        store.down = True
        outcome = await apply_set_edit(store, "a", 1, "c1", timeout_s=0.2)
        assert isinstance(outcome, repositories.Rejected)
        store.down = False
        configuration, _ = await fakes.repository(store).read_configuration()
        assert configuration.revision == 0

    asyncio.run(scenario())


@pytest.mark.parametrize("took_effect", [True, False])
def test_outcome_is_unknown_until_settled_when_the_store_fails_during_the_write(
    took_effect,
):
    async def scenario():
        store = fakes.FakeStore()

        original = store.compare_and_swap

        async def failing_compare_and_swap(key, value, index):
            if not key.endswith("/head"):
                return await original(key, value, index)
            if took_effect:
                await original(key, value, index)
            store.down = True
            raise exceptions.StoreUnavailableError("the answer was lost")

        store.compare_and_swap = failing_compare_and_swap
        outcome = await apply_set_edit(store, "a", 1, "c1", timeout_s=2.0)
        assert outcome == repositories.Unknown("c1")
        store.down = False
        store.compare_and_swap = original
        settled = await fakes.repository(store).settle("c1")
        if took_effect:
            assert settled == repositories.Accepted(1)
        else:
            assert isinstance(settled, repositories.Rejected)

    asyncio.run(scenario())


def test_in_flight_write_fails_after_its_change_was_settled_as_rejected():
    async def scenario():
        store = fakes.FakeStore()
        await apply_set_edit(store, "a", 1, "c1")
        repository = fakes.repository(store)
        _, modification_index = await repository.read_head()
        assert isinstance(await repository.settle("c2"), repositories.Rejected)
        assert not await store.compare_and_swap(
            "test/head", b"late", modification_index
        )

    asyncio.run(scenario())


def test_concurrent_changes_of_two_shifts_are_both_committed():
    async def scenario():
        store = fakes.FakeStore()

        async def make_concurrent_change():
            outcome = await apply_set_edit(store, "b", 2, "c2")
            assert isinstance(outcome, repositories.Accepted)

        store.before_head_swap = make_concurrent_change
        outcome = await apply_set_edit(store, "a", 1, "c1")
        assert outcome == repositories.Accepted(2)
        configuration, _ = await fakes.repository(store).read_configuration()
        assert sorted(configuration.entry_by_name) == ["a", "b"]

    asyncio.run(scenario())


def test_address_of_another_service_is_rejected():
    async def scenario():
        store = fakes.FakeStore()
        await apply_set_edit(store, "a", 1, "c1")
        outcome = await apply_set_edit(store, "b", 1, "c2")
        assert isinstance(outcome, repositories.Rejected)
        assert "belongs to 'a'" in str(outcome.findings[0])

    asyncio.run(scenario())


def test_additional_address_of_another_service_is_rejected():
    async def scenario():
        store = fakes.FakeStore()
        await apply_set_edit(store, "a", 1, "c1", more_addresses="10.9.8.7:80")
        outcome = await apply_set_edit(
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
def test_every_concurrent_change_is_committed_exactly_once(
    seed, operators, loss_rate
):
    """Runs concurrent changes while responses are lost at random."""
    generator = random.Random(seed)

    class LossyStore(fakes.FakeStore):
        async def compare_and_swap(self, key, value, index):
            if key.endswith("/head") and generator.random() < loss_rate:
                self.lose_response_suffixes.add("/head")
            for _ in range(generator.randrange(4)):
                await asyncio.sleep(0)
            return await super().compare_and_swap(key, value, index)

    async def scenario():
        store = LossyStore()
        outcomes = await asyncio.gather(
            *(
                apply_set_edit(store, f"s{number}", number, f"c{number}")
                for number in range(1, operators + 1)
            )
        )
        configuration, _ = await fakes.repository(store).read_configuration()
        revisions = [outcome.revision for outcome in outcomes]
        assert sorted(revisions) == list(range(1, operators + 1))
        assert configuration.revision == operators
        assert len(configuration.entry_by_name) == operators

    asyncio.run(scenario())


def test_garbage_collection_bounds_the_number_of_stored_values():
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


def test_patches_lead_from_the_first_to_the_latest_revision():
    async def scenario():
        store = fakes.FakeStore()
        for number in range(1, 6):
            await apply_set_edit(store, f"s{number}", number, f"c{number}")
        repository = fakes.repository(store)
        head, _ = await repository.read_head()
        active = adoption.ActiveConfiguration()
        patches = await repository.read_patches(head, 0)
        active.offer_patches(patches)
        configuration, _ = await repository.read_configuration()
        assert active.revision == 5
        assert active.entry_by_name == configuration.entry_by_name
        assert [patch.revision for patch in active.patches_since(3)] == [4, 5]

    asyncio.run(scenario())


def test_lower_revision_is_not_adopted():
    active = adoption.ActiveConfiguration()
    active.offer_snapshot(7, {}, {}, {})
    outcome = active.offer_snapshot(3, {}, {}, {})
    assert outcome == adoption.OlderRevision(3, 7)
    assert active.revision == 7
