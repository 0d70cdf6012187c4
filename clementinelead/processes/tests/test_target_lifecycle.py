"""Drains of a target, and its return, without a process."""

import pytest

from clementinelead.processes import target_lifecycle

COLD_S = 2.0
BOUND_S = 10.0


@pytest.fixture(name="life")
def _life():
    life = target_lifecycle.TargetLifecycle(COLD_S)
    life.start_accepting(0.0)
    life.update(None, True, COLD_S)
    assert life.state == "ready"
    return life


def test_target_stays_cold_until_it_has_joined_and_warmed_up():
    life = target_lifecycle.TargetLifecycle(COLD_S)
    assert not life.update(None, True, 100.0)
    life.start_accepting(100.0)
    assert not life.update(None, True, 100.0 + COLD_S / 2)
    assert life.update(None, True, 100.0 + COLD_S)
    assert life.state == "ready"


def test_drained_target_leaves_when_it_is_empty(life):
    assert life.update(BOUND_S, True, 10.0)
    assert life.state == "draining"
    assert not life.update(BOUND_S, False, 11.0)
    assert life.update(BOUND_S, True, 12.0)
    assert life.state == "leaving"


def test_drained_target_leaves_at_its_bound(life):
    life.update(BOUND_S, False, 10.0)
    assert not life.update(BOUND_S, False, 10.0 + BOUND_S - 0.1)
    assert life.update(BOUND_S, False, 10.0 + BOUND_S)
    assert life.state == "leaving"


def test_drain_that_is_undone_in_time_leaves_the_target_ready(life):
    life.update(BOUND_S, False, 10.0)
    assert life.update(None, False, 11.0)
    assert life.state == "ready"


def test_target_that_has_left_comes_back_cold(life):
    life.update(BOUND_S, True, 10.0)
    life.update(BOUND_S, True, 10.1)
    assert life.update(None, True, 20.0)
    assert life.state == "cold"
    assert not life.update(None, True, 20.0 + COLD_S / 2)
    assert life.update(None, True, 20.0 + COLD_S)
    assert life.state == "ready"


def test_drain_of_a_target_that_has_come_back_begins_anew(life):
    for began in (10.0, 30.0):
        life.update(BOUND_S, True, began)
        assert not life.update(BOUND_S, False, began + BOUND_S / 2)
        life.update(BOUND_S, False, began + BOUND_S)
        assert life.state == "leaving"
        life.update(None, True, began + BOUND_S + 1.0)
