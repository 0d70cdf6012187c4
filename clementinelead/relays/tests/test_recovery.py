"""Searches for lost flows after a loss of power of all machines."""

from clementinelead.relays import directory
from clementinelead.relays.tests import network
from clementinelead.relays.tests import test_probing

TARGETS = 40
MAX_PROBES_OF_LOST_FLOW = TARGETS // 4


def _lose_power():
    """Returns a network whose machines have all just been switched on."""
    net = network.Network(targets=TARGETS, zones=test_probing.ZONES)
    for number in range(TARGETS):
        net.restart_side(number, machine_booted=True)
        net.restart_target(number, seed=100 + number)
    net.restart_balancer(0)
    return net, test_probing.Arrivals(net)


def _resets(net):
    answers = map(network.Format().from_target, net.to_caller)
    return [answer.key for answer in answers if answer.resets]


# Guards against links that are full of probes: each lost flow was sent to all
# targets before their first heartbeats, 40 packets a flow.
def test_lost_flow_is_reset_with_few_probes_once_targets_have_announced():
    net, arrivals = _lose_power()
    keys = [network.flow_key(number) for number in range(30)]
    for key in keys:
        net.send(network.packet(key, length=10, acknowledgement=7))
    net.run(0.3)
    for number in range(TARGETS):
        net.send_heartbeat(number, sequence=1, started_ms=net.now_ms)
    net.run(0.5)
    assert sorted(_resets(net)) == sorted(keys)
    assert all(
        0 < len(arrivals.of(key)) <= MAX_PROBES_OF_LOST_FLOW for key in keys
    )


def test_all_targets_are_probed_if_they_stay_unsure():
    net, arrivals = _lose_power()
    owner = ("side39", 1)
    key = test_probing.put_flow(net, 1, owner)
    for number in range(TARGETS):
        net.send_heartbeat(number, sequence=50)
    begin = net.now
    test_probing.send_data(net, key, owner)
    net.run(test_probing.REORDER_S)
    [found_at] = [at for at, address in arrivals.of(key) if address == owner]
    assert found_at - begin < test_probing.REORDER_S


# Guards against lost flows that are not reset for the 8 s in which peers
# declare a side process dead that stopped before it had a target.
def test_process_that_stopped_without_a_target_delays_resets_briefly():
    net, _ = _lose_power()
    for number in range(TARGETS):
        net.send_heartbeat(number, sequence=1, started_ms=net.now_ms)
    gone = ("side5", 1)
    net.unreachable.add(gone)
    [balancer] = net.balancer_by_address.values()
    net.update_targets(balancer, never_ready={gone})
    key = network.flow_key(1)
    begin = net.now
    for copy_s in (0.2, 0.4, 0.8, 1.6):
        net.send(network.packet(key, length=10, acknowledgement=7))
        net.run(copy_s / 2)
        if net.now - begin < directory.STOPPED_ABANDON_AFTER_S / 2:
            assert not _resets(net)
        net.run(copy_s / 2)
    assert _resets(net) == [key]
