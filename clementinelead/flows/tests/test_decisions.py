"""Tests of acceptance, flow continuity, drain and refusal."""

import pytest

from clementinelead.flows.tests import network
from clementinelead.messages import envelopes
from clementinelead.packets import headers
from clementinelead.placements import tables

SYN = headers.SYN
ACK = headers.ACK
FIN = headers.FIN


def key_of(port, protocol=6):
    return headers.flow_key(network.packet(port, protocol=protocol))


def open_flow(net, port):
    """Opens a TCP flow and returns its owner's name."""
    net.send(network.packet(port))
    net.run()
    net.send(network.packet(port, ACK, 101))
    net.run()
    (owner,) = net.owners(key_of(port))
    return owner


def delivering_targets(net, port, flags=ACK, payload=b"more"):
    """Sends a packet of an open flow; returns the targets it reached."""
    before = len(net.deliveries)
    net.send(network.packet(port, flags, 101, payload))
    net.run()
    return [name for name, _ in net.deliveries[before:]]


@pytest.fixture
def net():
    settled_network = network.Network(5)
    settled_network.settle()
    return settled_network


def test_first_candidate_accepts_if_it_has_a_free_slot(net):
    assert (
        open_flow(net, 2000)
        == net.table.members[net.table.ranking[bucket_of(net, 2000), 0]].id
    )


def bucket_of(net, port):

    return tables.bucket_index(key_of(port), net.table.buckets)


def test_flow_is_passed_on_to_a_candidate_with_a_free_slot():
    net = network.Network(3, slots=1)
    net.settle()
    owners = [open_flow(net, port) for port in (2000, 2001, 2002)]
    assert sorted(owners) == ["t0", "t1", "t2"]


def test_packets_of_a_passed_on_flow_reach_its_owner():
    net = network.Network(3, slots=1)
    net.settle()
    owner_by_port = {port: open_flow(net, port) for port in (2000, 2001, 2002)}
    for port, owner in owner_by_port.items():
        assert delivering_targets(net, port) == [owner]


def test_packet_that_overtakes_the_registration_reaches_the_owner():
    net = network.Network(3, slots=1)
    net.settle()
    open_flow(net, 2000)
    for port in range(2001, 2003):
        net.send(network.packet(port))
        while not net.owners(key_of(port)):
            net.step(0)
        (owner,) = net.owners(key_of(port))
        net.queue.clear()
        assert delivering_targets(net, port) == [owner]


def test_flow_keeps_its_owner_while_other_targets_join_and_leave(net):
    owner = open_flow(net, 2000)
    for number in range(10, 20):
        net.add(f"t{number}", number)
        net.publish()
        net.settle(2)
        assert delivering_targets(net, 2000) == [owner]
    remaining = [owner, "t15", "t16"]
    net.publish(remaining, remaining)
    net.settle(2)
    assert delivering_targets(net, 2000) == [owner]


def test_packet_sent_with_a_view_several_changes_old_reaches_the_owner(net):
    outdated_table = net.table
    owner = open_flow(net, 2000)
    for number in range(10, 14):
        net.add(f"t{number}", number)
        net.publish()
        net.settle(2)
    key = key_of(2000)
    net.send(network.packet(2000, ACK, 101, b"x"), outdated_table)
    net.run()
    assert net.deliveries[-1][0] == owner
    assert net.owners(key) == [owner]


def test_retransmitted_syn_after_a_view_change_keeps_the_owner(net):
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


def test_copies_sent_with_two_views_result_in_one_owner(net):
    outdated_table = net.table
    net.add("t10", 10)
    net.publish()
    for port in range(2000, 2060):
        net.send(network.packet(port), outdated_table)
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


def test_draining_target_accepts_no_new_flow_and_keeps_open_ones(net):
    owner = open_flow(net, 2000)
    net.side_by_name[owner].decider.acceptor.state = "draining"
    for port in range(3000, 3030):
        net.send(network.packet(port))
        net.run()
        assert net.owners(key_of(port)) != [owner]
    assert delivering_targets(net, 2000) == [owner]


def test_target_in_an_evacuated_zone_keeps_open_flows_and_gets_no_new_one(net):
    owner = open_flow(net, 2000)
    acceptor = net.side_by_name[owner].decider.acceptor
    acceptor.evacuated = True
    for port in range(3000, 3030):
        net.send(network.packet(port))
        net.run()
        assert net.owners(key_of(port)) != [owner]
    assert delivering_targets(net, 2000) == [owner]
    acceptor.evacuated = False
    owners = {open_flow(net, port) for port in range(4000, 4030)}
    assert owner in owners


def test_flow_is_refused_if_all_zones_are_evacuated(net):
    for side in net.side_by_name.values():
        side.decider.acceptor.evacuated = True
    net.send(network.packet(2000))
    net.run()
    assert net.refused == [network.packet(2000)]
    assert not net.deliveries


