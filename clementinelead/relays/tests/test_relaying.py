"""Balancers and side processes together, with restarts and losses."""

import random

import pytest

from clementinelead.relays import announcements
from clementinelead.relays import former_services
from clementinelead.relays import frames
from clementinelead.relays import routes
from clementinelead.relays import searching
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


def test_flow_opens_at_one_target_and_stays():
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


def test_balancer_that_restarts_finds_open_flows_again():
    net = network.Network()
    key = network.flow_key(1)
    owner = net.open_flow(key)
    net.restart_balancer(0)
    net.send(network.packet(key, length=10))
    net.run(0.2)
    assert _delivered(net, key)[owner] == 2
    assert not _resets(net)


def test_all_processes_restart_and_flows_go_on():
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


def test_side_process_beside_a_living_target_serves_its_flows_before_a_beat():
    net = network.Network()
    key = network.flow_key(1)
    owner = net.open_flow(key)
    net.restart_side(int(owner[0][4:]))
    net.send(network.packet(key, length=10))
    net.run(0.2)
    assert _delivered(net, key)[owner] == 2


def test_side_process_that_restarts_beside_a_young_target_serves_its_flows():
    # It is not to take the target for one that got power together with it.
    net = network.Network(targets=1)
    net.restart_target(0, seed=7)
    born = net.now_ms
    net.send_heartbeat(0, sequence=1, started_ms=born)
    key = network.flow_key(1)
    net.open_flow(key)
    net.run(0.3)
    net.restart_side(0)
    net.send_heartbeat(0, sequence=2, started_ms=born)
    net.restart_balancer(0)
    net.send(network.packet(key, length=10))
    net.run(0.5)
    assert not _resets(net)


def test_restart_beside_the_target_not_chosen_does_not_swallow_packets():
    # Two balancers have opened copies at two targets; the caller took the
    # answer of the second one, and the process beside the first one restarts.
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


def test_silent_side_process_does_not_keep_a_new_flow_waiting():
    net = network.Network(targets=2)
    net.unreachable.add(("side0", 1))
    begun = net.now
    for number in range(4):
        key = network.flow_key(number)
        net.send(network.packet(key, packets.OPENS))
        while not net.owners(key):
            net.run(0.001)
    assert net.now - begun < 4 * 0.05


def test_silent_target_does_not_keep_a_flow_from_one_that_gets_free():
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


def test_draining_target_gets_no_new_flow_at_once():
    net = network.Network(targets=2)
    net.send_heartbeat(0, sequence=2, draining=True)
    for number in range(10):
        assert net.open_flow(network.flow_key(number)) == ("side1", 1)


def test_packet_that_waited_while_a_balancer_started_does_not_cut_its_flow():
    # The caller's next copy has opened the flow through another balancer.
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


def test_flow_is_refused_at_once_when_all_targets_drain():
    net = network.Network(targets=2)
    for number in range(2):
        net.send_heartbeat(number, sequence=2, draining=True)
    net.update_targets(net.balancer_by_address[("balancer0", 1)])
    net.send(network.packet(network.flow_key(1), packets.OPENS))
    assert len(_resets(net)) == 1


def _search_in_vain(net):
    """Sends a packet of a flow that no target holds; returns the resets."""
    net.send(network.packet(network.flow_key(1), length=10))
    net.run(1.0)
    return _resets(net)


def test_copy_of_an_opening_packet_never_resets_an_open_flow():
    # The copy comes late; the owner is silent, and the others drain.
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


def test_repeated_opening_packet_is_not_reset_by_a_new_balancer():
    net = network.Network(targets=2)
    key = network.flow_key(1)
    net.open_flow(key)
    for number in range(2):
        net.send_heartbeat(number, sequence=2, draining=True)
    net.restart_balancer(0)
    net.send(network.packet(key, packets.OPENS, acknowledgement=1))
    net.run(2.0)
    assert not _resets(net)


