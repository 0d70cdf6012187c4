"""Delivers copies of a first packet and their messages in many orders.

Each scenario runs the actual decision code, not a model of it, once for every
order.
"""

import random

import pytest

from clementinelead.flows import attempts
from clementinelead.flows.tests import network
from clementinelead.packets import headers

ORDERS = 120


def run_in_orders(scenario):
    """Runs a scenario with many reproducible orders of its messages.

    Args:
        scenario: Function of a function that returns the index of the next of
            n messages.
    """
    for seed in range(ORDERS):
        scenario(random.Random(seed).randrange)


def network_with_two_views(ports_of_joiner, slots=2, busy=()):
    """Returns a network with two views, and the table of the older one.

    Only the target that has just joined and the balancers have the newer view.

    Args:
        ports_of_joiner: List that receives the ports whose flows have the new
            target as first candidate in the newer view.
        slots: Slots of each target.
        busy: Names of the targets without free slots.
    """
    net = network.Network(3, slots=slots, depth=3)
    net.settle()
    for name in busy:
        net.side_by_name[name].decider.load.active_flows = slots
        net.side_by_name[name].decider.load.open_flows = slots
    old_table = net.table
    net.add("joiner", 9)
    table = net.build(list(net.side_by_name), old_table)
    for port in range(2000, 2040):
        key = headers.flow_key(network.packet(port))
        if table.route(key).candidates[0].address == ("127.0.0.1", 7009):
            ports_of_joiner.append(port)
    net.publish(list(net.side_by_name), ["joiner"])
    return net, old_table


def deliver_all(net, choose):
    while net.queue:
        net.step(choose(len(net.queue)))


@pytest.mark.parametrize("busy", [(), ("t0", "t1"), ("t0", "t1", "t2")])
def test_copies_sent_with_two_views_result_in_at_most_one_owner(busy):
    def scenario(choose):
        ports = []
        net, old_table = network_with_two_views(ports, busy=busy)
        content = network.packet(ports[0])
        net.send(content, old_table)
        net.send(content)
        deliver_all(net, choose)
        owners = net.owners(headers.flow_key(content))
        assert len(owners) <= 1, f"owners {owners}"
        assert not (owners and net.refused), "refused but accepted"
        delivering_targets = {name for name, _ in net.deliveries}
        assert len(delivering_targets) <= 1

    run_in_orders(scenario)


def test_copies_sent_with_one_view_result_in_one_owner_and_no_refusal():
    def scenario(choose):
        net = network.Network(3, slots=1)
        net.settle()
        net.side_by_name["t0"].decider.load.active_flows = 1
        net.side_by_name["t1"].decider.load.active_flows = 1
        content = network.packet(2000)
        net.send(content)
        net.send(content)
        deliver_all(net, choose)
        assert len(net.owners(headers.flow_key(content))) == 1
        assert not net.refused

    run_in_orders(scenario)


def test_copies_at_unsettled_processes_result_in_one_owner():
    def scenario(choose):
        ports = []
        net, old_table = network_with_two_views(ports)
        for side in net.side_by_name.values():
            side.decider.on_table(
                network.SERVICE,
                net.build(list(net.side_by_name), old_table),
                net.now,
            )
        content = network.packet(ports[0])
        net.send(content, old_table)
        net.send(content)
        deliver_all(net, choose)
        assert len(net.owners(headers.flow_key(content))) == 1

    run_in_orders(scenario)


def test_returned_search_of_an_abandoned_attempt_gives_no_second_owner():
    """Guards against a returned search of an abandoned attempt.

    If it were mistaken for a search of the current attempt, the flow would be
    placed before that attempt's own search has visited all possible owners.
    The model in ``specs.ownership`` found this order.
    """

    def scenario(choose):
        ports = []
        net, old_table = network_with_two_views(ports)
        content = network.packet(ports[0])
        net.send(content)
        for _ in range(2):
            net.step(0)
        net.send(content, old_table)
        net.send(content)
        deliver_all(net, choose)
        owners = net.owners(headers.flow_key(content))
        assert len(owners) <= 1, f"owners {owners}"

    run_in_orders(scenario)


def test_late_copy_finds_an_owner_whose_registration_is_delayed():
    # The origin, busy at first, would accept the copy itself.
    net = network.Network(3, slots=1)
    net.settle()
    content = network.packet(2000)
    key = headers.flow_key(content)
    address = net.table.route(key).candidates[0].address
    origin = next(
        side for side in net.side_by_name.values() if side.address == address
    )
    origin.decider.load.active_flows = 1
    net.send(content)
    while not net.owners(key):
        net.step(0)
    owners = net.owners(key)
    assert owners != [origin.name]
    delayed, net.queue = net.queue, []
    net.now += 1.25 * attempts.MIN_RETRY_INTERVAL_S
    origin.decider.load.active_flows = 0
    net.send(content)
    net.run()
    assert net.owners(key) == owners
    net.queue = delayed
    net.run()
    assert net.owners(key) == owners
