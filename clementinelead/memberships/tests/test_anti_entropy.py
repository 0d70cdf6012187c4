"""Only lasting differences cause a sync, at limited frequency."""

import random

from clementinelead.memberships import anti_entropy


def test_brief_differences_cause_no_sync():
    schedule = anti_entropy.SyncSchedule(random.Random(1))
    times = [number * 0.5 for number in range(200)]
    assert not any(
        schedule.is_due(differs=int(now) % 2 == 0, now=now) for now in times
    )


def test_lasting_difference_causes_a_sync_about_every_10_seconds():
    schedule = anti_entropy.SyncSchedule(random.Random(1))
    due = [now for now in range(100) if schedule.is_due(True, float(now))]
    assert due[0] == anti_entropy.MIN_DIFFERENCE_S
    assert 5 <= len(due) <= 20