def test_flow_opened_through_another_balancer_is_not_reset_by_the_first():
    # The first copy waits at a balancer that nobody answers; the second one
    # opens the flow through another balancer meanwhile.
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


def test_opening_packet_after_a_freeze_is_not_reset_by_its_balancer():
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


def test_flow_that_no_target_takes_is_refused_before_its_caller_gives_up():
    net = network.Network()
    for target in net.target_by_address.values():
        target.full = True
    net.send(network.packet(network.flow_key(1), packets.OPENS))
    net.run(1.4)
    assert len(_resets(net)) == 1


def test_repeated_opening_packet_of_no_flow_is_refused():
    net = network.Network(targets=2)
    for number in range(2):
        net.send_heartbeat(number, sequence=2, draining=True)
    key = network.flow_key(1)
    net.send(network.packet(key, packets.OPENS, acknowledgement=1))
    net.run(0.1)
    assert len(_resets(net)) == 1


def test_flow_that_everybody_denies_is_reset():
    net = network.Network()
    assert len(_search_in_vain(net)) == 1


def test_flow_is_not_reset_while_a_side_process_is_silent():
    net = network.Network()
    net.unreachable.add(("side1", 1))
    assert not _search_in_vain(net)


def test_flow_is_not_reset_while_a_side_process_may_be_unknown():
    net = network.Network()
    balancer = net.balancer_by_address[("balancer0", 1)]
    balancer.set_complete_from(net.now + 5.0)
    assert not _search_in_vain(net)


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
    assert not _search_in_vain(net)


def test_flow_is_not_reset_before_all_likely_targets_have_returned_it():
    net = network.Network(targets=12)
    for number in range(12):
        net.restart_side(number)
    assert not _search_in_vain(net)


def test_flow_at_a_target_of_another_service_is_found():
    net = network.Network()
    key = network.flow_key(1)
    owner = net.open_flow(key)
    balancer = net.balancer_by_address[("balancer0", 1)]
    moved = routes.Route(
        "r", network.ROUTE_ADDRESS, (routes.Share("other", 1),)
    )
    net.set_routes(balancer, routes.RoutingTable(2, (moved,), 60.0))
    balancer._cache.forget(key)
    net.send(network.packet(key, length=10))
    net.run(0.2)
    assert _delivered(net, key)[owner] == 2
    assert not _resets(net)


def test_dead_flows_cost_few_probes():
    net = network.Network(targets=12)
    for number in range(12):
        net.restart_side(number)
    _search_in_vain(net)
    probed = sum(
        side.counts.by_cause["probed"] for side in net.side_by_address.values()
    )
    assert probed <= searching.MAX_PROBES


def test_target_that_started_with_its_side_process_denies_at_once():
    net = network.Network(targets=1)
    net.restart_side(0, machine_booted=True)
    side = net.side_by_address[("side0", 1)]
    born = net.now_ms - startup_recovery.SAME_START_MARGIN_MS + 1
    side.on_heartbeat(
        announcements.Heartbeat("new", born, 5, network.SERVICE, 2, False, 0.0),
        net.now,
    )
    _search_in_vain(net)
    assert side.counts.by_cause["probed"] == 0


def test_caller_chooses_among_two_targets_that_answered():
    net = network.Network(targets=2)
    key = network.flow_key(1)
    net.send(network.packet(key, packets.OPENS))
    net.run(0.05)
    [first] = net.owners(key)
    second = ({("side0", 1), ("side1", 1)} - {first}).pop()
    number = frames.service_number(network.SERVICE)
    # A copy of the opening packet that another balancer has placed elsewhere.
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


def test_flows_of_a_dropped_route_are_still_found():
    net = network.Network()
    key = network.flow_key(1)
    owner = net.open_flow(key)
    balancer = net.balancer_by_address[("balancer0", 1)]
    net.set_routes(balancer, routes.RoutingTable(2, (), 60.0))
    balancer._cache.forget(key)
    net.send(network.packet(key, length=10))
    net.run(0.2)
    assert _delivered(net, key)[owner] == 2


def test_routes_never_go_back():
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
