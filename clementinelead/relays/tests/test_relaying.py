"""Balancers and side processes together, with restarts and lost datagrams."""

import random

import pytest

from clementinelead.relays import announcements
from clementinelead.relays import former_services
from clementinelead.relays import frames
from clementinelead.relays import routes
from clementinelead.relays import startup_recovery
from clementinelead.relays import steering
from clementinelead.relays.tests import network
from clementinelead.replays import packets


def _delivered(net, key):
    return {
        address: sum(
            network.Format().from_caller(data).key == key
            for data in target.delivered
        )
        for address, target in net.target_by_address.items()
    }


def _resets(net):
    answers = map(network.Format().from_target, net.to_caller)
    return [answer for answer in answers if answer.resets]


def test_flow_opens_at_one_target_and_stays_there():
    net = network.Network()
    key = network.flow_key(1)
    owner = net.open_flow(key)
    for number in range(5):
        net.send(network.packet(key, sequence=number * 10, length=10))
        net.run(0.01)
    assert net.owners(key) == [owner]
    assert _delivered(net, key)[owner] == 6


def test_work_is_spread_over_free_targets():
    net = network.Network(targets=3)
    for number in range(6):
        key = network.flow_key(number)
        net.send(network.packet(key, packets.OPENS))
        net.run(0.005)
    counts = [
        len(target.sequence_by_key) for target in net.target_by_address.values()
    ]
    assert counts == [2, 2, 2]


def test_restarted_balancer_finds_open_flows():
    net = network.Network()
    key = network.flow_key(1)
    owner = net.open_flow(key)
    net.restart_balancer(0)
    net.send(network.packet(key, length=10))
    net.run(0.2)
    assert _delivered(net, key)[owner] == 2
    assert not _resets(net)


def test_flows_survive_a_restart_of_all_processes():
    net = network.Network(targets=4)
    keys = [network.flow_key(number) for number in range(20)]
    owner_by_key = {key: net.open_flow(key) for key in keys}
    net.run(1.0)
    for number in range(4):
        net.restart_side(number)
        net.send_heartbeat(number, sequence=9)
    net.restart_balancer(0)
    for key in keys:
        net.send(network.packet(key, length=10))
    net.run(1.0)
    for key in keys:
        delivered = _delivered(net, key)
        assert delivered[owner_by_key[key]] >= 2
        assert sum(delivered.values()) == delivered[owner_by_key[key]]
    assert not _resets(net)


def test_restarted_side_process_serves_flows_before_the_first_heartbeat():
    net = network.Network()
    key = network.flow_key(1)
    owner = net.open_flow(key)
    net.restart_side(int(owner[0][4:]))
    net.send(network.packet(key, length=10))
    net.run(0.2)
    assert _delivered(net, key)[owner] == 2


def test_restarted_side_process_of_a_young_target_serves_its_flows():
    # The side process must not assume that the target started together with
    # it: then it would deny the flows that the target holds.
    net = network.Network(targets=1)
    net.restart_target(0, seed=7)
    started_ms = net.now_ms
    net.send_heartbeat(0, sequence=1, started_ms=started_ms)
    key = network.flow_key(1)
    net.open_flow(key)
    net.run(0.3)
    net.restart_side(0)
    net.send_heartbeat(0, sequence=2, started_ms=started_ms)
    net.restart_balancer(0)
    net.send(network.packet(key, length=10))
    net.run(0.5)
    assert not _resets(net)


def test_restart_of_the_side_process_not_chosen_drops_no_packets():
    # Two balancers have placed copies of the opening packet on two targets.
    # The caller acknowledged the answer of the second target, and the side
    # process of the first one restarts.
    net = network.Network(balancers=2, targets=2)
    first, second = net.target_by_address.values()
    key = network.flow_key(1)
    second.full = True
    net.send(network.packet(key, packets.OPENS), 1)
    net.run(0.1)
    second.full = False
    net.unreachable.add(("side0", 1))
    net.send(network.packet(key, packets.OPENS), 0)
    net.run(0.1)
    net.unreachable.clear()
    chosen = second.sequence_by_key[key]
    assert key in first.sequence_by_key
    net.send(network.packet(key, acknowledgement=chosen + 1), 0)
    net.run(0.1)
    net.restart_side(0)
    before = len(second.delivered)
    net.send(
        network.packet(key, acknowledgement=chosen + 1, length=10), balancer=1
    )
    net.run(1.0)
    assert len(second.delivered) > before


