"""Only a difference that lasts is repaired, and not too often."""

import random

from clementinelead.memberships import anti_entropy


def test_a_passing_difference_is_not_repaired():
    schedule = anti_entropy.SyncSchedule(random.Random(1))
    times = [number * 0.5 for number in range(200)]
    assert not any(
        schedule.is_due(differs=int(now) % 2 == 0, now=now) for now in times
    )


def test_a_lasting_difference_is_repaired_now_and_then():
    schedule = anti_entropy.SyncSchedule(random.Random(1))
    due = [now for now in range(100) if schedule.is_due(True, float(now))]
    assert due[0] == anti_entropy.MIN_DIFFERENCE_S
    assert 5 <= len(due) <= 20
