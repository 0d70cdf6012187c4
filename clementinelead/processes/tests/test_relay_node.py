import asyncio
import dataclasses
import socket
import time

from clementinelead.memberships import records
from clementinelead.messages import compression
from clementinelead.messages import controls
from clementinelead.processes import contact_keys
from clementinelead.processes import http_client
from clementinelead.processes import http_site
from clementinelead.processes import joining
from clementinelead.processes import member_exchange
from clementinelead.processes import relay_node
from clementinelead.processes import relay_settings
from clementinelead.processes import route_questions
from clementinelead.processes import route_watch
from clementinelead.processes import sockets
from clementinelead.relays import route_patches
from clementinelead.relays import routes

JOIN_BOUND_S = 1.0
"""Time in which processes that start together know each other.

Well below the seconds after which a process would start alone.
"""


RESYNC_BOUND_S = 3.0
"""Time in which views agree that are compared after a start."""


class Listener:
    def __init__(self):
        self.versions = []

    def on_members(self, changes, now):
        pass

    def on_routes(self, table, now):
        self.versions.append(table.version)

    def on_tick(self, now):
        pass


def _free_ports():
    """Returns three free ports; all nodes use the same, as in production."""
    found = []
    for _ in range(3):
        probe = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        probe.bind(("127.0.0.1", 0))
        found.append(probe)
    ports = [probe.getsockname()[1] for probe in found]
    for probe in found:
        probe.close()
    return ports


def _node(number, ports, seeds, role=records.Role.BALANCER, name=""):
    settings = relay_settings.RelaySettings(
        id=name or f"node{number}",
        cluster="test",
        region="r",
        zone="z",
        address=f"127.0.0.{number}",
        data_port=ports[0],
        control_port=ports[1],
        http_port=ports[2],
        metrics_port=0,
        seeds=seeds,
        stop_s=1.0,
        heartbeat_s=1.0,
    )
    listener = Listener()
    node = relay_node.RelayNode(
        settings, role, (), listener, sockets.PreboundSockets()
    )
    return node, listener


async def _eventually(condition, bound_s):
    deadline = time.monotonic() + bound_s
    while not condition():
        assert time.monotonic() < deadline, "not in time"
        await asyncio.sleep(0.01)


async def _run(nodes, check):
    for node in nodes:
        await node.start(asyncio.Event())
    try:
        await check()
    finally:
        for node in nodes:
            await node.stop()


def test_nodes_that_start_together_join_without_waiting_for_each_other():
    ports = _free_ports()
    seeds = ("127.0.0.2", "127.0.0.3")
    nodes = [_node(number, ports, seeds)[0] for number in (2, 3, 4)]

    async def check():
        await _eventually(
            lambda: all(
                len(node.gossiper.table.by_id) == len(nodes) for node in nodes
            ),
            JOIN_BOUND_S,
        )

    asyncio.run(_run(nodes, check))


def test_seed_that_does_not_answer_does_not_delay_the_join():
    ports = _free_ports()

    async def silent(reader, writer):
        await asyncio.sleep(5.0)

    async def main():
        server = await asyncio.start_server(silent, "127.0.0.9", ports[2])
        nodes = [
            _node(2, ports, ("127.0.0.9",))[0],
            _node(3, ports, ("127.0.0.9", "127.0.0.2"))[0],
        ]

        async def check():
            await _eventually(lambda: nodes[1].joining.joined, JOIN_BOUND_S)

        try:
            await _run(nodes, check)
        finally:
            server.close()

    asyncio.run(main())


def test_process_that_a_peer_has_told_of_itself_has_joined():
    ports = _free_ports()

    async def silent(reader, writer):
        await asyncio.sleep(5.0)

    async def main():
        server = await asyncio.start_server(silent, "127.0.0.9", ports[2])
        first, _ = _node(2, ports, ("127.0.0.9",))
        second, _ = _node(3, ports, ("127.0.0.2",))

        async def check():
            await _eventually(lambda: first.joining.joined, JOIN_BOUND_S)

        try:
            await _run([first, second], check)
        finally:
            server.close()

    asyncio.run(main())


