import pytest

from clementinelead.memberships import members
from clementinelead.relays import completeness

SETTLE_TIME_S = completeness.SETTLE_TIME_S


@pytest.fixture(name="joined")
def _joined():
    view = completeness.Completeness()
    view.on_joined(100.0)
    return view


def test_nothing_is_complete_before_the_join():
    view = completeness.Completeness()
    view.update_from_count(5, 0, 5, 100.0)
    assert view.complete_from == float("inf")


def test_time_since_the_join_is_enough(joined):
    assert joined.complete_from == 100.0 + SETTLE_TIME_S


def test_complete_at_once_when_all_are_back(joined):
    joined.update_from_count(4, 0, 5, 100.2)
    assert joined.complete_from > 100.2
    joined.update_from_count(5, 0, 5, 100.4)
    assert joined.complete_from == 100.4


@pytest.mark.parametrize(
    ("serving", "missing", "before"),
    [
        (5, 1, 5),  # one that is known is not there
        (6, 0, 5),  # the count is older than the last of them
        (5, 0, 0),  # nobody knows how many there were
    ],
)
def test_count_that_proves_nothing_is_not_used(
    joined, serving, missing, before
):
    joined.update_from_count(serving, missing, before, 100.4)
    assert joined.complete_from == 100.0 + SETTLE_TIME_S


def test_one_that_appears_later_means_that_more_may_follow(joined):
    joined.update_from_count(5, 0, 5, 100.4)
    joined.on_appeared(103.0)
    joined.update_from_count(6, 0, 5, 103.0)
    assert joined.complete_from == 103.0 + SETTLE_TIME_S


def test_the_dead_may_come_back(joined):
    joined.on_died(102.0)
    joined.update_from_count(5, 1, 5, 102.0)
    assert joined.complete_from == 102.0 + members.RETURN_S


def test_count_tells_nothing_after_all_were_known(joined):
    joined.update_from_count(5, 0, 5, 100.4)
    assert joined.was_complete(100.5)
    joined.on_appeared(103.0)
    joined.update_from_count(5, 0, 5, 103.5)
    assert joined.complete_from == 103.0 + SETTLE_TIME_S


@pytest.mark.parametrize(
    ("serving", "before"),
    [
        (48, 50),
        (9, 10),  # a target that left while the store was away still counts
    ],
)
def test_few_are_given_up_when_no_more_appear(joined, serving, before):
    joined.on_appeared(100.5)
    joined.update_from_count(serving, 0, before, 100.6)
    assert joined.complete_from > 100.6
    late = 100.5 + completeness.QUIET_PERIOD_S
    joined.update_from_count(serving, 0, before, late)
    assert joined.complete_from == late


@pytest.mark.parametrize(
    ("serving", "before"), [(47, 50), (4, 5), (8, 10), (8, 9), (18, 20)]
)
def test_more_of_them_are_waited_for(joined, serving, before):
    joined.update_from_count(serving, 0, before, 103.0)
    assert joined.complete_from == 100.0 + SETTLE_TIME_S


def test_denials_count_after_a_loss_of_all_though_some_stay_away(joined):
    # Targets that left while the store was away are still counted.
    joined.on_appeared(100.5)
    calm = 100.5 + completeness.QUIET_PERIOD_S
    joined.update_from_count(63, 0, 70, calm - 0.1, all_restarted=True)
    assert joined.denials_conclusive_from == float("inf")
    joined.update_from_count(63, 0, 70, calm, all_restarted=True)
    assert joined.denials_conclusive_from == calm
    assert joined.complete_from == 100.5 + SETTLE_TIME_S


@pytest.mark.parametrize(
    ("serving", "missing", "before", "anew"),
    [
        (63, 0, 70, False),  # the others ran on, and know all their flows
        (50, 0, 70, True),  # too many are away
        (63, 1, 70, True),  # a known one may come back
        (63, 0, 0, True),  # nobody knows how many there were
    ],
)
def test_denials_that_prove_nothing(joined, serving, missing, before, anew):
    joined.update_from_count(serving, missing, before, 103.0, anew)
    assert joined.denials_conclusive_from == float("inf")


def test_denials_count_no_longer_when_one_more_appears(joined):
    joined.update_from_count(9, 0, 11, 102.0, all_restarted=True)
    assert joined.denials_conclusive_from == 102.0
    joined.on_appeared(102.5)
    assert joined.denials_conclusive_from == float("inf")
