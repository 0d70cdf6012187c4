"""Drains of a target, and its return, without a process."""

import pytest

from clementinelead.processes import target_life

COLD_S = 2.0
BOUND_S = 10.0


@pytest.fixture(name="life")
def _life():
    life = target_life.TargetLife(COLD_S)
    life.begin(0.0)
    life.follow(None, True, COLD_S)
    assert life.state == "ready"
    return life


def test_target_stays_cold_until_it_has_joined_and_warmed_up():
    life = target_life.TargetLife(COLD_S)
    assert not life.follow(None, True, 100.0)
    life.begin(100.0)
    assert not life.follow(None, True, 100.0 + COLD_S / 2)
    assert life.follow(None, True, 100.0 + COLD_S)
    assert life.state == "ready"


def test_drained_target_leaves_when_it_is_empty(life):
    assert life.follow(BOUND_S, True, 10.0)
    assert life.state == "draining"
    assert not life.follow(BOUND_S, False, 11.0)
    assert life.follow(BOUND_S, True, 12.0)
    assert life.state == "leaving"


def test_drained_target_leaves_at_its_bound(life):
    life.follow(BOUND_S, False, 10.0)
    assert not life.follow(BOUND_S, False, 10.0 + BOUND_S - 0.1)
    assert life.follow(BOUND_S, False, 10.0 + BOUND_S)
    assert life.state == "leaving"


def test_drain_that_is_undone_in_time_leaves_the_target_ready(life):
    life.follow(BOUND_S, False, 10.0)
    assert life.follow(None, False, 11.0)
    assert life.state == "ready"


def test_target_that_has_left_comes_back_cold(life):
    life.follow(BOUND_S, True, 10.0)
    life.follow(BOUND_S, True, 10.1)
    assert life.follow(None, True, 20.0)
    assert life.state == "cold"
    assert not life.follow(None, True, 20.0 + COLD_S / 2)
    assert life.follow(None, True, 20.0 + COLD_S)
    assert life.state == "ready"


def test_drain_of_a_target_that_has_come_back_begins_anew(life):
    for began in (10.0, 30.0):
        life.follow(BOUND_S, True, began)
        assert not life.follow(BOUND_S, False, began + BOUND_S / 2)
        life.follow(BOUND_S, False, began + BOUND_S)
        assert life.state == "leaving"
        life.follow(None, True, began + BOUND_S + 1.0)