def test_routes_reach_all_and_never_go_back():
    ports = _free_ports()
    nodes = []
    listeners = []
    for number in (2, 3, 4):
        node, listener = _node(number, ports, ("127.0.0.2",))
        nodes.append(node)
        listeners.append(listener)

    async def check():
        await _eventually(lambda: not nodes[2].alone, JOIN_BOUND_S)
        for version in (5, 9, 7):
            nodes[1].routes.adopt(
                routes.RoutingTable(version, (), 60.0), "test"
            )
        await _eventually(
            lambda: all(node.routes.table.version == 9 for node in nodes), 3.0
        )

    asyncio.run(_run(nodes, check))
    for listener in listeners:
        assert listener.versions == sorted(listener.versions)


def _ahead(record, milliseconds):
    """Returns the record of a predecessor whose clock was ahead."""
    return dataclasses.replace(
        record,
        incarnation=record.incarnation + milliseconds,
        sequence=40,
        state=records.State.READY,
    )


def test_process_whose_clock_went_back_outranks_its_predecessor():
    ports = _free_ports()
    first, _ = _node(2, ports, ())
    second, _ = _node(3, ports, ("127.0.0.2",), name="again")
    ahead = _ahead(second.gossiper.own, 5_000)
    first.gossiper.merge((ahead,), time.monotonic())

    async def check():
        await _eventually(
            lambda: first.gossiper.table.by_id["again"].version > ahead.version,
            JOIN_BOUND_S,
        )

    asyncio.run(_run([first, second], check))


def test_members_find_a_process_whose_clock_went_back_and_knows_nobody():
    ports = _free_ports()
    first, _ = _node(2, ports, ())
    second, _ = _node(3, ports, ("127.0.0.9",), name="again")
    ahead = _ahead(second.gossiper.own, 8_000)
    first.gossiper.merge((ahead,), time.monotonic())

    async def check():
        await _eventually(
            lambda: (
                first.gossiper.table.by_id["again"].version > ahead.version
                and not second.alone
            ),
            3 * JOIN_BOUND_S,
        )

    asyncio.run(_run([first, second], check))


class Keys:
    """Contact keys in memory."""

    def __init__(self):
        self.contact_by_id = {}

    async def hold(self, identifier, contact, lease_s):
        self.contact_by_id[identifier] = contact

    async def find(self):
        return tuple(self.contact_by_id.values())


def test_process_whose_seeds_are_gone_finds_peers_by_contact_keys():
    ports = _free_ports()
    keys = Keys()
    first, _ = _node(2, ports, ())
    second, _ = _node(3, ports, ("127.0.0.9",))
    count = contact_keys.SideCount()
    holder = contact_keys.ContactHolder(first, keys, count, first.random)

    async def check():
        first.keep("holder", holder.run)
        finder = contact_keys.ContactFinder(second, keys, second.random)
        second.keep("finder", finder.run)
        bound_s = 2 * contact_keys.ALONE_S + contact_keys.CHECK_S
        await _eventually(
            lambda: not first.alone and not second.alone,
            joining.ALONE_S + bound_s,
        )

    asyncio.run(_run([first, second], check))


def test_side_process_whose_seeds_are_gone_is_greeted_by_a_balancer():
    # As after a loss of all machines, when its seeds are the last to start.
    ports = _free_ports()
    keys = Keys()
    balancer, _ = _node(2, ports, ())
    side, _ = _node(3, ports, ("127.0.0.9",), records.Role.SIDE)
    named = (side.gossiper.own.control_address,)
    contact = contact_keys.Contact("127.0.0.8", 1, named)
    keys.contact_by_id["gone"] = contact
    finder = contact_keys.ContactFinder(balancer, keys, balancer.random)

    async def check():
        balancer.joining.joined = True
        begun = time.monotonic()
        count = contact_keys.SideCount()
        balancer.keep("count", lambda: finder.count(count, begun + 1.0))
        await _eventually(lambda: not balancer.alone, JOIN_BOUND_S)
        assert side.joining.joined

    asyncio.run(_run([balancer, side], check))


