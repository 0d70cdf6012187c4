"""Services whose new flows are shared by several target groups."""

import collections

import hypothesis
from hypothesis import strategies
import numpy as np

from clementinelead.placements import rendezvous
from clementinelead.placements import tables
from clementinelead.placements import targets
from clementinelead.placements.tests import samples

BUCKETS = 256
DEPTH = 3
WEIGHTS = strategies.dictionaries(
    strategies.sampled_from("abcde"), strategies.integers(0, 100), min_size=1
).filter(lambda weights: any(weights.values()))
EXCESS_SHARE = 0.05
"""Largest share of the buckets that move without need."""


def _group(name, weight, count=2):
    members = tuple(
        tables.Member(f"{name}{number}", (f"10.0.{ord(name)}.{number}", 1), 1.0)
        for number in range(count)
    )
    return tables.TargetGroup(name, weight, members)


def _table(*groups, previous=None):
    return tables.build_grouped("s", 1, groups, BUCKETS, DEPTH, previous)


def _counts(table):
    """Returns the number of buckets of each group."""
    return collections.Counter(
        table.members[places[0]].id[0] for places in table.ranking
    )


@hypothesis.given(WEIGHTS)
def test_shares_are_exact_up_to_rounding(weights):
    counts = np.bincount(
        rendezvous.apportion(weights, BUCKETS), minlength=len(weights)
    )
    total = sum(weights.values())
    assert counts.sum() == BUCKETS
    for name, count in zip(sorted(weights), counts, strict=True):
        assert abs(count - weights[name] / total * BUCKETS) < 1.0


@hypothesis.settings(derandomize=True, max_examples=500)
@hypothesis.given(WEIGHTS, strategies.sampled_from("abcde"))
@hypothesis.example({"a": 15, "b": 89, "d": 18, "e": 7}, "d")
def test_changed_weight_moves_few_unnecessary_buckets(weights, name):
    hypothesis.assume(name in weights)
    changed = {**weights, name: weights[name] + 20}
    before = rendezvous.apportion(weights, BUCKETS)
    after = rendezvous.apportion(changed, BUCKETS)
    counts = [
        np.bincount(assigned, minlength=len(weights))
        for assigned in (before, after)
    ]
    needed = np.abs(counts[0] - counts[1]).sum() / 2
    assert (before != after).sum() <= needed + EXCESS_SHARE * BUCKETS


def test_candidates_of_a_bucket_belong_to_one_group():
    table = _table(_group("a", 3, 4), _group("b", 1, 1))
    assert _counts(table) == {"a": 192, "b": 64}
    group_by_id = {
        member.candidate.id: member.id[0] for member in table.members
    }
    for route in table.routes:
        names = {group_by_id[candidate.id] for candidate in route.candidates}
        assert len(names) == 1
        assert len(route.candidates) == (DEPTH if names == {"a"} else 1)


def test_buckets_of_a_group_without_targets_go_to_other_groups():
    assert _counts(_table(_group("a", 1, 0), _group("b", 1))) == {"b": BUCKETS}
    assert _table(_group("a", 1, 0), _group("b", 1, 0)) is None


def test_group_of_weight_0_serves_only_if_no_other_group_has_targets():
    idle = _group("b", 0)
    assert _counts(_table(_group("a", 5), idle)) == {"a": BUCKETS}
    assert _counts(_table(_group("a", 5, 0), idle)) == {"b": BUCKETS}


def test_routes_of_moved_buckets_contain_the_previous_candidates():
    before = _table(_group("a", 1), _group("b", 1))
    after = _table(_group("a", 1), _group("b", 0), previous=before)
    for old, new in zip(before.routes, after.routes, strict=True):
        removed = set(old.candidates) - set(new.candidates)
        assert removed <= set(new.previous)


def test_ranking_does_not_depend_on_the_order_of_groups():
    first, second = _group("a", 3), _group("b", 2)
    forward = _table(first, second).ranking
    reverse = _table(second, first).ranking
    assert (forward == reverse).all()


def test_service_is_affected_by_the_targets_of_each_of_its_groups():
    index = targets.ShareIndex()
    split = samples.service("a", 1, shares="a=1 b=1")
    index.update("a", split)
    assert index.affected_services(frozenset({"b", "x"})) == {"a", "b", "x"}
    index.update("a", samples.service("a", 1))
    assert index.affected_services(frozenset({"b"})) == {"b"}
    index.update("a", split)
    index.update("a", None)
    assert index.affected_services(frozenset({"b"})) == {"b"}
