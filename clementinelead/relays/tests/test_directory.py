"""Directory of targets: what is kept of targets and services that are gone."""

from clementinelead.relays import candidates
from clementinelead.relays import directory
from clementinelead.relays.tests import network

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
    targets.responsiveness.record_query(ADDRESS, 100.0)  # a late probe
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
