"""Dissemination, failure detection and refutation without sockets."""

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
from clementinelead.memberships import tombstones
from clementinelead.memberships.tests import samples
from clementinelead.memberships.tests import test_authentication
from clementinelead.messages import controls


def network(count=12, seed=1, **link):
    net = gossip_network.GossipNetwork(
        count, 3, seed, gossip_network.Link(**link)
    )
    net.run(2.0)
    return net


def test_join_leave_and_death_reach_all_processes():
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


def test_message_loss_alone_causes_no_death():
    net = network(loss=0.2)
    net.run(20.0)
    assert net.dead_seen == []


def test_paused_process_returns_and_marks_its_view_as_not_current():
    net = network()
    net.paused.add("node-3")
    assert net.time_until("node-3", 1, 20.0) < 20.0
    net.paused.clear()
    net.tick()
    assert not net.nodes["node-3"].view_is_current
    assert net.time_until("node-3", len(net.nodes), 20.0) < 20.0
    assert net.nodes["node-3"].view_is_current


def test_views_agree_after_a_network_partition_heals():
    net = network()
    net.cut = {frozenset(("zone-0", "zone-1")), frozenset(("zone-0", "zone-2"))}
    net.run(20.0)
    assert net.knowing("node-0") < len(net.nodes)
    net.cut = set()
    net.run(40.0)
    for name in net.nodes:
        assert net.knowing(name) == len(net.nodes)


def test_second_process_with_the_same_identifier_is_detected():
    net = network()
    node = net.nodes["node-1"]
    twin = dataclasses.replace(
        node.own, incarnation=node.own.incarnation + 1, address="10.0.9.9"
    )
    net.nodes["node-2"].merge((twin,), net.now)
    sent, _ = net.nodes["node-2"].announce(net.now)
    assert not node.duplicate_identifier
    control = test_authentication.controls.Control(
        "node-2", 1002, 10**6, 1, 0, (twin,), test_authentication.BODIES[0]
    )
    node.on_control(control, ("10.0.0.2", 7001), net.now)
    assert node.duplicate_identifier
    assert sent


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
def test_merged_table_does_not_depend_on_the_order(received, generator):
    """Requires that records with equal versions are equal."""
    record_by_version = {}
    for record in received:
        record_by_version.setdefault((record.id, record.version), record)
    unique = list(record_by_version.values())
    shuffled = list(unique)
    generator.shuffle(shuffled)
    first, second = members.MemberTable(), members.MemberTable()
    for record in unique:
        first.merge(record, 0.0)
    for record in shuffled:
        second.merge(record, 0.0)
    for identifier in {record.id for record in unique}:
        in_first = first.by_id.get(identifier)
        in_second = second.by_id.get(identifier)
        in_both = in_first is not None and in_second is not None
        assert not in_both or in_first == in_second


def test_older_record_never_replaces_a_newer_one():
    table = members.MemberTable()
    new = dataclasses.replace(test_authentication.RECORD, sequence=9)
    table.merge(new, 0.0)
    dead = dataclasses.replace(
        test_authentication.RECORD, health=records.Health.DEAD
    )
    assert table.merge(dead, 1.0) is None
    assert table.by_id["t1"] == new


def test_restarted_unannounced_process_receives_the_record_of_its_seed():
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
    sent, _ = restarted.on_tick(net.now)
    assert [message.address for message in sent] == [seed.own.control_address]
    ping = controls.Control(
        "node-1", 10**6, 1, 0, 0, sent[0].records, sent[0].body
    )
    answers, _ = seed.on_control(ping, ("10.0.0.1", 7001), net.now)
    assert seed.own in answers[-1].records


