"""Directory of targets: what is kept of targets and services that are gone."""

import dataclasses

from clementinelead.relays import candidates
from clementinelead.relays import directory
from clementinelead.relays.tests import network
from clementinelead.relays.tests import test_probing

ADDRESS = ("side", 1)
STARTING = candidates.Target(
    "side", ADDRESS, "z", accepting=False, starting=True
)


# Guards against resets of open flows: a side process that returned beside its
# target was abandoned at once, since its predecessor had not replied.
def test_process_that_appears_has_no_unanswered_queries():
    targets = directory.Directory("z")
    targets.set_targets("s", (STARTING,))
    targets.set_targets("s", ())
    for at in (100.0, 100.1):  # late probes
        targets.responsiveness.record_query(ADDRESS, at)
    targets.set_targets("s", (STARTING,))
    assert not targets.responsiveness.is_suspect(ADDRESS, 130.0)
    assert not targets.is_abandoned(ADDRESS, 130.0)


# Guards against memory that grows with each service that ever existed, and
# searches of all services that walk through them.
def test_services_without_targets_are_forgotten():
    targets = directory.Directory("z")
    targets.set_targets("s", (STARTING,))
    targets.set_targets("s", ())
    targets.set_targets("never listed", ())
    assert not targets.by_service


# Guards against memory that grows with each side process that ever existed.
def test_late_queries_to_processes_that_have_gone_are_forgotten():
    balancer = network.Network(targets=1).new_balancer()
    responsiveness = balancer._directory.responsiveness
    for address in (ADDRESS, ("side0", 1)):
        responsiveness.record_query(address, 100.0)
    balancer.on_tick(101.0)
    assert not responsiveness.is_suspect(ADDRESS, 101.0)
    assert responsiveness.is_suspect(("side0", 1), 101.0)
    assert len(responsiveness._queried_at) == 1


# Guards against resets of open flows: a process that was starting was abandoned
# after one lost reply, although it was not queried again.
def test_one_lost_reply_does_not_make_a_process_unresponsive():
    net = network.Network(targets=3)
    keys = [network.flow_key(number) for number in range(20)]
    key_by_owner = {net.open_flow(key): key for key in keys}
    assert len(key_by_owner) == 3
    net.restart_balancer(0)
    [balancer] = net.balancer_by_address.values()
    starting = ("side2", 1)
    *others, last = balancer._directory.targets(network.SERVICE)
    assert last.address == starting
    last = dataclasses.replace(last, accepting=False, starting=True)
    balancer.set_targets(network.SERVICE, (*others, last))
    net.unreachable.add(starting)
    test_probing.send_data(net, key_by_owner["side0", 1], ("side0", 1))
    net.run(0.02)
    net.unreachable.clear()
    net.run(directory.ABANDON_AFTER_S + 0.1)
    test_probing.send_data(net, key_by_owner[starting], starting)
    net.run(0.1)
    assert not any(
        network.Format().from_target(data).resets for data in net.to_caller
    )
    assert balancer._cache.by_key[key_by_owner[starting]].owner() == starting
