"""Warm-up, drain and return of a target, without a process."""

import pytest

from clementinelead.processes import target_lifecycle

COLD_S = 2.0
BOUND_S = 10.0


@pytest.fixture(name="lifecycle")
def _ready_target():
    lifecycle = target_lifecycle.TargetLifecycle(COLD_S)
    lifecycle.start_accepting(0.0)
    lifecycle.update(None, True, COLD_S)
    assert lifecycle.state == "ready"
    return lifecycle


def test_target_is_cold_until_the_end_of_the_warm_up():
    lifecycle = target_lifecycle.TargetLifecycle(COLD_S)
    assert not lifecycle.update(None, True, 100.0)
    lifecycle.start_accepting(100.0)
    assert not lifecycle.update(None, True, 100.0 + COLD_S / 2)
    assert lifecycle.update(None, True, 100.0 + COLD_S)
    assert lifecycle.state == "ready"


def test_draining_target_leaves_when_it_is_empty(lifecycle):
    assert lifecycle.update(BOUND_S, True, 10.0)
    assert lifecycle.state == "draining"
    assert not lifecycle.update(BOUND_S, False, 11.0)
    assert lifecycle.update(BOUND_S, True, 12.0)
    assert lifecycle.state == "leaving"


def test_draining_target_leaves_at_the_bound_of_the_drain(lifecycle):
    lifecycle.update(BOUND_S, False, 10.0)
    assert not lifecycle.update(BOUND_S, False, 10.0 + BOUND_S - 0.1)
    assert lifecycle.update(BOUND_S, False, 10.0 + BOUND_S)
    assert lifecycle.state == "leaving"


def test_undone_drain_makes_the_target_ready(lifecycle):
    lifecycle.update(BOUND_S, False, 10.0)
    assert lifecycle.update(None, False, 11.0)
    assert lifecycle.state == "ready"


def test_target_that_returns_after_leaving_warms_up_again(lifecycle):
    lifecycle.update(BOUND_S, True, 10.0)
    lifecycle.update(BOUND_S, True, 10.1)
    assert lifecycle.update(None, True, 20.0)
    assert lifecycle.state == "cold"
    assert not lifecycle.update(None, True, 20.0 + COLD_S / 2)
    assert lifecycle.update(None, True, 20.0 + COLD_S)
    assert lifecycle.state == "ready"


def test_second_drain_has_its_own_bound(lifecycle):
    for started_at in (10.0, 30.0):
        lifecycle.update(BOUND_S, True, started_at)
        assert not lifecycle.update(BOUND_S, False, started_at + BOUND_S / 2)
        lifecycle.update(BOUND_S, False, started_at + BOUND_S)
        assert lifecycle.state == "leaving"
        lifecycle.update(None, True, started_at + BOUND_S + 1.0)
