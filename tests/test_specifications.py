"""The models have no counterexample; variants that lack a rule have one."""

import pytest

from specs import bounded
from specs import evacuations
from specs import head
from specs import ownership
from specs import relays

HEAD_DEPTH_STEPS = 10
EVACUATIONS_DEPTH_STEPS = 8
OWNERSHIP_DEPTH_STEPS = 14
RELAYS_DEPTH_STEPS = 12


def test_head_protocol_has_no_counterexample():
    assert (
        bounded.counterexample(head.specification(), HEAD_DEPTH_STEPS) is None
    )


@pytest.mark.parametrize(
    "rule", ["settles_by_writing", "reads_before_retry", "adopts_only_higher"]
)
def test_head_protocol_without_one_rule_has_a_counterexample(rule):
    variant = head.specification(**{rule: False})
    assert bounded.counterexample(variant, HEAD_DEPTH_STEPS) is not None


def test_evacuations_have_no_counterexample():
    specification = evacuations.specification()
    assert (
        bounded.counterexample(specification, EVACUATIONS_DEPTH_STEPS) is None
    )


@pytest.mark.parametrize("rule", ["adopts_only_newer", "orders_by_era"])
def test_evacuations_without_one_rule_have_a_counterexample(rule):
    variant = evacuations.specification(**{rule: False})
    assert bounded.counterexample(variant, EVACUATIONS_DEPTH_STEPS) is not None


def test_ownership_has_no_counterexample():
    assert (
        bounded.counterexample(ownership.specification(), OWNERSHIP_DEPTH_STEPS)
        is None
    )


@pytest.mark.parametrize(
    "rule", ["remembers_rivals", "breaks_ties", "counts_attempts"]
)
def test_ownership_without_one_rule_has_a_counterexample(rule):
    variant = ownership.specification(**{rule: False})
    assert bounded.counterexample(variant, OWNERSHIP_DEPTH_STEPS) is not None


def test_open_relayed_flow_is_never_reset():
    assert (
        bounded.counterexample(relays.specification(), RELAYS_DEPTH_STEPS)
        is None
    )


@pytest.mark.parametrize(
    "rule",
    ["unsure_after_restart", "receives_dead_members", "waits_for_all_replies"],
)
def test_relays_without_one_rule_have_a_counterexample(rule):
    variant = relays.specification(**{rule: False})
    assert bounded.counterexample(variant, RELAYS_DEPTH_STEPS) is not None
