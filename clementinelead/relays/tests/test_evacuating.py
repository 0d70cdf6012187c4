"""Flows while zones are evacuated; each barrier alone must keep targets free.

Balancers leave out the targets of an evacuated zone, and the side processes
there refuse new flows.
"""

import pytest

from clementinelead.relays.tests import network
from clementinelead.replays import packets

_FLOWS = 40


def _network():
    return network.Network(balancers=2, targets=4, zones=("a", "b"))


def _open_all(net, first):
    for number in range(first, first + _FLOWS):
        key = network.flow_key(number)
        net.send(network.packet(key, packets.OPENS), number % 2)
        net.run(0.02)
    net.run(0.5)


def _flows_by_zone(net, first):
    """Returns how many of the flows the targets of each zone hold."""
    count_by_zone = dict.fromkeys(net.zones, 0)
    for number in range(first, first + _FLOWS):
        for owner in net.owners(network.flow_key(number)):
            count_by_zone[net.zone_by_address[owner]] += 1
    return count_by_zone


@pytest.mark.parametrize("barriers", ["balancers", "sides", "both"])
def test_no_new_flow_reaches_an_evacuated_zone(barriers):
    net = _network()
    if barriers != "sides":
        net.evacuate_at_balancers("a")
    if barriers != "balancers":
        net.evacuate_at_sides("a")
    _open_all(net, 0)
    assert _flows_by_zone(net, 0) == {"a": 0, "b": _FLOWS}


@pytest.mark.parametrize("barriers", ["balancers", "sides"])
def test_flows_return_after_the_evacuation(barriers):
    net = _network()
    for zones in (("a",), ()):
        if barriers == "balancers":
            net.evacuate_at_balancers(*zones)
        else:
            net.evacuate_at_sides(*zones)
    _open_all(net, 0)
    assert _flows_by_zone(net, 0)["a"] > 0


def test_without_a_barrier_both_zones_get_flows():
    net = _network()
    _open_all(net, 0)
    assert all(_flows_by_zone(net, 0).values())


def test_open_flow_in_an_evacuated_zone_goes_on():
    net = _network()
    key, owner = next(
        (key, owner)
        for key in map(network.flow_key, range(100))
        if net.zone_by_address[owner := net.open_flow(key)] == "a"
    )
    net.evacuate_at_balancers("a")
    net.evacuate_at_sides("a")
    delivered = net.target_by_address[owner].delivered
    before = len(delivered)
    for balancer in (0, 1):
        data = network.packet(key, acknowledgement=0, length=10)
        net.send(data, balancer)
        net.run(0.3)
    assert len(delivered) == before + 2


@pytest.mark.parametrize("barriers", ["balancers", "sides", "both"])
def test_flow_is_refused_at_once_if_all_zones_are_evacuated(barriers):
    net = _network()
    if barriers != "sides":
        net.evacuate_at_balancers("a", "b")
    if barriers != "balancers":
        net.evacuate_at_sides("a", "b")
    key = network.flow_key(1)
    net.send(network.packet(key, packets.OPENS))
    net.run(0.06)
    answer = network.Format().from_target(net.to_caller[-1])
    assert answer.resets
    assert answer.key == key
    assert not net.owners(key)


def test_reused_port_opens_no_flow_in_an_evacuated_zone():
    # The closed flow of the same addresses and ports is still recorded.
    net = _network()
    key, owner = next(
        (key, owner)
        for key in map(network.flow_key, range(100))
        if net.zone_by_address[owner := net.open_flow(key)] == "a"
    )
    net.send(network.packet(key, packets.CLOSES))
    net.run(0.1)
    net.target_by_address[owner].sequence_by_key.pop(key)
    net.evacuate_at_sides("a")
    net.send(network.packet(key, packets.OPENS))
    net.run(0.5)
    zones = {net.zone_by_address[other] for other in net.owners(key)}
    assert zones == {"b"}
