"""Acceptance, continuity, drain and refusal, one failure a test."""

import pytest

from clementinelead.flows.tests import network
from clementinelead.packets import headers

SYN = headers.SYN
ACK = headers.ACK
FIN = headers.FIN


def key_of(port, protocol=6):
    return headers.flow_key(network.packet(port, protocol=protocol))


def opened(net, port):
    """Opens a TCP flow; returns its owner's name."""
    net.send(network.packet(port))
    net.run()
    net.send(network.packet(port, ACK, 101))
    net.run()
    (owner,) = net.owners(key_of(port))
    return owner


def delivered_to(net, port, flags=ACK, payload=b"more"):
    """Sends a packet of an open flow; returns who delivered it."""
    before = len(net.deliveries)
    net.send(network.packet(port, flags, 101, payload))
    net.run()
    return [name for name, _ in net.deliveries[before:]]


@pytest.fixture
def net():
    made = network.Network(5)
    made.settle()
    return made


def test_first_free_candidate_accepts(net):
    assert (
        opened(net, 2000)
        == net.table.members[net.table.ranking[bucket_of(net, 2000), 0]].id
    )


def bucket_of(net, port):
    from clementinelead.placements import tables

    return tables.bucket_index(key_of(port), net.table.buckets)


def test_busy_candidates_pass_on_until_one_is_free():
    net = network.Network(3, slots=1)
    net.settle()
    owners = [opened(net, port) for port in (2000, 2001, 2002)]
    assert sorted(owners) == ["t0", "t1", "t2"]


def test_packets_follow_a_flow_that_was_passed_on():
    net = network.Network(3, slots=1)
    net.settle()
    owner_by_port = {port: opened(net, port) for port in (2000, 2001, 2002)}
    for port, owner in owner_by_port.items():
        assert delivered_to(net, port) == [owner]


def test_packet_that_overtakes_the_registration_finds_the_owner():
    net = network.Network(3, slots=1)
    net.settle()
    opened(net, 2000)
    for port in range(2001, 2003):
        net.send(network.packet(port))
        while not net.owners(key_of(port)):
            net.step(0)
        (owner,) = net.owners(key_of(port))
        net.queue.clear()
        assert delivered_to(net, port) == [owner]


def test_flow_outlives_targets_that_join_and_leave(net):
    owner = opened(net, 2000)
    for number in range(10, 20):
        net.add(f"t{number}", number)
        net.publish()
        net.settle(2)
        assert delivered_to(net, 2000) == [owner]
    keep = [owner, "t15", "t16"]
    net.publish(keep, keep)
    net.settle(2)
    assert delivered_to(net, 2000) == [owner]


def test_balancer_several_views_behind_reaches_the_owner(net):
    old = net.table
    owner = opened(net, 2000)
    for number in range(10, 14):
        net.add(f"t{number}", number)
        net.publish()
        net.settle(2)
    key = key_of(2000)
    net.send(network.packet(2000, ACK, 101, b"x"), old)
    net.run()
    assert net.deliveries[-1][0] == owner
    assert net.owners(key) == [owner]


def test_repeated_syn_after_a_view_change_finds_the_first_owner(net):
    for port in range(2000, 2040):
        net.send(network.packet(port))
        net.run()
    owners = {port: net.owners(key_of(port)) for port in range(2000, 2040)}
    for number in range(10, 13):
        net.add(f"t{number}", number)
    net.publish()
    for port in range(2000, 2040):
        net.send(network.packet(port))
        net.run()
        assert net.owners(key_of(port)) == owners[port]


def test_two_views_at_once_give_one_owner(net):
    old = net.table
    net.add("t10", 10)
    net.publish()
    for port in range(2000, 2060):
        net.send(network.packet(port), old)
        net.send(network.packet(port))
        net.run()
        net.tick(0.01)
        net.run()
        assert len(net.owners(key_of(port))) <= 1
        net.tick(1.0)
        net.run()
        net.send(network.packet(port))
        net.run()
        assert len(net.owners(key_of(port))) == 1


def test_draining_target_takes_nothing_new_and_keeps_its_flows(net):
    owner = opened(net, 2000)
    net.side_by_name[owner].decider.acceptor.state = "draining"
    for port in range(3000, 3030):
        net.send(network.packet(port))
        net.run()
        assert net.owners(key_of(port)) != [owner]
    assert delivered_to(net, 2000) == [owner]


def test_addresses_and_ports_used_again_are_a_new_flow(net):
    owner = opened(net, 2000)
    delivered_to(net, 2000, FIN | ACK, b"")
    net.side_by_name[owner].decider.acceptor.state = "draining"
    net.send(network.packet(2000, SYN, 9000))
    net.run()
    (second,) = net.owners(key_of(2000))
    assert second != owner


def test_all_busy_is_refused_and_nothing_was_delivered():
    net = network.Network(2, slots=1)
    net.settle()
    for side in net.side_by_name.values():
        side.decider.load.service_s = 100.0
    for port in range(2000, 2006):
        net.send(network.packet(port))
        net.run()
    assert net.refused
    delivered = [content for _, content in net.deliveries]
    assert not set(delivered) & set(net.refused)


def test_flow_without_owner_is_reset_not_refused(net):
    net.send(network.packet(4000, ACK, 101, b"x"))
    net.run()
    assert net.resets == [key_of(4000)]
    assert not net.refused