def test_unresponsive_side_process_does_not_delay_a_new_flow():
    net = network.Network(targets=2)
    net.unreachable.add(("side0", 1))
    began_at = net.now
    for number in range(4):
        key = network.flow_key(number)
        net.send(network.packet(key, packets.OPENS))
        while not net.owners(key):
            net.run(0.001)
    assert net.now - began_at < 4 * 0.05


def test_flow_gets_a_freed_slot_despite_an_unresponsive_target():
    net = network.Network(targets=2)
    key = network.flow_key(1)
    net.send(network.packet(key, packets.OPENS))
    net.run(0.05)
    [busy] = net.owners(key)
    net.unreachable.add(({("side0", 1), ("side1", 1)} - {busy}).pop())
    estimate = net.side_by_address[busy].workload.estimate
    estimate.active_flows += 20
    waiting = network.flow_key(2)
    net.send(network.packet(waiting, packets.OPENS))
    net.run(0.2)
    assert not net.owners(waiting)
    estimate.active_flows -= 20
    net.run(0.2)
    assert net.owners(waiting) == [busy]


def test_returned_opening_packet_goes_to_another_target():
    net = network.Network(targets=3)
    net.target_by_address[("side0", 1)].full = True
    net.target_by_address[("side1", 1)].full = True
    for number in range(10):
        assert net.open_flow(network.flow_key(number)) == ("side2", 1)


def test_draining_target_immediately_gets_no_new_flows():
    net = network.Network(targets=2)
    net.send_heartbeat(0, sequence=2, draining=True)
    for number in range(10):
        assert net.open_flow(network.flow_key(number)) == ("side1", 1)


def test_stale_opening_packet_after_a_start_does_not_reset_its_flow():
    # The packet queued while the balancer started. A retransmission has opened
    # the flow through another balancer meanwhile.
    net = network.Network(balancers=2, targets=2)
    key = network.flow_key(1)
    owner = net.open_flow(key, balancer=1)
    for number in range(2):
        net.send_heartbeat(number, sequence=2, draining=True)
    net.restart_balancer(0)
    net.send(network.packet(key, packets.OPENS), balancer=0)
    net.run(0.2)
    assert not _resets(net)
    assert owner in net.owners(key)


def test_flow_is_refused_immediately_when_all_targets_drain():
    net = network.Network(targets=2)
    for number in range(2):
        net.send_heartbeat(number, sequence=2, draining=True)
    net.update_targets(net.balancer_by_address[("balancer0", 1)])
    net.send(network.packet(network.flow_key(1), packets.OPENS))
    assert len(_resets(net)) == 1


def _resets_after_failed_search(net):
    """Sends a packet of a flow without an owner; returns the resets."""
    net.send(network.packet(network.flow_key(1), length=10))
    net.run(1.0)
    return _resets(net)


def test_late_retransmission_of_an_opening_packet_resets_no_open_flow():
    # The owner does not reply, and the other targets are draining.
    net = network.Network(targets=2)
    key = network.flow_key(1)
    owner = net.open_flow(key)
    net.unreachable.add(owner)
    net.send(network.packet(network.flow_key(2), packets.OPENS))
    net.run(0.3)
    for number in range(2):
        net.send_heartbeat(number, sequence=2, draining=True)
    net.update_targets(net.balancer_by_address[("balancer0", 1)])
    net.send(network.packet(key, packets.OPENS))
    net.run(2.0)
    assert not _resets(net)


def test_restarted_balancer_does_not_reset_a_retransmitted_opening():
    net = network.Network(targets=2)
    key = network.flow_key(1)
    net.open_flow(key)
    for number in range(2):
        net.send_heartbeat(number, sequence=2, draining=True)
    net.restart_balancer(0)
    net.send(network.packet(key, packets.OPENS, acknowledgement=1))
    net.run(2.0)
    assert not _resets(net)


