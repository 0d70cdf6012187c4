import asyncio
import dataclasses
import socket
import time

import xxhash

from clementinelead.memberships import evacuations
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
from clementinelead.processes import route_queries
from clementinelead.processes import route_watch
from clementinelead.processes import sockets
from clementinelead.relays import route_patches
from clementinelead.relays import routes

JOIN_BOUND_S = 1.0
"""Longest time in which processes that start together must have joined.

Well below the join timeout, after which a process starts on its own.
"""


EVACUATION_BOUND_S = 1.0
"""Longest time until all processes have put an evacuation in force."""

APPLY_BOUND_S = 3.0
"""Longest time until a change is in force, seconds."""

SYNC_BOUND_S = 3.0
"""Longest time in which the syncs after the join must complete all views."""


class RecordingSubscriber:
    def __init__(self):
        self.versions = []
        self.zones = []

    def on_members(self, changes, now):
        pass

    def on_routes(self, table, now):
        self.versions.append(table.version)

    def on_evacuations(self, zones, now):
        self.zones.append(zones)

    def on_tick(self, now):
        pass


def _free_ports():
    """Returns three free ports; all nodes use the same, as in production."""
    probes = []
    for _ in range(3):
        probe = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        probe.bind(("127.0.0.1", 0))
        probes.append(probe)
    ports = [probe.getsockname()[1] for probe in probes]
    for probe in probes:
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
    subscriber = RecordingSubscriber()
    node = relay_node.RelayNode(
        settings, role, (), subscriber, sockets.PreboundSockets()
    )
    return node, subscriber


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


def test_nodes_that_start_at_once_join_within_the_bound():
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


def test_unresponsive_seed_does_not_delay_the_join():
    ports = _free_ports()

    async def never_reply(reader, writer):
        await asyncio.sleep(5.0)

    async def main():
        server = await asyncio.start_server(never_reply, "127.0.0.9", ports[2])
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


def test_process_joins_when_it_receives_the_record_of_a_peer():
    ports = _free_ports()

    async def never_reply(reader, writer):
        await asyncio.sleep(5.0)

    async def main():
        server = await asyncio.start_server(never_reply, "127.0.0.9", ports[2])
        first, _ = _node(2, ports, ("127.0.0.9",))
        second, _ = _node(3, ports, ("127.0.0.2",))

        async def check():
            await _eventually(lambda: first.joining.joined, JOIN_BOUND_S)

        try:
            await _run([first, second], check)
        finally:
            server.close()

    asyncio.run(main())


def test_routes_reach_all_nodes_and_versions_only_increase():
    ports = _free_ports()
    nodes = []
    subscribers = []
    for number in (2, 3, 4):
        node, subscriber = _node(number, ports, ("127.0.0.2",))
        nodes.append(node)
        subscribers.append(subscriber)

    async def check():
        await _eventually(lambda: not nodes[2].is_isolated, JOIN_BOUND_S)
        for version in (5, 9, 7):
            nodes[1].routes.adopt(
                routes.RoutingTable(version, (), 60.0), "test"
            )
        await _eventually(
            lambda: all(node.routes.table.version == 9 for node in nodes), 3.0
        )

    asyncio.run(_run(nodes, check))
    for subscriber in subscribers:
        assert subscriber.versions == sorted(subscriber.versions)


def test_evacuations_reach_all_nodes_and_never_revert():
    ports = _free_ports()
    pairs = [_node(number, ports, ("127.0.0.2",)) for number in (2, 3, 4, 5)]
    nodes = [node for node, _ in pairs]
    late = evacuations.EvacuationState(1, 5, frozenset(("late",)))
    newest = evacuations.EvacuationState(1, 9, frozenset(("a", "b")))

    async def check():
        await _eventually(
            lambda: all(not node.is_isolated for node in nodes), JOIN_BOUND_S
        )
        nodes[1].evacuations.adopt(newest, "store", time.monotonic())
        nodes[2].evacuations.adopt(late, "store", time.monotonic())
        await _eventually(
            lambda: all(node.evacuations.state == newest for node in nodes),
            EVACUATION_BOUND_S,
        )

    asyncio.run(_run(nodes, check))
    for _, subscriber in pairs:
        assert subscriber.zones[-1] == newest.zones
        assert newest.zones not in subscriber.zones[:-1]


def test_starting_process_receives_the_evacuations_of_a_peer():
    ports = _free_ports()
    first, _ = _node(2, ports, ("127.0.0.2",))
    second, subscriber = _node(3, ports, ("127.0.0.2",))
    state = evacuations.EvacuationState(3, 9, frozenset(("a",)))
    first.evacuations.adopt(state, "store", time.monotonic())

    async def check():
        await _eventually(
            lambda: second.evacuations.state == state, EVACUATION_BOUND_S
        )

    asyncio.run(_run([first, second], check))
    assert subscriber.zones == [state.zones]


