"""Searches for open flows after side processes and balancers restarted."""

import pytest

from clementinelead.relays import candidates
from clementinelead.relays import searching
from clementinelead.relays.tests import network
from clementinelead.replays import packets

ZONES = ("z", "y", "x", "w")
REORDER_S = 2.0
"""Time in which a packet of an open flow must reach its target, seconds."""

MAX_WRONG_PACKETS = 2
"""Packets that may reach other targets within this time without one there."""


class Arrivals:
    """Records which targets get packets of flows, and when."""

    def __init__(self, net):
        self._net = net
        self._by_key = {}
        for address, target in net.target_by_address.items():
            target.receive = self._recorded(address, target.receive)

    def _recorded(self, address, receive):
        def receive_and_record(data):
            key = network.Format().from_caller(data).key
            arrivals = self._by_key.setdefault(key, [])
            arrivals.append((self._net.now, address))
            return receive(data)

        return receive_and_record

    def of(self, key):
        return self._by_key.get(key, [])


def put_flow(net, number, address):
    """Opens a flow at a target, whatever its load."""
    key = network.flow_key(number)
    target = net.target_by_address[address]
    target.sequence_by_key[key] = target.seed
    return key


def restart_all(net):
    """Restarts all side processes and balancers; the targets go on."""
    for number in range(net.targets):
        net.restart_side(number)
        net.send_heartbeat(number, sequence=50)
    for number in range(net.balancers):
        net.restart_balancer(number)


def send_data(net, key, address):
    acknowledgement = net.target_by_address[address].seed + 1
    net.send(network.packet(key, length=10, acknowledgement=acknowledgement))


# Guards against open flows that no packet reaches after a restart of all
# processes, as their target ranks beyond a limit of probes (FLOW, review/1).
@pytest.mark.parametrize("targets", [9, 35, 150])
def test_open_flow_is_found_at_any_of_many_unsure_targets(targets):
    net = network.Network(targets=targets, zones=ZONES)
    arrivals = Arrivals(net)
    owner_by_key = {
        put_flow(net, number, address): address
        for number, address in enumerate(net.target_by_address)
    }
    restart_all(net)
    for key, address in owner_by_key.items():
        send_data(net, key, address)
    net.run(REORDER_S)
    for key, owner in owner_by_key.items():
        at, addresses = zip(*arrivals.of(key), strict=True)
        assert addresses.count(owner) == 1
        assert len(set(addresses)) == len(addresses)
        assert at[addresses.index(owner)] - at[0] < REORDER_S
    assert not any(
        network.Format().from_target(data).resets for data in net.to_caller
    )


def test_flow_is_found_at_the_targets_that_were_queried_when_it_opened():
    net = network.Network(targets=40, zones=ZONES)
    keys = [network.flow_key(number) for number in range(20)]
    for key in keys:
        net.open_flow(key)
    arrivals = Arrivals(net)
    restart_all(net)
    for key in keys:
        net.send(network.packet(key, length=10))
    net.run(REORDER_S)
    for key in keys:
        assert len(arrivals.of(key)) <= 2 + candidates.MAX_QUERIED


def _lose_owner_after_restart():
    """Makes the owner's process unreachable after a restart of all.

    Returns:
        The network, the arrivals at its targets, the flow and its owner.
    """
    net = network.Network(targets=12)
    arrivals = Arrivals(net)
    owner = ("side5", 1)
    key = put_flow(net, 1, owner)
    restart_all(net)
    net.unreachable.add(owner)
    return net, arrivals, key, owner


def test_targets_that_returned_a_packet_do_not_get_its_copies():
    net, arrivals, key, owner = _lose_owner_after_restart()
    for _ in range(8):
        send_data(net, key, owner)
        net.run(0.8)
    addresses = [address for _, address in arrivals.of(key)]
    assert len(addresses) == len(set(addresses))


# Guards against packets at many other targets while the process beside the
# owner is restarted.
def test_few_targets_get_the_packet_while_the_owner_may_be_restarting():
    net, arrivals, key, owner = _lose_owner_after_restart()
    for _ in range(4):
        send_data(net, key, owner)
        net.run(0.2)
    assert len(arrivals.of(key)) <= MAX_WRONG_PACKETS
    net.unreachable.clear()
    send_data(net, key, owner)
    net.run(1.0)
    assert owner in dict(map(reversed, arrivals.of(key)))


def test_silent_process_does_not_delay_the_flows_of_others_for_long():
    net = network.Network(targets=12)
    arrivals = Arrivals(net)
    owner_by_key = {
        put_flow(net, number, address): address
        for number, address in enumerate(net.target_by_address)
    }
    restart_all(net)
    silent = ("side5", 1)
    net.unreachable.add(silent)
    for _ in range(3):
        for key, address in owner_by_key.items():
            send_data(net, key, address)
        net.run(searching.RESTART_TIME_S)
    for key, owner in owner_by_key.items():
        reached = {address for _, address in arrivals.of(key)}
        assert owner in reached or owner == silent


# Guards against a flow that has been at six other targets and is not searched
# for further, because others restart one by one (rolling restarts, FLOW).
def test_probes_go_on_after_many_although_other_processes_are_silent():
    net = network.Network(targets=12)
    arrivals = Arrivals(net)
    targets = net.balancer_by_address[("balancer0", 1)]._directory
    order = candidates.placement_order(
        network.flow_key(1), targets.targets(network.SERVICE), "z"
    )
    *_, third, second, first, owner = [target.address for target in order]
    key = put_flow(net, 1, owner)
    restart_all(net)
    send_data(net, key, owner)
    net.run(0.1)
    assert len(arrivals.of(key)) > MAX_WRONG_PACKETS
    for restarting in (first, second, third):
        net.unreachable = {restarting}
        net.run((REORDER_S - 0.1) / 3)
    assert owner in dict(map(reversed, arrivals.of(key)))


# Guards against the reset of an open flow by a search that began before its
# owner was known and ended once the view was complete.
def test_flow_of_a_process_that_appears_during_the_search_is_not_reset():
    net = network.Network(targets=3)
    key = put_flow(net, 1, ("side2", 1))
    balancer = net.balancer_by_address[("balancer0", 1)]
    balancer.set_complete_from(float("inf"))
    all_targets = balancer._directory.targets(network.SERVICE)
    balancer.set_targets(network.SERVICE, all_targets[:2])
    send_data(net, key, ("side2", 1))
    net.run(0.003)  # the queries are under way
    net.side_by_address[("side2", 1)].on_target_packet(
        network.packet(key, packets.ACCEPTS, 3), net.now
    )
    balancer.set_targets(network.SERVICE, all_targets)
    balancer.set_complete_from(net.now)
    net.run(0.5)
    assert not any(
        network.Format().from_target(data).resets for data in net.to_caller
    )
