"""Tests the store's client against a stand-in with Consul's interface."""

import asyncio

import aiohttp
from aiohttp import test_utils
import pytest

from clementinelead import exceptions
from clementinelead.configurations import edits
from clementinelead.configurations import repositories
from clementinelead.configurations.tests import fakes
from clementinelead.memberships import records
from clementinelead.processes import contacts
from clementinelead.processes import node as node_module
from clementinelead.settings import models
from clementinelead.stores import consul
from clementinelead.stores import protocols
from standins import store as store_module


def run(scenario):
    async def supervised():
        standin = store_module.StandInStore(1)
        server = test_utils.TestServer(standin.application())
        await server.start_server()
        async with aiohttp.ClientSession() as session:
            client = consul.ConsulStore(session, str(server.make_url("")), 1.0)
            await scenario(standin, client)
        await server.close()

    asyncio.run(supervised())


def test_compare_and_swap_needs_the_current_index():
    async def scenario(_, client):
        assert await client.get("k") == protocols.ABSENT
        assert await client.compare_and_swap("k", b"one", 0)
        assert not await client.compare_and_swap("k", b"two", 0)
        entry = await client.get("k")
        assert entry.value == b"one"
        assert await client.compare_and_swap("k", b"two", entry.index)
        await client.delete("k")
        assert await client.get("k") == protocols.ABSENT

    run(scenario)


def test_watch_returns_when_the_value_changes_and_counts_as_one_call():
    async def scenario(_, client):
        await client.compare_and_swap("k", b"one", 0)
        index = (await client.get("k")).index
        watch = asyncio.ensure_future(client.watch("k", index, 10.0))
        await asyncio.sleep(0.05)
        assert not watch.done()
        await client.compare_and_swap("k", b"two", index)
        assert (await watch).value == b"two"
        assert client.calls["watch"] == 1

    run(scenario)


def test_write_with_a_lost_response_is_not_reported_as_done():
    async def scenario(standin, client):
        standin.faults.lose_answers = 1.0
        try:
            assert not await client.compare_and_swap("k", b"one", 0)
        except exceptions.StoreUnavailableError:
            pass
        standin.faults.lose_answers = 0.0
        assert (await client.get("k")).value == b"one"

    run(scenario)


def test_change_is_unknown_after_a_lost_response_and_an_outage():
    """Guards against a false rejection.

    The HTTP client retries a write whose response was lost, and the retry
    fails because the index has changed by the first request.
    """

    async def scenario(standin, client):
        repository = fakes.repository(client)
        author = fakes.author("c1")
        edit = edits.set_edit("a", fakes.service("a").model_dump(), author)
        original = client.compare_and_swap

        async def failing_compare_and_swap(key, value, index):
            if not key.endswith("/head"):
                return await original(key, value, index)
            standin.faults.lose_answers = 1.0
            try:
                return await original(key, value, index)
            finally:
                standin.faults = store_module._Faults(down=True)

        client.compare_and_swap = failing_compare_and_swap
        outcome = await repository.change(edit, author, 3.0)
        assert outcome == repositories.Unknown("c1")
        standin.faults = store_module._Faults()
        client.compare_and_swap = original
        assert await repository.settle("c1") == repositories.Accepted(1)

    run(scenario)


@pytest.mark.parametrize("fault", [{"down": True}, {"delay_s": 3.0}])
def test_store_that_is_down_or_too_slow_is_unavailable(fault):
    async def scenario(standin, client):
        standin.faults = store_module._Faults(**fault)
        with pytest.raises(exceptions.StoreUnavailableError):
            await client.get("k")

    run(scenario)


def test_key_is_deleted_when_its_lease_expires():
    async def scenario(standin, client):
        lease = await client.lease("k", b"me", 30.0)
        assert await client.lease("k", b"you", 30.0) is None
        assert await client.renew(lease)
        standin.faults.lapse = True
        await client.get("other")
        standin.faults.lapse = False
        assert not await client.renew(lease)
        assert await client.scan("") == {}

    run(scenario)


def make_node(name, port):
    return node_module.Node(
        models.Node(
            id=name,
            region="north",
            zone="north-a",
            address="127.0.0.1",
            data_port=port,
            control_port=port + 1,
            http_port=port + 2,
        ),
        models.Cluster(name="majlis", keys=("key",)),
        records.Role.BALANCER,
        (),
        1.0,
        node_module.Subscriber(),
    )


def test_new_node_without_seeds_finds_a_contact_key_until_its_lease_expires():
    async def scenario(standin, client):
        first, newcomer = make_node("b1", 21000), make_node("b2", 21010)
        holder = contacts.ContactHolder(first, client, "majlis")
        await holder.step()
        finder = contacts.ContactFinder(newcomer, client, "majlis")
        await finder.step()
        sends, _ = newcomer.gossiper.on_tick(10.0**9)
        assert [send.address for send in sends] == [("127.0.0.1", 21001)]
        standin.faults.lapse = True
        await client.get("other")
        standin.faults.lapse = False
        assert await client.scan("majlis") == {}
        await holder.step()
        assert list(await client.scan("majlis")) == [
            "majlis/contacts/north-a/b1"
        ]
        await holder.release()
        assert await client.scan("majlis") == {}

    run(scenario)


def test_invalid_contact_key_is_ignored():
    async def scenario(_, client):
        await client.compare_and_swap("majlis/contacts/a/b", b"\xff", 0)
        await client.compare_and_swap("majlis/contacts/a/c", b"nowhere", 0)
        newcomer = make_node("b2", 21010)
        await contacts.ContactFinder(newcomer, client, "majlis").step()
        sends, _ = newcomer.gossiper.on_tick(10.0**9)
        assert sends == []

    run(scenario)


def test_duplicate_seed_is_added_once():
    gossiper = make_node("b1", 21000).gossiper
    gossiper.add_seeds((("10.0.0.1", 1), ("10.0.0.1", 1)))
    gossiper.add_seeds((("10.0.0.1", 1),))
    sends, _ = gossiper.on_tick(10.0**9)
    assert len(sends) == 1
