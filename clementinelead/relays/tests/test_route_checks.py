import pytest

from clementinelead.relays import route_checks
from clementinelead.relays import route_differences
from clementinelead.relays import routes

_Attribute = route_checks.Attribute
_Severity = route_checks.Severity


def _route(address="a", *shares, **fields):
    named = shares or (("s", 1),)
    return routes.Route(
        f"r-{address}",
        address.encode(),
        tuple(routes.Share(*share) for share in named),
        **fields,
    )


def _table(*entries, idle_timeout_s=60.0, rates=()):
    return routes.RoutingTable(3, entries, idle_timeout_s, rates)


def _check(table, services=("s", "t")):
    found = route_checks.check(table, services, bytes.decode)
    return [
        (finding.severity, finding.place.attribute, finding.place.position)
        for finding in found
    ]


def test_all_but_the_last_route_of_an_address_never_match():
    table = _table(_route("a"), _route("b"), _route("a"), _route("a"))
    error = (_Severity.ERROR, _Attribute.ADDRESS)
    assert _check(table) == [(*error, 0), (*error, 2)]


def test_unknown_services_and_routes_without_weight_are_errors():
    table = _table(
        _route("a", ("x", 1)),
        _route("b", ("s", 0), ("t", 0)),
        _route("c", ("s", 0), ("t", 1)),
    )
    error = (_Severity.ERROR, _Attribute.SHARES)
    assert _check(table) == [(*error, 0), (*error, 1)]
    note = (_Severity.NOTE, _Attribute.SERVICES, None)
    assert _check(table, ()) == [note, (*error, 1)]


def test_contradicting_limits_are_warnings():
    rates = (routes.WarmupRate("s", 1.0), routes.WarmupRate("t", 0.9))
    table = _table(
        _route("a", objective_ms=200, timeout_ms=200),
        _route("b", objective_ms=201, timeout_ms=200),
        idle_timeout_s=0.999,
        rates=rates,
    )
    assert _check(table) == [
        (_Severity.WARNING, _Attribute.OBJECTIVE, 1),
        (_Severity.WARNING, _Attribute.IDLE_TIMEOUT, None),
        (_Severity.WARNING, _Attribute.WARMUP_RATE, 1),
    ]
    assert _check(_table(idle_timeout_s=1.0)) == []


# Guards against notes that disagree with what switches the queue on.
@pytest.mark.parametrize("priority", [1, 2])
def test_only_different_priorities_of_one_service_are_noted(priority):
    table = _table(
        _route("a", priority=1),
        _route("b", ("s", 1), ("t", 1), priority=priority),
    )
    found = route_checks.check(table, ("s", "t"), bytes.decode)
    noted = [finding.place.name for finding in found]
    queued = [name for name in "st" if len(table.priorities(name)) > 1]
    assert noted == queued


def test_each_changed_route_is_one_difference_with_its_effect():
    before = _table(*(_route(name) for name in "abcde"))
    after = _table(
        _route("a"),
        _route("b", ("t", 1)),
        _route("c", timeout_ms=5),
        _route("d", priority=1),
        _route("f"),
        idle_timeout_s=5.0,
        rates=(routes.WarmupRate("s", 2.0),),
    )
    found = route_differences.differences(before, after, bytes.decode)
    effects = {entry.subject: entry.effect for entry in found}
    assert len(found) == len(effects) == 7
    assert effects["r-b b"].startswith("stay, new ones move")
    assert effects["r-c c"] == "no effect"
    assert "new priority" in effects["r-d d"]
    assert effects["r-e e"].startswith("dropped")
    assert effects["r-f f"].startswith("no effect")
    assert effects["warm-up rate of s"] == "no effect"
    assert route_differences.differences(after, after, bytes.decode) == ()


class _CountedRoutes(tuple):
    """Routes that count how often one of them is visited."""

    visits = 0

    def __iter__(self):
        for route in super().__iter__():
            _CountedRoutes.visits += 1
            yield route


# Guards against a search among all routes for each route or service: 3,000
# routes are to be checked below 1 s.
def test_work_is_a_fixed_number_of_passes(monkeypatch):
    visits = []
    for count in (300, 3000):
        monkeypatch.setattr(_CountedRoutes, "visits", 0)
        names = [f"s{number}" for number in range(count)]
        entries = _CountedRoutes(_route(name, (name, 1)) for name in names)
        rates = tuple(routes.WarmupRate(name, 0.5) for name in names)
        table = routes.RoutingTable(3, entries, 60.0, rates)
        before = routes.RoutingTable(2, entries, 60.0)
        found = route_checks.check(table, names, bytes.decode)
        assert len(found) == count
        changed = route_differences.differences(before, table, bytes.decode)
        assert len(changed) == count
        visits.append(_CountedRoutes.visits / count)
    assert visits[0] == visits[1] > 0
