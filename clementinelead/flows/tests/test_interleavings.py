"""Many orders in which two copies of a first packet can be handled.

The decisions themselves are run again for each order of the messages, so this
checks the code and not a model of it.
"""

import random

import pytest

from clementinelead.flows.tests import network
from clementinelead.packets import headers

ORDERS = 120


def orders(run):
    """Runs a scenario for many orders of its messages, the same each time.

    Args:
        run: Takes a function that chooses one of n messages.
    """
    for seed in range(ORDERS):
        run(random.Random(seed).randrange)


def uneven(ports_of_joiner, slots=2, busy=()):
    """Returns a network in which one view lacks the newest target."""
    net = network.Network(3, slots=slots, depth=3)
    net.settle()
    for name in busy:
        net.side_by_name[name].decider.load.active_flows = slots
        net.side_by_name[name].decider.load.open_flows = slots
    old = net.table
    net.add("joiner", 9)
    table = net.build(list(net.side_by_name), old)
    for port in range(2000, 2040):
        key = headers.flow_key(network.packet(port))
        if table.route(key).candidates[0].address == ("127.0.0.1", 7009):
            ports_of_joiner.append(port)
    net.publish(list(net.side_by_name), ["joiner"])
    return net, old


def run_all(net, choose):
    while net.queue:
        net.step(choose(len(net.queue)))


@pytest.mark.parametrize("busy", [(), ("t0", "t1"), ("t0", "t1", "t2")])
def test_two_views_and_two_copies_give_one_owner(busy):
    def scenario(choose):
        ports = []
        net, old = uneven(ports, busy=busy)
        content = network.packet(ports[0])
        net.send(content, old)
        net.send(content)
        run_all(net, choose)
        owners = net.owners(headers.flow_key(content))
        assert len(owners) <= 1, f"owners {owners}"
        assert not (owners and net.refused), "refused and run"
        delivering = {name for name, _ in net.deliveries}
        assert len(delivering) <= 1

    orders(scenario)


def test_two_copies_through_one_view_give_one_owner_and_no_refusal():
    def scenario(choose):
        net = network.Network(3, slots=1)
        net.settle()
        net.side_by_name["t0"].decider.load.active_flows = 1
        net.side_by_name["t1"].decider.load.active_flows = 1
        content = network.packet(2000)
        net.send(content)
        net.send(content)
        run_all(net, choose)
        assert len(net.owners(headers.flow_key(content))) == 1
        assert not net.refused

    orders(scenario)


def test_two_views_at_unsettled_processes_give_one_owner():
    def scenario(choose):
        ports = []
        net, old = uneven(ports)
        for side in net.side_by_name.values():
            side.decider.on_table(
                network.SERVICE, net.build(list(net.side_by_name), old), net.now
            )
        content = network.packet(ports[0])
        net.send(content, old)
        net.send(content)
        run_all(net, choose)
        assert len(net.owners(headers.flow_key(content))) == 1

    orders(scenario)


def test_three_copies_through_two_views_give_one_owner():
    """Found by the specification: a search of an abandoned attempt returns."""

    def scenario(choose):
        ports = []
        net, old = uneven(ports)
        content = network.packet(ports[0])
        net.send(content)
        for _ in range(2):
            net.step(0)
        net.send(content, old)
        net.send(content)
        run_all(net, choose)
        owners = net.owners(headers.flow_key(content))
        assert len(owners) <= 1, f"owners {owners}"

    orders(scenario)
