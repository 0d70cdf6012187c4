import random

import pytest

from clementinelead.processes import long_polls

BOUNDS_S = [1.0, 3.0, 10.0]


def _schedule(bound_s):
    return long_polls.LongPollSchedule(bound_s, random.Random(1))


@pytest.mark.parametrize("bound_s", BOUNDS_S)
def test_unanswered_polls_leave_time_within_the_bound(bound_s):
    schedule = _schedule(bound_s)
    polls = [schedule.next_poll() for _ in range(200)]
    schedule.on_failure()
    polls.append(schedule.next_poll())
    for poll in polls:
        assert poll.hold_s < poll.timeout_s <= 0.7 * bound_s


def test_polls_that_begin_together_end_at_different_times():
    schedules = [
        long_polls.LongPollSchedule(3.0, random.Random(number))
        for number in range(8)
    ]
    holds_s = [schedule.next_poll().hold_s for schedule in schedules]
    assert max(holds_s) - min(holds_s) > 0.3


def test_poll_is_held_again_only_after_an_answer():
    schedule = _schedule(3.0)
    schedule.on_failure()
    assert schedule.next_poll().hold_s == 0.0
    schedule.on_failure()
    assert schedule.next_poll().hold_s == 0.0
    schedule.on_answer()
    assert schedule.next_poll().hold_s > 0.0