def _predecessor_ahead(record, milliseconds):
    """Returns the record of a predecessor whose clock was ahead."""
    return dataclasses.replace(
        record,
        incarnation=record.incarnation + milliseconds,
        sequence=40,
        state=records.State.READY,
    )


def test_record_supersedes_predecessor_whose_clock_was_ahead():
    ports = _free_ports()
    first, _ = _node(2, ports, ())
    second, _ = _node(3, ports, ("127.0.0.2",), name="again")
    ahead = _predecessor_ahead(second.gossiper.own, 5_000)
    first.gossiper.merge((ahead,), time.monotonic())

    async def check():
        await _eventually(
            lambda: first.gossiper.table.by_id["again"].version > ahead.version,
            JOIN_BOUND_S,
        )

    asyncio.run(_run([first, second], check))


def test_member_contacts_isolated_process_whose_clock_was_set_back():
    ports = _free_ports()
    first, _ = _node(2, ports, ())
    second, _ = _node(3, ports, ("127.0.0.9",), name="again")
    ahead = _predecessor_ahead(second.gossiper.own, 8_000)
    first.gossiper.merge((ahead,), time.monotonic())

    async def check():
        await _eventually(
            lambda: (
                first.gossiper.table.by_id["again"].version > ahead.version
                and not second.is_isolated
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


def test_process_without_live_seeds_joins_through_contact_keys():
    ports = _free_ports()
    keys = Keys()
    first, _ = _node(2, ports, ())
    second, _ = _node(3, ports, ("127.0.0.9",))
    count = contact_keys.SideCount()
    holder = contact_keys.ContactHolder(first, keys, count, first.random)

    async def check():
        first.supervise("holder", holder.run)
        finder = contact_keys.ContactFinder(second, keys, second.random)
        second.supervise("finder", finder.run)
        bound_s = (
            2 * contact_keys.ISOLATION_CHECK_INTERVAL_S
            + contact_keys.CHECK_INTERVAL_S
        )
        await _eventually(
            lambda: not first.is_isolated and not second.is_isolated,
            joining.JOIN_TIMEOUT_S + bound_s,
        )

    asyncio.run(_run([first, second], check))


def test_balancer_introduces_itself_to_side_processes_in_contact_keys():
    # After a loss of all instances the seeds of a side process may be the last
    # to start.
    ports = _free_ports()
    keys = Keys()
    balancer, _ = _node(2, ports, ())
    side, _ = _node(3, ports, ("127.0.0.9",), records.Role.SIDE)
    side_addresses = (side.gossiper.own.control_address,)
    contact = contact_keys.Contact("127.0.0.8", 1, side_addresses)
    keys.contact_by_id["ended"] = contact
    finder = contact_keys.ContactFinder(balancer, keys, balancer.random)

    async def check():
        balancer.joining.joined = True
        started_at = time.monotonic()
        count = contact_keys.SideCount()
        balancer.supervise(
            "count", lambda: finder.read_side_count(count, started_at + 1.0)
        )
        await _eventually(lambda: not balancer.is_isolated, JOIN_BOUND_S)
        assert side.joining.joined

    asyncio.run(_run([balancer, side], check))


def test_restarted_side_process_may_have_a_predecessor():
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
        assert second.joining.may_have_predecessor(time.monotonic())
        await _eventually(lambda: second.joining.joined, JOIN_BOUND_S)
        for _ in range(5):
            await asyncio.sleep(joining.PREDECESSOR_WAIT_S)
            assert second.joining.may_have_predecessor(time.monotonic())

    asyncio.run(_run([first, second], check))


def test_side_process_has_no_predecessor_if_peers_return_none():
    ports = _free_ports()
    first, _ = _node(2, ports, ())
    second, _ = _node(3, ports, ("127.0.0.2",), records.Role.SIDE)

    async def check():
        await _eventually(lambda: second.joining.joined, JOIN_BOUND_S)
        await _eventually(
            lambda: not second.joining.may_have_predecessor(time.monotonic()),
            2 * joining.PREDECESSOR_WAIT_S,
        )

    asyncio.run(_run([first, second], check))


async def _fetch_routes(address, table):
    """Applies the patch of a peer to a table; None if there is no patch."""
    patch = await route_queries.fetch_patch(
        address, table.version, with_former=False, timeout_s=1.0
    )
    return patch and route_patches.apply_patch(table, patch)


def _route(address):
    return routes.Route("r", address, (routes.Share("s", 1),))


def test_patch_for_the_previous_version_contains_only_changed_routes():
    ports = _free_ports()
    node, _ = _node(2, ports, ())
    address = ("127.0.0.2", ports[2])
    old = routes.RoutingTable(5, (_route(b"a"), _route(b"b")), 60.0)
    new = routes.RoutingTable(9, (_route(b"a"), _route(b"c")), 60.0)

    async def get(path):
        return await http_client.call(address, "GET", path, b"", 1.0)

    async def check():
        node.routes.adopt(old, "test")
        node.routes.adopt(new, "test")
        answer = await get(f"{route_queries.PATCH_PATH}?since=5")
        patch = route_patches.decode(answer.body)
        assert patch.changed == (_route(b"c"),)
        assert patch.removed == (b"b",)
        fetched = await _fetch_routes(address, old)
        assert fetched.by_address == new.by_address
        assert await _fetch_routes(address, new) is None
        other = routes.RoutingTable(7, (), 60.0)
        assert await _fetch_routes(address, other) == new
        assert await _fetch_routes(address, routes.EMPTY) == new

    asyncio.run(_run([node], check))


def test_starting_process_fetches_former_services_from_a_peer():
    ports = _free_ports()
    first, _ = _node(2, ports, ())
    second, _ = _node(3, ports, ("127.0.0.2",))
    now = time.monotonic()
    first.routes.former_services.complete_from = now
    first.routes.adopt(routes.RoutingTable(5, (_route(b"a"),), 60.0), "test")
    first.routes.adopt(routes.RoutingTable(9, (), 60.0), "test")
    # The newest routes arrive from the store before the reply of the peer.
    second.routes.adopt(routes.RoutingTable(9, (), 60.0), "test")

    async def check():
        await _eventually(
            lambda: second.routes.former_services.snapshot(time.monotonic()),
            JOIN_BOUND_S,
        )
        assert second.routes.former_services.services(b"a") == {"s"}

    asyncio.run(_run([first, second], check))


def _add_balancers(node, zone, count):
    """Adds balancers of a zone to the member table of a node."""
    for number in range(count):
        other = dataclasses.replace(
            node.gossiper.own, id=f"{zone}{number}", zone=zone
        )
        node.gossiper.merge((other,), 0.0)


def test_balancer_is_no_watcher_among_many_balancers_of_its_zone():
    node, _ = _node(2, (1, 2, 3), ())
    _add_balancers(node, "other", 50)
    assert node.is_watcher
    _add_balancers(node, "z", 50)
    assert not node.is_watcher


def test_route_watch_queries_the_store_only_as_watcher(monkeypatch):
    monkeypatch.setattr(route_watch, "WATCHER_CHECK_INTERVAL_S", 0.01)
    node, _ = _node(2, (1, 2, 3), ())
    _add_balancers(node, "z", 50)
    queries = []

    class Source:
        async def next(self):
            queries.append(1)
            await asyncio.sleep(0.01)
            return route_watch.Unchanged()

    async def check():
        task = asyncio.create_task(route_watch.RouteWatch(node, Source()).run())
        await asyncio.sleep(0.05)
        assert not queries
        for other in node.gossiper.peers():
            left = dataclasses.replace(
                other, sequence=9, state=records.State.LEAVING
            )
            node.gossiper.merge((left,), 1.0)
        await _eventually(lambda: queries, 1.0)
        task.cancel()

    asyncio.run(check())


class RefusingSource:
    """A store that turns this process away."""

    async def next(self):
        return route_watch.Failed("status 503", True)


class ChangeableSource:
    """A store that serves this process."""

    def __init__(self):
        self.version = 1
        self._read_version = 0

    async def next(self):
        while self.version == self._read_version:
            await asyncio.sleep(0.01)
        self._read_version = self.version
        table = routes.RoutingTable(self.version, (), 60.0)
        return route_watch.Changed(table)


def test_change_is_adopted_if_the_store_turns_away_all_watchers():
    # The balancer that the store serves is not one of its zone's watchers.
    ports = _free_ports()
    nodes = [_node(number, ports, ("127.0.0.2",))[0] for number in (2, 3, 4, 5)]
    serving = ChangeableSource()

    async def check():
        await _eventually(
            lambda: all(len(node.gossiper.peers()) == 3 for node in nodes),
            JOIN_BOUND_S + SYNC_BOUND_S,
        )
        watchers = [node for node in nodes if node.is_watcher]
        others = [node for node in nodes if not node.is_watcher]
        assert len(watchers) == len(others) == 2
        refusing = RefusingSource()
        for node in (*watchers, others[0]):
            watch = route_watch.RouteWatch(node, refusing)
            node.supervise("watch", watch.run)
        watch = route_watch.RouteWatch(others[1], serving)
        others[1].supervise("watch", watch.run)
        serving.version = 7
        await _eventually(
            lambda: all(node.routes.table.version == 7 for node in nodes),
            APPLY_BOUND_S,
        )

    asyncio.run(_run(nodes, check))


def test_balancer_without_contact_to_peers_reads_changes_itself(monkeypatch):
    # It is none of its zone's watchers, and the store answers it.
    ports = _free_ports()
    nodes = [_node(number, ports, ("127.0.0.2",))[0] for number in range(2, 9)]
    serving = ChangeableSource()

    async def check():
        await _eventually(
            lambda: all(len(node.gossiper.peers()) == 6 for node in nodes),
            JOIN_BOUND_S + SYNC_BOUND_S,
        )
        cut = max(
            nodes,
            key=lambda node: xxhash.xxh3_64_intdigest(
                node.gossiper.own.id.encode()
            ),
        )
        assert not cut.is_watcher
        watch = route_watch.RouteWatch(cut, serving)
        cut.supervise("watch", watch.run)
        monkeypatch.setattr(cut, "_on_control", lambda *_: None)
        monkeypatch.setattr(cut._channel, "_receiver", lambda *_: None)
        monkeypatch.setattr(cut._channel, "send", lambda message: None)
        serving.version = 7
        await _eventually(lambda: cut.routes.table.version == 7, APPLY_BOUND_S)

    asyncio.run(_run(nodes, check))


def test_joining_process_gets_the_complete_view(monkeypatch):
    monkeypatch.setattr(member_exchange, "SAMPLE_MEMBERS", 2)
    ports = _free_ports()
    seed = ("127.0.0.2",)
    nodes = [_node(2, ports, ())[0]]
    nodes += [_node(number, ports, seed)[0] for number in range(3, 9)]
    starting, _ = _node(9, ports, seed, records.Role.SIDE)

    async def check():
        await _eventually(
            lambda: all(len(node.gossiper.peers()) == 6 for node in nodes),
            JOIN_BOUND_S + SYNC_BOUND_S,
        )
        await starting.start(asyncio.Event())
        await _eventually(
            lambda: (
                starting.joining.has_full_view
                and len(starting.gossiper.peers()) == len(nodes)
            ),
            JOIN_BOUND_S,
        )
        await starting.stop()

    asyncio.run(_run(nodes, check))


def test_syncs_complete_the_views_of_many_starts_without_gossip(monkeypatch):
    # Many starts at once exhaust the small budget of gossip.
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
            JOIN_BOUND_S + SYNC_BOUND_S,
        )

    asyncio.run(_run(nodes, check))


def _query_members(node, query):
    request = http_site.Request(
        "POST",
        member_exchange.MEMBERS_PATH,
        query,
        controls.encode_records([]),
    )
    response = node.joining._exchange._serve_members(request)
    body = compression.decompress(response.body)
    return response.status, controls.decode_records(body)


def test_seed_returns_a_sample_and_the_record_of_the_requester():
    node, _ = _node(2, (1, 2, 3), ())
    _add_balancers(node, "z", 60)
    status, returned = _query_members(node, {"id": "z59"})
    assert status == http_site.PARTIAL_CONTENT
    assert len(returned) <= member_exchange.SAMPLE_MEMBERS + 2
    assert "z59" in {record.id for record in returned}
    status, returned = _query_members(node, {"id": "x", "whole": "1"})
    assert (status, len(returned)) == (http_site.OK, 60)


def test_sync_of_differences_returns_only_differing_buckets():
    ports = _free_ports()
    first, _ = _node(2, ports, ())
    second, _ = _node(3, ports, ())
    _add_balancers(first, "z", 60)
    second.gossiper.merge(tuple(first.gossiper.table.by_id.values()), 0.0)
    missing = dataclasses.replace(first.gossiper.own, id="new")
    first.gossiper.merge((missing,), 0.0)

    async def check():
        exchange = second.joining._exchange
        difference = member_exchange.Scope.DIFFERENCE
        view = await exchange.query("127.0.0.2", 1.0, difference)
        assert view.complete
        returned_ids = {record.id for record in view.records}
        assert "new" in returned_ids
        assert len(returned_ids) < 10
        second.gossiper.merge(view.records, 0.0)
        first.gossiper.merge((second.gossiper.own,), 0.0)
        view = await exchange.query("127.0.0.2", 1.0, difference)
        assert len(view.records) <= 2

    asyncio.run(_run([first, second], check))
