"""Announcements, failure detection and refutation without sockets."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies
import pytest

from bench import gossip_network
from clementinelead.memberships import gossip
from clementinelead.memberships import members
from clementinelead.memberships import options
from clementinelead.memberships import records
from clementinelead.memberships.tests import samples
from clementinelead.memberships.tests import test_authentication
from clementinelead.messages import controls


def network(count=12, seed=1, **link):
    made = gossip_network.GossipNetwork(
        count, 3, seed, gossip_network.Link(**link)
    )
    made.run(2.0)
    return made


def test_all_hear_of_a_join_a_leave_and_a_death():
    net = network()
    name = net.join()
    assert net.time_until(name, len(net.nodes), 10.0) < 10.0
    net.leave(name)
    assert net.time_until(name, 0, 10.0) < 10.0
    net.kill(name)
    name = net.join()
    net.run(3.0)
    net.kill(name)
    assert net.time_until(name, 0, 20.0) < 20.0


def test_nobody_is_declared_dead_by_loss_alone():
    net = network(loss=0.2)
    net.run(20.0)
    assert net.dead_seen == []


def test_a_paused_process_comes_back_and_distrusts_its_view():
    net = network()
    net.paused.add("node-3")
    assert net.time_until("node-3", 1, 20.0) < 20.0
    net.paused.clear()
    net.tick()
    assert not net.nodes["node-3"].view_is_current
    assert net.time_until("node-3", len(net.nodes), 20.0) < 20.0
    assert net.nodes["node-3"].view_is_current


def test_two_parts_that_meet_again_know_each_other():
    net = network()
    net.cut = {frozenset(("zone-0", "zone-1")), frozenset(("zone-0", "zone-2"))}
    net.run(20.0)
    assert net.knowing("node-0") < len(net.nodes)
    net.cut = set()
    net.run(40.0)
    for name in net.nodes:
        assert net.knowing(name) == len(net.nodes)


def test_a_second_process_with_the_same_identifier_is_noticed():
    net = network()
    node = net.nodes["node-1"]
    twin = dataclasses.replace(
        node.own, incarnation=node.own.incarnation + 1, address="10.0.9.9"
    )
    net.nodes["node-2"].merge((twin,), net.now)
    sends, _ = net.nodes["node-2"].announce(net.now)
    assert not node.duplicate_identifier
    control = test_authentication.controls.Control(
        "node-2", 1002, 10**6, 1, 0, (twin,), test_authentication.BODIES[0]
    )
    node.on_control(control, ("10.0.0.2", 7001), net.now)
    assert node.duplicate_identifier
    assert sends


RECORDS = strategies.builds(
    lambda number, incarnation, sequence, health, state: dataclasses.replace(
        test_authentication.RECORD,
        id=f"t{number}",
        incarnation=incarnation,
        sequence=sequence,
        health=health,
        state=state,
    ),
    strategies.integers(0, 3),
    strategies.integers(1, 3),
    strategies.integers(0, 3),
    strategies.sampled_from(records.Health),
    strategies.sampled_from(records.State),
)


@hypothesis.given(strategies.lists(RECORDS, max_size=40), strategies.randoms())
@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
def test_the_order_of_records_does_not_matter(several, generator):
    """Views agree whatever the order, if equal versions are equal records."""
    by_version = {}
    for record in several:
        by_version.setdefault((record.id, record.version), record)
    unique = list(by_version.values())
    shuffled = list(unique)
    generator.shuffle(shuffled)
    first, second = members.MemberTable(), members.MemberTable()
    for record in unique:
        first.merge(record, 0.0)
    for record in shuffled:
        second.merge(record, 0.0)
    for identifier in {record.id for record in unique}:
        one = first.by_id.get(identifier)
        other = second.by_id.get(identifier)
        both = one is not None and other is not None
        assert not both or one == other


def test_an_old_record_never_replaces_a_newer_one():
    table = members.MemberTable()
    new = dataclasses.replace(test_authentication.RECORD, sequence=9)
    table.merge(new, 0.0)
    dead = dataclasses.replace(
        test_authentication.RECORD, health=records.Health.DEAD
    )
    assert table.merge(dead, 1.0) is None
    assert table.by_id["t1"] == new


def test_a_restarted_process_that_is_not_announced_learns_of_its_seed():
    net = network()
    seed = net.nodes["node-0"]
    seed.clear_dissemination()
    restarted = gossip.Gossiper(
        dataclasses.replace(net.nodes["node-1"].own, incarnation=10**6),
        (seed.own.control_address,),
        options.Options(),
        random.Random(1),
        net.now,
    )
    sends, _ = restarted.on_tick(net.now)
    assert [send.address for send in sends] == [seed.own.control_address]
    ping = controls.Control(
        "node-1", 10**6, 1, 0, 0, sends[0].records, sends[0].body
    )
    answers, _ = seed.on_control(ping, ("10.0.0.1", 7001), net.now)
    assert seed.own in answers[-1].records


def test_a_restarted_process_that_announces_itself_learns_of_its_seed():
    """Its record comes with the ping, so the seed knows it already."""
    net = network()
    seed = net.nodes["node-0"]
    restarted = gossip.Gossiper(
        dataclasses.replace(net.nodes["node-1"].own, incarnation=10**6),
        (seed.own.control_address,),
        options.Options(),
        random.Random(1),
        net.now,
    )
    restarted.announce(net.now)
    sends, _ = restarted.on_tick(net.now)
    seed.clear_dissemination()
    for counter in (1, 2):
        ping = controls.Control(
            "node-1", 10**6, counter, 0, 0, sends[0].records, sends[0].body
        )
        answers, _ = seed.on_control(ping, ("10.0.0.1", 7001), net.now)
    acks = [one for one in answers if isinstance(one.body, controls.Ack)]
    assert seed.own in acks[-1].records


def test_a_process_that_starts_asks_its_seeds_though_it_knows_others():
    """A side process may be heard of first, which knows little of balancers."""
    net = network()
    seed = net.nodes["node-0"].own
    starting = gossip.Gossiper(
        dataclasses.replace(net.nodes["node-1"].own, incarnation=10**6),
        (seed.control_address,),
        options.Options(),
        random.Random(1),
        net.now,
    )
    starting.merge((net.nodes["node-2"].own,), net.now)
    asked = set()
    for step in range(1, 20):
        sends, _ = starting.on_tick(net.now + step * 0.05)
        asked |= {send.address for send in sends}
    assert seed.control_address in asked


def _restarted(net, name):
    """Returns a process that has just started under a name in use."""
    return gossip.Gossiper(
        dataclasses.replace(net.nodes[name].own, incarnation=10**6),
        (),
        options.Options(),
        random.Random(1),
        net.now,
    )


def test_a_process_that_restarts_learns_of_its_predecessor():
    net = network()
    before = net.nodes["node-1"].own
    starting = _restarted(net, "node-1")
    view = net.nodes["node-2"].table.by_id.values()
    starting.merge(tuple(view), net.now)
    assert starting.tombstones.predecessor == before


def test_a_peer_that_knows_the_new_process_still_tells_of_the_old_one():
    net = network()
    before = net.nodes["node-1"].own
    starting = _restarted(net, "node-1")
    table = net.nodes["node-2"].table
    table.merge(starting.own, net.now)
    told = (*table.by_id.values(), *table.predecessor_by_id.values())
    starting.merge(told, net.now)
    assert starting.tombstones.predecessor == before
    table.expire(net.now + members.RETURN_WINDOW_S)
    assert not table.predecessor_by_id


def _joining():
    """Returns a process that has just started and knows nobody."""
    own = dataclasses.replace(samples.SIDE, id="new", address="10.0.0.99")
    return gossip.Gossiper(own, (), options.Options(), random.Random(1), 100.0)


@pytest.mark.parametrize(
    "ended",
    [
        {"state": records.State.LEAVING, "sequence": 8},
        {"health": records.Health.DEAD},
    ],
)
@pytest.mark.parametrize("by_gossip", [False, True])
def test_who_has_left_is_not_in_use_again_after_a_restart(ended, by_gossip):
    # One peer knows that the target has left, another one does not yet.
    joining = _joining()
    serving = dataclasses.replace(
        samples.SIDE, sequence=7, state=records.State.READY
    )
    joining.merge((dataclasses.replace(serving, **ended),), 100.0)
    if by_gossip:
        control = controls.Control(
            "peer", 1, 1, 0, 0, (serving,), controls.Nothing()
        )
        joining.on_control(control, ("10.0.0.1", 1), 100.1)
    else:
        joining.merge((serving,), 100.1)
    assert serving.id not in {one.id for one in joining.table.living()}
    again = dataclasses.replace(serving, incarnation=serving.incarnation + 1)
    joining.merge((again,), 100.2)
    assert serving.id in {one.id for one in joining.table.living()}


def test_a_process_that_joins_hears_of_side_processes_that_may_come_back():
    starting = _restarted(network(), "node-1")
    dead = dataclasses.replace(
        samples.SIDE, id="gone", health=records.Health.DEAD
    )
    idle = dataclasses.replace(dead, id="idle", state=records.State.COLD)
    left = dataclasses.replace(dead, id="left", state=records.State.LEAVING)
    starting.merge((dead, idle, left), 0.0)
    assert starting.tombstones.lost_side_ids == {"gone"}