def test_first_balancer_does_not_reset_a_flow_opened_by_another():
    # The opening packet is pending at a balancer that receives no replies; its
    # retransmission opens the flow through another balancer.
    net = network.Network(balancers=2)
    key = network.flow_key(1)
    net.unreachable.add(("balancer0", 1))
    net.send(network.packet(key, packets.OPENS))
    net.run(0.2)
    net.open_flow(key, balancer=1)
    net.run(0.842)
    net.unreachable.clear()
    net.run(1.0)
    assert not _resets(net)


def test_paused_balancer_does_not_reset_a_stale_opening_packet():
    net = network.Network(targets=2, balancers=2)
    key = network.flow_key(1)
    net.open_flow(key, balancer=1)
    for number in range(2):
        net.send_heartbeat(number, sequence=2, draining=True)
    net.update_targets(net.balancer_by_address[("balancer0", 1)])
    net.now += 1.0
    net.send(network.packet(key, packets.OPENS))
    net.run(1.0)
    assert not _resets(net)


def test_flow_that_no_target_accepts_is_refused_before_the_callers_timeout():
    net = network.Network()
    for target in net.target_by_address.values():
        target.full = True
    net.send(network.packet(network.flow_key(1), packets.OPENS))
    net.run(1.4)
    assert len(_resets(net)) == 1


def test_retransmitted_opening_packet_without_a_flow_is_refused():
    net = network.Network(targets=2)
    for number in range(2):
        net.send_heartbeat(number, sequence=2, draining=True)
    key = network.flow_key(1)
    net.send(network.packet(key, packets.OPENS, acknowledgement=1))
    net.run(0.1)
    assert len(_resets(net)) == 1


def test_flow_that_all_side_processes_deny_is_reset():
    net = network.Network()
    assert len(_resets_after_failed_search(net)) == 1


def test_flow_is_not_reset_while_a_reply_is_missing():
    net = network.Network()
    net.unreachable.add(("side1", 1))
    assert not _resets_after_failed_search(net)


def test_flow_is_not_reset_while_the_directory_may_be_incomplete():
    net = network.Network()
    balancer = net.balancer_by_address[("balancer0", 1)]
    balancer.set_complete_from(net.now + 5.0)
    assert not _resets_after_failed_search(net)


def test_flow_is_not_reset_by_a_balancer_that_has_not_joined():
    net = network.Network()
    new = steering.Steering(
        network.Format(),
        net.decisions.append,
        "z",
        former_services.FormerServices(first_start=True),
    )
    net.set_routes(new, net.balancer_by_address[("balancer0", 1)].table)
    net.update_targets(new)
    net.balancer_by_address[("balancer0", 1)] = new
    assert not _resets_after_failed_search(net)


def test_flow_is_not_reset_while_unsure_targets_remain_unprobed():
    # The owner may be the process that does not reply.
    net = network.Network(targets=12)
    for number in range(12):
        net.restart_side(number)
    net.unreachable.add(("side7", 1))
    assert not _resets_after_failed_search(net)


def test_flow_that_all_unsure_targets_return_is_reset():
    net = network.Network(targets=12)
    for number in range(12):
        net.restart_side(number)
    assert len(_resets_after_failed_search(net)) == 1


def test_flow_at_a_target_of_another_service_is_found():
    net = network.Network()
    key = network.flow_key(1)
    owner = net.open_flow(key)
    balancer = net.balancer_by_address[("balancer0", 1)]
    moved = routes.Route(
        "r", network.ROUTE_ADDRESS, (routes.Share("other", 1),)
    )
    net.set_routes(balancer, routes.RoutingTable(2, (moved,), 60.0))
    balancer._cache.discard(key)
    net.send(network.packet(key, length=10))
    net.run(0.2)
    assert _delivered(net, key)[owner] == 2
    assert not _resets(net)


