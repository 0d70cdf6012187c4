"""The specifications hold, and their broken variants are found faulty."""

import pytest

from specs import bounded
from specs import head
from specs import ownership
from specs import relays

DEPTH = 10


def test_the_head_protocol_holds():
    assert bounded.counterexample(head.specification(), DEPTH) is None


@pytest.mark.parametrize(
    "rule", ["settles_by_writing", "reads_before_retry", "adopts_only_higher"]
)
def test_the_head_protocol_without_one_of_its_rules_fails(rule):
    broken = head.specification(**{rule: False})
    assert bounded.counterexample(broken, DEPTH) is not None


def test_ownership_holds():
    assert bounded.counterexample(ownership.specification(), 14) is None


@pytest.mark.parametrize(
    "rule", ["remembers_rivals", "breaks_ties", "counts_attempts"]
)
def test_ownership_without_one_of_its_rules_fails(rule):
    broken = ownership.specification(**{rule: False})
    assert bounded.counterexample(broken, 14) is not None


def test_an_open_flow_before_targets_that_answer_is_never_reset():
    assert bounded.counterexample(relays.specification(), 12) is None


@pytest.mark.parametrize(
    "rule", ["asks_predecessor", "minds_the_dead", "waits_for_all"]
)
def test_relays_without_one_of_their_rules_reset_an_open_flow(rule):
    broken = relays.specification(**{rule: False})
    assert bounded.counterexample(broken, 12) is not None