def test_side_process_that_restarts_knows_that_it_succeeds_another():
    ports = _free_ports()
    first, _ = _node(2, ports, ())
    second, _ = _node(3, ports, ("127.0.0.2",), records.Role.SIDE, "again")
    before = dataclasses.replace(
        second.gossiper.own,
        incarnation=second.gossiper.own.incarnation - 5_000,
        state=records.State.READY,
    )
    first.gossiper.merge((before,), time.monotonic())

    async def check():
        assert second.joining.succeeds(time.monotonic())
        await _eventually(lambda: second.joining.joined, JOIN_BOUND_S)
        for _ in range(5):
            await asyncio.sleep(joining.ORIENTED_S)
            assert second.joining.succeeds(time.monotonic())

    asyncio.run(_run([first, second], check))


def test_side_process_whose_peers_knew_no_other_is_the_first():
    ports = _free_ports()
    first, _ = _node(2, ports, ())
    second, _ = _node(3, ports, ("127.0.0.2",), records.Role.SIDE)

    async def check():
        await _eventually(lambda: second.joining.joined, JOIN_BOUND_S)
        await _eventually(
            lambda: not second.joining.succeeds(time.monotonic()),
            2 * joining.ORIENTED_S,
        )

    asyncio.run(_run([first, second], check))


async def _fetched(address, table):
    """Returns the routes that a peer leads to, None if it has no others."""
    patch = await route_questions.fetch_patch(
        address, table.version, with_former=False, timeout_s=1.0
    )
    return patch and route_patches.apply_patch(table, patch)


def _route(address):
    return routes.Route("r", address, (routes.Share("s", 1),))


def test_peer_that_is_a_version_behind_fetches_only_what_has_changed():
    ports = _free_ports()
    node, _ = _node(2, ports, ())
    address = ("127.0.0.2", ports[2])
    old = routes.RoutingTable(5, (_route(b"a"), _route(b"b")), 60.0)
    new = routes.RoutingTable(9, (_route(b"a"), _route(b"c")), 60.0)

    async def fetched(path):
        return await http_client.call(address, "GET", path, b"", 1.0)

    async def check():
        node.routes.adopt(old, "test")
        node.routes.adopt(new, "test")
        answer = await fetched(f"{route_questions.PATCH_PATH}?since=5")
        patch = route_patches.decode(answer.body)
        assert patch.changed == (_route(b"c"),)
        assert patch.removed == (b"b",)
        found = await _fetched(address, old)
        assert found.by_address == new.by_address
        assert await _fetched(address, new) is None
        assert await _fetched(address, routes.RoutingTable(7, (), 60.0)) == new
        assert await _fetched(address, routes.EMPTY) == new

    asyncio.run(_run([node], check))


def test_process_that_starts_learns_of_former_services_from_a_peer():
    ports = _free_ports()
    first, _ = _node(2, ports, ())
    second, _ = _node(3, ports, ("127.0.0.2",))
    now = time.monotonic()
    first.routes.former.complete_from = now
    first.routes.adopt(routes.RoutingTable(5, (_route(b"a"),), 60.0), "test")
    first.routes.adopt(routes.RoutingTable(9, (), 60.0), "test")
    # The store has told the newest routes before the peer answers.
    second.routes.adopt(routes.RoutingTable(9, (), 60.0), "test")

    async def check():
        await _eventually(
            lambda: second.routes.former.snapshot(time.monotonic()),
            JOIN_BOUND_S,
        )
        assert second.routes.former.services(b"a") == {"s"}

    asyncio.run(_run([first, second], check))


def _crowd(node, zone, count):
    """Lets a node know of balancers, more than look for news themselves."""
    for number in range(count):
        other = dataclasses.replace(
            node.gossiper.own, id=f"{zone}{number}", zone=zone
        )
        node.gossiper.merge((other,), 0.0)


def test_two_balancers_of_a_zone_watch_the_store():
    node, _ = _node(2, (1, 2, 3), ())
    _crowd(node, "other", 50)
    assert node.is_watcher
    _crowd(node, "z", 50)
    assert not node.is_watcher


