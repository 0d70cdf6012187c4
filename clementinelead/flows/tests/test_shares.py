"""Open flows of a service whose shares change."""

import pytest

from clementinelead.flows.tests import network
from clementinelead.packets import headers
from clementinelead.placements import tables

OLD = ("t0", "t1")
NEW = ("t2", "t3")
PORTS = range(2000, 2040)


def _share(net, old, new, receivers=None):
    """Changes the weights at the balancers and at some side processes."""

    def built(previous):
        parts = tuple(
            tables.TargetGroup(
                name,
                weight,
                tuple(net.side_by_name[one].member for one in names),
            )
            for name, weight, names in (("old", old, OLD), ("new", new, NEW))
        )
        return tables.build_grouped(
            network.SERVICE, 1, parts, network.BUCKETS, net.depth, previous
        )

    net.table = built(net.table)
    for name in receivers or net.side_by_name:
        decider = net.side_by_name[name].decider
        table = built(decider.table(network.SERVICE))
        decider.on_table(network.SERVICE, table, net.now)


def _open(net, port):
    net.send(network.packet(port))
    net.run()
    net.send(network.packet(port, headers.ACK, 101))
    net.run()
    [owner] = net.owners(headers.flow_key(network.packet(port)))
    return owner


def _deliveries(net, port):
    before = len(net.deliveries)
    net.send(network.packet(port, headers.ACK, 101, b"more"))
    net.run()
    return [name for name, _ in net.deliveries[before:]]


@pytest.fixture(name="net")
def _net():
    made = network.Network(4, slots=100)
    _share(made, 1, 0)
    made.settle()
    return made


@pytest.mark.parametrize("receivers", [None, OLD, NEW, ("t0", "t2")])
def test_open_flows_stay_when_all_new_ones_go_elsewhere(net, receivers):
    owner_by_port = {port: _open(net, port) for port in PORTS}
    assert set(owner_by_port.values()) == set(OLD)
    _share(net, 0, 1, receivers)
    for port, owner in owner_by_port.items():
        assert _deliveries(net, port) == [owner]
    _share(net, 0, 1)
    net.settle()
    for port, owner in owner_by_port.items():
        assert _deliveries(net, port) == [owner]
    assert {_open(net, port + 1000) for port in PORTS} == set(NEW)
    assert not net.resets


def test_open_flows_stay_when_the_shares_change_again_and_again(net):
    owner_by_port = {}
    for turn, weights in enumerate([(3, 1), (1, 1), (0, 1), (1, 3), (1, 0)]):
        _share(net, *weights)
        net.tick(0.5)
        for port in range(2000 + 100 * turn, 2020 + 100 * turn):
            owner_by_port[port] = _open(net, port)
        for port, owner in owner_by_port.items():
            assert _deliveries(net, port) == [owner]
    assert not net.resets