def test_lost_flow_is_probed_for_once_at_each_target():
    net = network.Network(targets=12)
    for number in range(12):
        net.restart_side(number)
    _resets_after_failed_search(net)
    for side in net.side_by_address.values():
        assert side.counts.by_cause["probed"] <= 1


def test_target_started_with_its_side_process_denies_without_a_probe():
    net = network.Network(targets=1)
    net.restart_side(0, machine_booted=True)
    side = net.side_by_address[("side0", 1)]
    started_ms = net.now_ms - startup_recovery.SAME_START_MARGIN_MS + 1
    side.on_heartbeat(
        announcements.Heartbeat(
            "new", started_ms, 5, network.SERVICE, 2, False, 0.0
        ),
        net.now,
    )
    _resets_after_failed_search(net)
    assert side.counts.by_cause["probed"] == 0


def test_acknowledgement_selects_one_of_two_targets_that_answered():
    net = network.Network(targets=2)
    key = network.flow_key(1)
    net.send(network.packet(key, packets.OPENS))
    net.run(0.05)
    [first] = net.owners(key)
    second = ({("side0", 1), ("side1", 1)} - {first}).pop()
    number = frames.service_number(network.SERVICE)
    # A retransmitted opening packet that another balancer has placed elsewhere.
    copy = frames.encode(
        frames.Kind.PLACE, number, key, network.packet(key, packets.OPENS)
    )
    side = net.side_by_address[second]
    net._carry_out(second, side.on_frame(copy, ("balancer0", 1), net.now))
    net.run(0.05)
    chosen = net.target_by_address[second].sequence_by_key[key]
    net.send(network.packet(key, acknowledgement=chosen + 1, length=10))
    net.run(0.2)
    assert _delivered(net, key) == {first: 0, second: 1}


def test_packet_for_another_service_is_not_delivered():
    net = network.Network(targets=1)
    key = network.flow_key(1)
    foreign = frames.encode(
        frames.Kind.PLACE,
        frames.service_number("exports"),
        key,
        network.packet(key, packets.OPENS),
    )
    side = net.side_by_address[("side0", 1)]
    side.on_frame(foreign, ("balancer0", 1), net.now)
    assert not net.owners(key)


def test_search_finds_flows_of_a_dropped_route():
    net = network.Network()
    key = network.flow_key(1)
    owner = net.open_flow(key)
    balancer = net.balancer_by_address[("balancer0", 1)]
    net.set_routes(balancer, routes.RoutingTable(2, (), 60.0))
    balancer._cache.discard(key)
    net.send(network.packet(key, length=10))
    net.run(0.2)
    assert _delivered(net, key)[owner] == 2


def test_older_routes_are_ignored():
    net = network.Network()
    balancer = net.balancer_by_address[("balancer0", 1)]
    balancer.set_routes(routes.RoutingTable(0, (), 60.0))
    assert balancer.table.version == 1


@pytest.mark.parametrize("seed", range(8))
def test_random_restarts_never_lose_or_reset_an_open_flow(seed):
    random_source = random.Random(seed)
    net = network.Network(balancers=2, targets=4)
    owner_by_key = {}
    sequence_by_side = dict.fromkeys(range(4), 1)
    for number in range(60):
        action = random_source.random()
        if action < 0.15:
            net.restart_balancer(random_source.randrange(2))
        elif action < 0.3:
            side = random_source.randrange(4)
            net.restart_side(side)
            sequence_by_side[side] += 1
            net.send_heartbeat(side, sequence=sequence_by_side[side])
        elif action < 0.6:
            key = network.flow_key(number)
            owner_by_key[key] = net.open_flow(key, random_source.randrange(2))
        elif owner_by_key:
            key = random_source.choice(list(owner_by_key))
            before = _delivered(net, key)
            net.send(
                network.packet(key, sequence=number * 10, length=10),
                random_source.randrange(2),
            )
            net.run(0.5)
            after = _delivered(net, key)
            owner = owner_by_key[key]
            assert after[owner] == before[owner] + 1
            after[owner] -= 1
            assert after == before
        net.run(0.02)
    assert not _resets(net)