def test_restarted_announced_process_receives_the_record_of_its_seed():
    """The ping carries its record, so the seed has merged it by then."""
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
    sent, _ = restarted.on_tick(net.now)
    seed.clear_dissemination()
    for counter in (1, 2):
        ping = controls.Control(
            "node-1", 10**6, counter, 0, 0, sent[0].records, sent[0].body
        )
        answers, _ = seed.on_control(ping, ("10.0.0.1", 7001), net.now)
    acks = [
        answer for answer in answers if isinstance(answer.body, controls.Ack)
    ]
    assert seed.own in acks[-1].records


def test_starting_process_pings_its_seeds_even_if_it_has_a_peer():
    """The first peer may be a side process with few balancers' records."""
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
    addresses = set()
    for step in range(1, 20):
        sent, _ = starting.on_tick(net.now + step * 0.05)
        addresses |= {message.address for message in sent}
    assert seed.control_address in addresses


def _restarted(net, name):
    """Returns a new process with the identifier of a running one."""
    return gossip.Gossiper(
        dataclasses.replace(net.nodes[name].own, incarnation=10**6),
        (),
        options.Options(),
        random.Random(1),
        net.now,
    )


def test_restarted_process_receives_the_record_of_its_predecessor():
    net = network()
    predecessor = net.nodes["node-1"].own
    starting = _restarted(net, "node-1")
    view = net.nodes["node-2"].table.by_id.values()
    starting.merge(tuple(view), net.now)
    assert starting.tombstones.predecessor == predecessor


def test_predecessor_is_returned_by_a_peer_that_has_the_new_record():
    net = network()
    predecessor = net.nodes["node-1"].own
    starting = _restarted(net, "node-1")
    table = net.nodes["node-2"].table
    table.merge(starting.own, net.now)
    returned = (*table.by_id.values(), *table.predecessor_by_id.values())
    starting.merge(returned, net.now)
    assert starting.tombstones.predecessor == predecessor
    table.expire(net.now + members.RETURN_WINDOW_S)
    assert not table.predecessor_by_id


def _joining():
    """Returns a process that has just started, with an empty table."""
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
def test_ended_process_is_not_resurrected_by_an_older_record(ended, by_gossip):
    """One peer has the record of the end, another one only the live record."""
    joining = _joining()
    serving = dataclasses.replace(
        samples.SIDE, sequence=7, state=records.State.READY
    )
    joining.merge((dataclasses.replace(serving, **ended),), 100.0)
    if by_gossip:
        control = controls.Control(
            "peer", 1, 1, 0, 0, (serving,), controls.NoBody()
        )
        joining.on_control(control, ("10.0.0.1", 1), 100.1)
    else:
        joining.merge((serving,), 100.1)
    assert serving.id not in {record.id for record in joining.table.living()}
    restarted = dataclasses.replace(
        serving, incarnation=serving.incarnation + 1
    )
    joining.merge((restarted,), 100.2)
    assert serving.id in {record.id for record in joining.table.living()}


def test_joining_process_records_dead_side_processes_that_were_in_use():
    starting = _restarted(network(), "node-1")
    dead = dataclasses.replace(
        samples.SIDE, id="gone", health=records.Health.DEAD
    )
    idle = dataclasses.replace(dead, id="idle", state=records.State.COLD)
    left = dataclasses.replace(dead, id="left", state=records.State.LEAVING)
    starting.merge((dead, idle, left), 0.0)
    assert starting.tombstones.lost_side_ids == {"gone"}


# Guards against memory that grows with each side process that ever died, and
# against waiting for one that has left since its death was refuted.
def test_lost_side_processes_are_bounded_and_do_not_include_left_ones():
    dead = dataclasses.replace(samples.SIDE, health=records.Health.DEAD)
    left = dataclasses.replace(dead, sequence=2, state=records.State.LEAVING)
    ended = tombstones.PeerTombstones()
    for record in (dead, left, dead):
        ended.record_end(record)
    assert not ended.lost_side_ids
    for number in range(tombstones.MAX_TOMBSTONES + 100):
        ended.record_end(dataclasses.replace(dead, id=f"s{number}"))
    assert len(ended.lost_side_ids) == tombstones.MAX_TOMBSTONES