def test_syn_that_reuses_ports_of_a_closing_flow_opens_a_new_flow(net):
    owner = open_flow(net, 2000)
    delivering_targets(net, 2000, FIN | ACK, b"")
    net.side_by_name[owner].decider.acceptor.state = "draining"
    net.send(network.packet(2000, SYN, 9000))
    net.run()
    (new_owner,) = net.owners(key_of(2000))
    assert new_owner != owner


def test_refused_flow_was_not_delivered_to_any_target():
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


def test_packet_of_a_flow_without_owner_is_answered_with_a_reset(net):
    net.send(network.packet(4000, ACK, 101, b"x"))
    net.run()
    assert net.resets == [key_of(4000)]
    assert not net.refused


def test_restarted_process_restores_its_flows_from_peers(net):
    owner = open_flow(net, 2000)
    net.settle(1)
    side = net.side_by_name[owner]
    side.start(net.now)
    side.decider.on_table(network.SERVICE, net.table, net.now)
    for other in net.side_by_name.values():
        entries = other.decider.locators.entries_of_owner(owner)
        side.decider.on_recovered_entries(entries, net.now)
    assert delivering_targets(net, 2000) == [owner]


def test_recovering_process_adopts_flows_forwarded_to_it(net):
    owner = open_flow(net, 2000)
    net.settle(1)
    side = net.side_by_name[owner]
    side.start(net.now)
    side.decider.acceptor.recovering = True
    side.decider.on_table(network.SERVICE, net.table, net.now)
    assert delivering_targets(net, 2000) == [owner]


def test_first_packets_received_after_a_pause_are_dropped(net):
    first_candidate = net.table.route(key_of(2000)).candidates[0]
    (name,) = [
        name
        for name, side in net.side_by_name.items()
        if side.decider.own_candidate == first_candidate
    ]
    net.send(network.packet(2000))
    net.side_by_name[name].decider.on_pause(net.now)
    net.run()
    assert net.drops == [headers.DropCause.DISTRUST]


def test_flow_of_a_paused_owner_is_not_reset(net):
    owner = open_flow(net, 2000)
    net.settle(1)
    side = net.side_by_name[owner]
    side.paused = True
    others = [name for name in net.side_by_name if name != owner]
    for name in others:
        decider = net.side_by_name[name].decider
        decider.on_dead_owners(frozenset({owner}), net.now + 120.0)
    net.publish(others, others)
    net.settle(6)
    assert delivering_targets(net, 2000) == []
    assert not net.resets
    side.paused = False
    assert delivering_targets(net, 2000) == [owner]


def test_malformed_datagrams_and_other_services_packets_are_dropped(net):
    decider = net.side_by_name["t0"].decider
    assert decider.decide(b"garbage", net.now).cause is (
        headers.DropCause.ENVELOPE
    )
    other_net = network.Network(1)
    content = network.packet(2000, protocol=17)
    route = other_net.table.routes[0]

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
        decider.on_dead_owners(frozenset({owner}), net.now + 5.0)
    net.publish(others, others)
    for _ in range(4):
        net.settle(3)
        net.send(content)
        net.run()
    assert [name for name, _ in net.deliveries] == [owner]


def test_unanswered_first_transmissions_alone_do_not_mute_a_target():
    net = network.Network(1, slots=50)
    net.settle()
    for port in range(2000, 2010):
        net.send(network.packet(port))
        net.run()
        assert net.owners(key_of(port)) == ["t0"]


def test_target_with_unanswered_retransmissions_gets_no_flows_for_a_while():
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


def test_closing_flow_is_restored_as_closing_and_takes_no_slot(net):
    owner = open_flow(net, 2000)
    delivering_targets(net, 2000, FIN | ACK, b"")
    net.settle(1)
    side = net.side_by_name[owner]
    side.start(net.now)
    side.decider.on_table(network.SERVICE, net.table, net.now)
    for other in net.side_by_name.values():
        entries = other.decider.locators.entries_of_owner(owner)
        side.decider.on_recovered_entries(entries, net.now)
    assert side.decider.flows.by_key[key_of(2000)].state == "closing"
    assert side.decider.load.open_flows == 0
    assert side.decider.load.active_flows == 0


def test_removed_service_keeps_open_flows_and_refuses_new_ones(net):
    owner = open_flow(net, 2000)
    address = headers.service_key(network.ADDRESS, network.PORT, "tcp")
    for side in net.side_by_name.values():
        side.decider.on_services(
            {network.SERVICE: {address}}, frozenset({network.SERVICE})
        )
    assert delivering_targets(net, 2000) == [owner]
    net.send(network.packet(2001))
    net.run()
    assert not net.owners(key_of(2001))
    assert len(net.refused) == 1