def test_balancer_that_does_not_watch_asks_the_store_for_nothing(monkeypatch):
    monkeypatch.setattr(route_watch, "IDLE_S", 0.01)
    node, _ = _node(2, (1, 2, 3), ())
    _crowd(node, "z", 50)
    asked = []

    class Source:
        async def next(self):
            asked.append(1)
            await asyncio.sleep(0.01)
            return route_watch.Unchanged()

    async def check():
        task = asyncio.create_task(route_watch.RouteWatch(node, Source()).run())
        await asyncio.sleep(0.05)
        assert not asked
        for other in node.gossiper.peers():
            left = dataclasses.replace(
                other, sequence=9, state=records.State.LEAVING
            )
            node.gossiper.merge((left,), 1.0)
        await _eventually(lambda: asked, 1.0)
        task.cancel()

    asyncio.run(check())


def test_process_that_joins_learns_all_members(monkeypatch):
    monkeypatch.setattr(member_exchange, "SAMPLE_MEMBERS", 2)
    ports = _free_ports()
    seed = ("127.0.0.2",)
    nodes = [_node(2, ports, ())[0]]
    nodes += [_node(number, ports, seed)[0] for number in range(3, 9)]
    starting, _ = _node(9, ports, seed, records.Role.SIDE)

    async def check():
        await _eventually(
            lambda: all(len(node.gossiper.peers()) == 6 for node in nodes),
            JOIN_BOUND_S + RESYNC_BOUND_S,
        )
        await starting.start(asyncio.Event())
        await _eventually(
            lambda: (
                starting.joining.viewed
                and len(starting.gossiper.peers()) == len(nodes)
            ),
            JOIN_BOUND_S,
        )
        await starting.stop()

    asyncio.run(_run(nodes, check))


def test_views_of_many_that_start_at_once_agree_without_gossip(monkeypatch):
    # Gossip has a small budget, which many starts exhaust.
    monkeypatch.setattr(member_exchange, "SAMPLE_MEMBERS", 1)
    ports = _free_ports()
    nodes = [
        _node(number, ports, ("127.0.0.2", "127.0.0.3"))[0]
        for number in range(2, 18)
    ]
    for node in nodes:
        monkeypatch.setattr(node._channel, "send", lambda message: None)

    async def check():
        await _eventually(
            lambda: all(
                len(node.gossiper.peers()) == len(nodes) - 1 for node in nodes
            ),
            JOIN_BOUND_S + RESYNC_BOUND_S,
        )

    asyncio.run(_run(nodes, check))


def _exchange_page(node, query):
    request = http_site.Request(
        "POST",
        member_exchange.MEMBERS_PATH,
        query,
        controls.encode_records([]),
    )
    response = node.joining._exchange._serve_members(request)
    body = compression.decompress(response.body)
    return response.status, controls.decode_records(body)


def test_seed_tells_of_a_few_members_and_the_asker():
    node, _ = _node(2, (1, 2, 3), ())
    _crowd(node, "z", 60)
    status, several = _exchange_page(node, {"id": "z59"})
    assert status == http_site.PARTIAL_CONTENT
    assert len(several) <= member_exchange.SAMPLE_MEMBERS + 2
    assert "z59" in {record.id for record in several}
    status, several = _exchange_page(node, {"id": "x", "whole": "1"})
    assert (status, len(several)) == (http_site.OK, 60)


def test_views_are_compared_by_digests():
    ports = _free_ports()
    first, _ = _node(2, ports, ())
    second, _ = _node(3, ports, ())
    _crowd(first, "z", 60)
    second.gossiper.merge(tuple(first.gossiper.table.by_id.values()), 0.0)
    missing = dataclasses.replace(first.gossiper.own, id="new")
    first.gossiper.merge((missing,), 0.0)

    async def check():
        exchange = second.joining._exchange
        difference = member_exchange.Scope.DIFFERENCE
        view = await exchange.ask("127.0.0.2", 1.0, difference)
        assert view.whole
        told = {record.id for record in view.records}
        assert "new" in told
        assert len(told) < 10
        second.gossiper.merge(view.records, 0.0)
        first.gossiper.merge((second.gossiper.own,), 0.0)
        view = await exchange.ask("127.0.0.2", 1.0, difference)
        assert len(view.records) <= 2

    asyncio.run(_run([first, second], check))
