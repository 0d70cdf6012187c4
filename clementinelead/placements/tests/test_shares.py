"""Services whose new flows several sets of targets share."""

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
"""Buckets that move beyond those that must, a share of all."""


def _part(name, weight, count=2):
    members = tuple(
        tables.Member(f"{name}{number}", (f"10.0.{ord(name)}.{number}", 1), 1.0)
        for number in range(count)
    )
    return tables.TargetGroup(name, weight, members)


def _table(*parts, previous=None):
    return tables.build_grouped("s", 1, parts, BUCKETS, DEPTH, previous)


def _counts(table):
    """Returns how many buckets each part has."""
    return collections.Counter(
        table.members[places[0]].id[0] for places in table.ranking
    )


@hypothesis.given(WEIGHTS)
def test_shares_are_exact_but_for_the_rounding(weights):
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
def test_changed_weight_moves_few_buckets_more_than_it_must(weights, name):
    hypothesis.assume(name in weights)
    changed = {**weights, name: weights[name] + 20}
    before = rendezvous.apportion(weights, BUCKETS)
    after = rendezvous.apportion(changed, BUCKETS)
    counts = [
        np.bincount(found, minlength=len(weights)) for found in (before, after)
    ]
    needed = np.abs(counts[0] - counts[1]).sum() / 2
    assert (before != after).sum() <= needed + EXCESS_SHARE * BUCKETS


def test_candidates_of_a_bucket_are_of_one_part():
    table = _table(_part("a", 3, 4), _part("b", 1, 1))
    assert _counts(table) == {"a": 192, "b": 64}
    letter_by_id = {
        member.candidate.id: member.id[0] for member in table.members
    }
    for route in table.routes:
        names = {letter_by_id[one.id] for one in route.candidates}
        assert len(names) == 1
        assert len(route.candidates) == (DEPTH if names == {"a"} else 1)


def test_part_without_targets_leaves_its_flows_to_the_others():
    assert _counts(_table(_part("a", 1, 0), _part("b", 1))) == {"b": BUCKETS}
    assert _table(_part("a", 1, 0), _part("b", 1, 0)) is None


def test_part_with_a_weight_of_0_serves_only_while_there_is_no_other():
    idle = _part("b", 0)
    assert _counts(_table(_part("a", 5), idle)) == {"a": BUCKETS}
    assert _counts(_table(_part("a", 5, 0), idle)) == {"b": BUCKETS}


def test_buckets_that_move_name_the_earlier_candidates():
    before = _table(_part("a", 1), _part("b", 1))
    after = _table(_part("a", 1), _part("b", 0), previous=before)
    for old, new in zip(before.routes, after.routes, strict=True):
        gone = set(old.candidates) - set(new.candidates)
        assert gone <= set(new.previous)


def test_order_of_the_parts_does_not_matter():
    one, two = _part("a", 3), _part("b", 2)
    assert (_table(one, two).ranking == _table(two, one).ranking).all()


def test_table_changes_with_the_targets_of_each_part():
    index = targets.ShareIndex()
    split = samples.service("a", 1, shares="a=1 b=1")
    index.update("a", split)
    assert index.affected_services(frozenset({"b", "x"})) == {"a", "b", "x"}
    index.update("a", samples.service("a", 1))
    assert index.affected_services(frozenset({"b"})) == {"b"}
    index.update("a", split)
    index.update("a", None)
    assert index.affected_services(frozenset({"b"})) == {"b"}
