"""Tests that open flows keep their owners when a service's shares change."""

import pytest

from clementinelead.flows.tests import network
from clementinelead.packets import headers
from clementinelead.placements import tables

OLD = ("t0", "t1")
NEW = ("t2", "t3")
PORTS = range(2000, 2040)


def _set_weights(net, old_weight, new_weight, receivers=None):
    """Sets the weights at the balancers and at some side processes.

    Args:
        net: The network.
        old_weight: Weight of the targets ``OLD``.
        new_weight: Weight of the targets ``NEW``.
        receivers: Names of the side processes; None for all.
    """

    def build_table(previous):
        parts = tuple(
            tables.TargetGroup(
                name,
                weight,
                tuple(net.side_by_name[target].member for target in targets),
            )
            for name, weight, targets in (
                ("old", old_weight, OLD),
                ("new", new_weight, NEW),
            )
        )
        return tables.build_grouped(
            network.SERVICE, 1, parts, network.BUCKETS, net.depth, previous
        )

    net.table = build_table(net.table)
    for name in receivers or net.side_by_name:
        decider = net.side_by_name[name].decider
        table = build_table(decider.table(network.SERVICE))
        decider.on_table(network.SERVICE, table, net.now)


def _open_flow(net, port):
    net.send(network.packet(port))
    net.run()
    net.send(network.packet(port, headers.ACK, 101))
    net.run()
    [owner] = net.owners(headers.flow_key(network.packet(port)))
    return owner


def _delivering_targets(net, port):
    before = len(net.deliveries)
    net.send(network.packet(port, headers.ACK, 101, b"more"))
    net.run()
    return [name for name, _ in net.deliveries[before:]]


@pytest.fixture(name="net")
def _net():
    settled_network = network.Network(4, slots=100)
    _set_weights(settled_network, 1, 0)
    settled_network.settle()
    return settled_network


@pytest.mark.parametrize("receivers", [None, OLD, NEW, ("t0", "t2")])
def test_open_flows_keep_their_owners_when_new_ones_go_to_other_targets(
    net, receivers
):
    owner_by_port = {port: _open_flow(net, port) for port in PORTS}
    assert set(owner_by_port.values()) == set(OLD)
    _set_weights(net, 0, 1, receivers)
    for port, owner in owner_by_port.items():
        assert _delivering_targets(net, port) == [owner]
    _set_weights(net, 0, 1)
    net.settle()
    for port, owner in owner_by_port.items():
        assert _delivering_targets(net, port) == [owner]
    assert {_open_flow(net, port + 1000) for port in PORTS} == set(NEW)
    assert not net.resets


def test_open_flows_keep_their_owners_during_repeated_weight_changes(net):
    owner_by_port = {}
    for round_number, weights in enumerate(
        [(3, 1), (1, 1), (0, 1), (1, 3), (1, 0)]
    ):
        _set_weights(net, *weights)
        net.tick(0.5)
        for port in range(2000 + 100 * round_number, 2020 + 100 * round_number):
            owner_by_port[port] = _open_flow(net, port)
        for port, owner in owner_by_port.items():
            assert _delivering_targets(net, port) == [owner]
    assert not net.resets
