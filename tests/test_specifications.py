"""The specifications hold, and their broken variants are found faulty."""

import pytest

from specs import bounded
from specs import head
from specs import ownership

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
