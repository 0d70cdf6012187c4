"""Patches between versions of the routes."""

import itertools

import hypothesis
from hypothesis import strategies

from clementinelead.relays import route_patches
from clementinelead.relays import routes

ADDRESSES = [b"a", b"b", b"c", b"d"]
ROUTES = strategies.dictionaries(
    strategies.sampled_from(ADDRESSES), strategies.integers(0, 2)
)


def _table(version, weight_by_address):
    table_routes = tuple(
        routes.Route(f"r-{address!r}", address, (routes.Share("s", weight),))
        for address, weight in weight_by_address.items()
    )
    rates = tuple(
        routes.WarmupRate(f"s-{address!r}", 1.0 + weight)
        for address, weight in weight_by_address.items()
        if weight
    )
    return routes.RoutingTable(version, table_routes, 60.0 + version, rates)


def _history(tables):
    history = route_patches.RouteHistory()
    for before, after in itertools.pairwise(tables):
        history.record_change(before, after)
    return history


@hypothesis.given(strategies.lists(ROUTES, min_size=2, max_size=8))
def test_patch_from_each_version_gives_the_routes_in_force(weights_by_version):
    tables = [
        _table(3 * n, weights)
        for n, weights in enumerate(weights_by_version, 1)
    ]
    history = _history(tables)
    last = tables[-1]
    for table in tables[:-1]:
        patch = history.patch_since(table.version, last, None)
        result = route_patches.apply_patch(table, patch)
        assert result.by_address == last.by_address
        assert (result.version, result.idle_timeout_s) == (
            last.version,
            last.idle_timeout_s,
        )


def test_patch_contains_only_changed_routes():
    many = {address: 1 for address in ADDRESSES}
    tables = [
        _table(1, many),
        _table(2, {**many, b"a": 2}),
        _table(3, {b"a": 2, b"b": 1, b"c": 1}),
    ]
    patch = _history(tables).patch_since(1, tables[-1], None)
    assert [route.address for route in patch.changed] == [b"a"]
    assert patch.removed == (b"d",)


def test_patch_of_another_version_is_not_applied():
    tables = [_table(1, {b"a": 1}), _table(2, {b"a": 2})]
    patch = _history(tables).patch_since(1, tables[-1], None)
    assert route_patches.apply_patch(_table(7, {}), patch) is None


def test_patch_from_an_unknown_or_old_version_has_all_routes():
    tables = [
        _table(n, {b"a": n}) for n in range(route_patches.MAX_KEPT_VERSIONS + 3)
    ]
    history = _history(tables)
    last = tables[-1]
    assert history.patch_since(2, last, None).since == 2
    for version in (1, 10_000):
        patch = history.patch_since(version, last, None)
        assert patch.since == 0
        assert (
            route_patches.apply_patch(_table(version, {b"z": 1}), patch) == last
        )
