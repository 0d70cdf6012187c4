"""Searches while processes or targets reply later than their timeouts."""

import pytest

from clementinelead.relays import active_searches
from clementinelead.relays.tests import network
from clementinelead.relays.tests import test_probing

COPIES_AT_S = (0.0, 0.2, 0.6, 1.4)
"""Times at which a caller sends a packet and its copies, seconds."""


def _network(targets, delay_s=network.STEP_S, target_delay_s=0.0):
    """Returns processes that have all restarted, with a flow a target."""
    net = network.Network(
        targets=targets,
        zones=test_probing.ZONES,
        delay_s=delay_s,
        target_delay_s=target_delay_s,
    )
    arrivals = test_probing.Arrivals(net)
    owner_by_key = {
        test_probing.put_flow(net, number, address): address
        for number, address in enumerate(net.target_by_address)
    }
    test_probing.restart_all(net)
    return net, arrivals, owner_by_key


def _send_until_found(net, arrivals, owner_by_key):
    """Sends a request and its copies on each flow, as callers do."""
    begin = net.now
    for at_s in COPIES_AT_S:
        net.run(begin + at_s - net.now)
        for key, owner in owner_by_key.items():
            if all(address != owner for _, address in arrivals.of(key)):
                test_probing.send_data(net, key, owner)
    net.run(begin + test_probing.REORDER_S - net.now)


def _assert_found_in_time(net, arrivals, owner_by_key):
    for key, owner in owner_by_key.items():
        at, addresses = zip(*arrivals.of(key), strict=True)
        assert owner in addresses
        assert at[addresses.index(owner)] - at[0] < test_probing.REORDER_S
    assert not any(
        network.Format().from_target(data).resets for data in net.to_caller
    )


# Guards against open flows that are never found on a busy machine, because
# every reply is later than the timeout of the search (FLOW, review/1).
@pytest.mark.parametrize("targets", [12, 35])
@pytest.mark.parametrize("delay_s", [0.035, 0.1, 0.3])
def test_open_flow_is_found_by_late_replies(targets, delay_s):
    net, arrivals, owner_by_key = _network(targets, delay_s)
    _send_until_found(net, arrivals, owner_by_key)
    _assert_found_in_time(net, arrivals, owner_by_key)


# Guards against callers that wait until their deadline for a flow whose target
# has died, since the denials are late.
def test_lost_flow_is_reset_by_late_replies():
    net = network.Network(targets=6, delay_s=0.1)
    for copy_at_s in (0.2, 0.4, 0.8):
        net.send(network.packet(network.flow_key(1), length=10))
        net.run(copy_at_s)
    assert any(
        network.Format().from_target(data).resets for data in net.to_caller
    )


# Guards against packets of an open flow at one other target after another: a
# target that returns a packet late seems to hold the flow (FLOW).
@pytest.mark.parametrize("targets", [12, 35, 150])
@pytest.mark.parametrize(
    ("delay_s", "target_delay_s"), [(0.001, 0.2), (0.01, 0.05), (0.05, 0.1)]
)
def test_open_flow_is_found_among_targets_that_return_packets_late(
    targets, delay_s, target_delay_s
):
    net, arrivals, owner_by_key = _network(targets, delay_s, target_delay_s)
    _send_until_found(net, arrivals, owner_by_key)
    _assert_found_in_time(net, arrivals, owner_by_key)


# Guards against searches beyond the limit, which late replies resumed at once
# after an outage, and against the loss of the flows that have to wait.
def test_resumed_searches_count_towards_the_limit(monkeypatch):
    limit = 3
    monkeypatch.setattr(active_searches, "MAX_SEARCHES", limit)
    net, arrivals, owner_by_key = _network(12, delay_s=0.05)
    balancer = net.balancer_by_address[("balancer0", 1)]
    most = 0
    for _ in range(50):
        for key, owner in owner_by_key.items():
            if all(address != owner for _, address in arrivals.of(key)):
                test_probing.send_data(net, key, owner)
        for _ in range(100):
            net.run(network.STEP_S)
            most = max(most, len(balancer._searcher._active.by_key))
    assert most == limit
    assert balancer.counts.by_cause["searches_full"]
    for key, owner in owner_by_key.items():
        assert owner in [address for _, address in arrivals.of(key)]
    assert not any(
        network.Format().from_target(data).resets for data in net.to_caller
    )
