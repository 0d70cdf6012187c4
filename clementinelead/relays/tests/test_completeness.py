"""Completeness of the member list after a start."""

import pytest

from clementinelead.memberships import members
from clementinelead.relays import completeness

SETTLE_TIME_S = completeness.SETTLE_TIME_S


@pytest.fixture(name="joined")
def _joined():
    view = completeness.Completeness()
    view.on_joined(100.0)
    return view


def test_member_list_is_incomplete_before_the_join():
    view = completeness.Completeness()
    view.update_from_count(5, 0, 5, 100.0)
    assert view.complete_from == float("inf")


def test_member_list_is_complete_some_time_after_the_join(joined):
    assert joined.complete_from == 100.0 + SETTLE_TIME_S


def test_member_list_is_complete_once_the_expected_count_serves(joined):
    joined.update_from_count(4, 0, 5, 100.2)
    assert joined.complete_from > 100.2
    joined.update_from_count(5, 0, 5, 100.4)
    assert joined.complete_from == 100.4
    assert not joined.some_missing


def test_member_list_that_is_complete_without_one_process_says_so(joined):
    joined.update_from_count(11, 0, 12, 100.0 + completeness.QUIET_PERIOD_S)
    assert joined.complete_from == 100.0 + completeness.QUIET_PERIOD_S
    assert joined.some_missing


@pytest.mark.parametrize(
    ("serving", "missing", "expected"),
    [
        (5, 1, 5),  # a known process is missing
        (6, 0, 5),  # the count is outdated
        (5, 0, 0),  # the earlier count is unknown
    ],
)
def test_inconclusive_count_is_ignored(joined, serving, missing, expected):
    joined.update_from_count(serving, missing, expected, 100.4)
    assert joined.complete_from == 100.0 + SETTLE_TIME_S


def test_appearance_of_a_process_restarts_the_settle_time(joined):
    joined.update_from_count(5, 0, 5, 100.4)
    joined.on_appeared(103.0)
    joined.update_from_count(6, 0, 5, 103.0)
    assert joined.complete_from == 103.0 + SETTLE_TIME_S


def test_dead_process_may_return(joined):
    joined.on_died(102.0)
    joined.update_from_count(5, 1, 5, 102.0)
    assert joined.complete_from == 102.0 + members.RETURN_WINDOW_S


def test_count_is_ignored_once_the_list_was_complete(joined):
    joined.update_from_count(5, 0, 5, 100.4)
    assert joined.was_complete(100.5)
    joined.on_appeared(103.0)
    joined.update_from_count(5, 0, 5, 103.5)
    assert joined.complete_from == 103.0 + SETTLE_TIME_S


@pytest.mark.parametrize(
    ("serving", "expected"),
    [
        (48, 50),
        (9, 10),  # includes a target that left while the store was unavailable
    ],
)
def test_few_missing_processes_are_tolerated_after_a_quiet_period(
    joined, serving, expected
):
    joined.on_appeared(100.5)
    joined.update_from_count(serving, 0, expected, 100.6)
    assert joined.complete_from > 100.6
    late = 100.5 + completeness.QUIET_PERIOD_S
    joined.update_from_count(serving, 0, expected, late)
    assert joined.complete_from == late


@pytest.mark.parametrize(
    ("serving", "expected"), [(47, 50), (4, 5), (8, 10), (8, 9), (18, 20)]
)
def test_too_many_missing_processes_are_waited_for(joined, serving, expected):
    joined.update_from_count(serving, 0, expected, 103.0)
    assert joined.complete_from == 100.0 + SETTLE_TIME_S


def test_none_of_the_count_may_be_missing_if_one_died_before_the_join(joined):
    late = 100.5 + completeness.QUIET_PERIOD_S
    joined.update_from_count(48, 0, 50, late, True, lost_before_join=True)
    joined.update_from_count(42, 0, 50, late, True, lost_before_join=True)
    assert joined.complete_from == 100.0 + SETTLE_TIME_S
    assert joined.denials_conclusive_from == float("inf")
    joined.update_from_count(50, 0, 50, late, True, lost_before_join=True)
    assert joined.complete_from == late


def test_denials_count_after_a_full_restart_with_some_missing(joined):
    # The count includes targets that left while the store was unavailable.
    joined.on_appeared(100.5)
    quiet_at = 100.5 + completeness.LOSS_QUIET_PERIOD_S + 0.001
    joined.update_from_count(63, 0, 70, quiet_at - 0.1, all_restarted=True)
    assert joined.denials_conclusive_from == float("inf")
    joined.update_from_count(63, 0, 70, quiet_at, all_restarted=True)
    assert joined.denials_conclusive_from == quiet_at
    assert joined.complete_from == 100.5 + SETTLE_TIME_S


def test_member_list_stays_incomplete_while_denials_count(joined):
    # Guards against resets of flows that an unsure process may hold.
    joined.on_appeared(100.5)
    quiet_at = 100.5 + completeness.LOSS_QUIET_PERIOD_S + 0.001
    joined.update_from_count(69, 0, 70, quiet_at, all_restarted=True)
    assert joined.denials_conclusive_from == quiet_at
    assert joined.complete_from == 100.5 + SETTLE_TIME_S
    late = 100.5 + completeness.QUIET_PERIOD_S
    joined.update_from_count(69, 0, 70, late, all_restarted=True)
    assert joined.complete_from == late


@pytest.mark.parametrize(
    ("serving", "missing", "expected", "all_restarted"),
    [
        (63, 0, 70, False),  # some kept running and may hold earlier flows
        (50, 0, 70, True),  # too many are missing
        (63, 1, 70, True),  # a known process may return
        (63, 0, 0, True),  # the earlier count is unknown
    ],
)
def test_denials_are_inconclusive(
    joined, serving, missing, expected, all_restarted
):
    joined.update_from_count(serving, missing, expected, 103.0, all_restarted)
    assert joined.denials_conclusive_from == float("inf")


def test_denials_stop_counting_when_another_process_appears(joined):
    joined.update_from_count(9, 0, 11, 102.0, all_restarted=True)
    assert joined.denials_conclusive_from == 102.0
    joined.on_appeared(102.5)
    assert joined.denials_conclusive_from == float("inf")