def test_restarted_process_gets_its_flows_back_from_peers(net):
    owner = opened(net, 2000)
    net.settle(1)
    side = net.side_by_name[owner]
    side.start(net.now)
    side.decider.on_table(net_service(), net.table, net.now)
    for other in net.side_by_name.values():
        entries = other.decider.locators.owned_by(owner)
        side.decider.on_recalled(entries, net.now)
    assert delivered_to(net, 2000) == [owner]


def net_service():
    return network.SERVICE


def test_process_that_lost_its_flows_claims_them_while_it_recovers(net):
    owner = opened(net, 2000)
    net.settle(1)
    side = net.side_by_name[owner]
    side.start(net.now)
    side.decider.acceptor.recovering = True
    side.decider.on_table(net_service(), net.table, net.now)
    assert delivered_to(net, 2000) == [owner]


def test_paused_process_drops_first_packets_that_waited(net):
    first = net.table.route(key_of(2000)).candidates[0]
    (name,) = [
        name
        for name, side in net.side_by_name.items()
        if side.decider.me == first
    ]
    net.send(network.packet(2000))
    net.side_by_name[name].decider.on_pause(net.now)
    net.run()
    assert net.drops == [headers.DropCause.DISTRUST]


def test_flow_of_a_paused_owner_is_not_reset(net):
    owner = opened(net, 2000)
    net.settle(1)
    side = net.side_by_name[owner]
    side.paused = True
    others = [name for name in net.side_by_name if name != owner]
    for name in others:
        decider = net.side_by_name[name].decider
        decider.on_deaths(frozenset({owner}), net.now + 120.0)
    net.publish(others, others)
    net.settle(6)
    assert delivered_to(net, 2000) == []
    assert not net.resets
    side.paused = False
    assert delivered_to(net, 2000) == [owner]


def test_foreign_and_garbage_datagrams_are_dropped(net):
    decider = net.side_by_name["t0"].decider
    assert decider.decide(b"garbage", net.now).cause is (
        headers.DropCause.ENVELOPE
    )
    other = network.Network(1)
    content = network.packet(2000, protocol=17)
    route = other.table.routes[0]
    from clementinelead.messages import envelopes

    data = envelopes.encode_placement(route.encoded, content)
    assert decider.decide(data, net.now).cause is headers.DropCause.FOREIGN
    assert not net.deliveries


def test_syn_with_data_is_dropped(net):
    net.send(network.packet(2000, SYN, 100, b"early"))
    net.run()
    assert net.drops == [headers.DropCause.SYN_PAYLOAD]


def test_udp_datagram_of_a_dead_owner_is_not_placed_again():
    net = network.Network(5, protocol="udp")
    net.settle()
    content = network.packet(2000, protocol=17, payload=b"update")
    net.send(content)
    net.run()
    (owner,) = net.owners(key_of(2000, 17))
    others = [name for name in net.side_by_name if name != owner]
    net.side_by_name[owner].paused = True
    for name in others:
        decider = net.side_by_name[name].decider
        decider.on_deaths(frozenset({owner}), net.now + 5.0)
    net.publish(others, others)
    for _ in range(4):
        net.settle(3)
        net.send(content)
        net.run()
    assert [name for name, _ in net.deliveries] == [owner]


def test_first_packets_alone_do_not_make_a_target_look_mute():
    net = network.Network(1, slots=50)
    net.settle()
    for port in range(2000, 2010):
        net.send(network.packet(port))
        net.run()
        assert net.owners(key_of(port)) == ["t0"]


def test_target_that_leaves_first_packets_unanswered_is_passed_over():
    net = network.Network(1, slots=50)
    net.settle()
    for port in range(2000, 2003):
        net.send(network.packet(port))
        net.run()
    for port in range(2000, 2003):
        net.send(network.packet(port))
        net.run()
    net.send(network.packet(2010))
    net.run()
    assert not net.owners(key_of(2010))
    net.settle(3)
    net.send(network.packet(2010))
    net.run()
    assert net.owners(key_of(2010)) == ["t0"]


def test_a_flow_that_its_caller_ended_is_not_held_open_after_a_restart(net):
    owner = opened(net, 2000)
    delivered_to(net, 2000, FIN | ACK, b"")
    net.settle(1)
    side = net.side_by_name[owner]
    side.start(net.now)
    side.decider.on_table(net_service(), net.table, net.now)
    for other in net.side_by_name.values():
        entries = other.decider.locators.owned_by(owner)
        side.decider.on_recalled(entries, net.now)
    assert side.decider.flows.by_key[key_of(2000)].state == "closing"
    assert side.decider.load.held == 0
    assert side.decider.load.working == 0


def test_removed_service_keeps_its_flows_and_refuses_new_ones(net):
    owner = opened(net, 2000)
    address = headers.service_key(network.ADDRESS, network.PORT, "tcp")
    for side in net.side_by_name.values():
        side.decider.on_services(
            {network.SERVICE: {address}}, frozenset({network.SERVICE})
        )
    assert delivered_to(net, 2000) == [owner]
    net.send(network.packet(2001))
    net.run()
    assert not net.owners(key_of(2001))
    assert len(net.refused) == 1
