"""Services that routes no longer name, kept for flows that are still open."""

from clementinelead.relays import former_services
from clementinelead.relays import routes

ADDRESS = b"S1"


def _table(version, *services):
    shares = tuple(routes.Share(service, 1) for service in services)
    table_routes = (routes.Route("r", ADDRESS, shares),) if shares else ()
    return routes.RoutingTable(version, table_routes, 60.0)


def _former_after(*tables, first_start=True):
    former = former_services.FormerServices(first_start)
    before = routes.EMPTY
    for now, table in enumerate(tables):
        former.record_change(before, table, float(now))
        before = table
    return former


def test_former_service_expires_after_the_retention_time():
    former = _former_after(_table(1, "a"), _table(2, "b"))
    assert former.services(ADDRESS) == {"a"}
    late = 1.0 + former_services.RETENTION_S
    former.record_change(_table(2, "b"), _table(3, "b"), late + 0.1)
    assert not former.services(ADDRESS)


def test_dropped_route_keeps_its_services():
    former = _former_after(_table(1, "a", "b"), _table(2))
    assert former.services(ADDRESS) == {"a", "b"}


def test_service_that_is_named_again_is_not_a_former_service():
    former = _former_after(_table(1, "a"), _table(2, "b"), _table(3, "a"))
    assert former.services(ADDRESS) == {"b"}


def test_former_services_are_incomplete_after_a_later_start():
    former = _former_after(_table(7, "a"), first_start=False)
    assert former.snapshot(1.0) is None
    assert former.snapshot(former_services.RETENTION_S) == ()


def test_starting_process_merges_the_former_services_of_a_peer():
    peer = _former_after(_table(1, "a"), _table(2, "b"))
    former = _former_after(_table(2, "b"), first_start=False)
    former.merge(peer.snapshot(5.0), 5.0)
    assert former.services(ADDRESS) == {"a"}
    assert former.snapshot(5.0) == peer.snapshot(5.0)
