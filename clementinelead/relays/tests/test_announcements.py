import dataclasses

from clementinelead.relays import announcements

Verdict = announcements.UpdateResult
BEAT = announcements.Heartbeat(
    id="i-1",
    started_ms=1_000,
    sequence=4,
    service="lookups",
    slots=2,
    draining=False,
    warmup_s=0.0,
)


def _lifecycle(*beats):
    lifecycle = announcements.TargetLifecycle("lookups")
    for beat in beats:
        lifecycle.on_heartbeat(beat)
    return lifecycle


def _beat(**fields):
    return dataclasses.replace(BEAT, **fields)


def test_first_heartbeat_makes_ready():
    lifecycle = _lifecycle()
    assert not lifecycle.accepting
    assert lifecycle.on_heartbeat(BEAT) is Verdict.NEW_INCARNATION
    assert lifecycle.accepting


def test_draining_is_a_change_and_accepts_no_more():
    lifecycle = _lifecycle(BEAT)
    verdict = lifecycle.on_heartbeat(_beat(sequence=5, draining=True))
    assert verdict is Verdict.CHANGED
    assert not lifecycle.accepting


def test_late_heartbeat_of_the_same_incarnation_is_stale():
    lifecycle = _lifecycle(BEAT, _beat(sequence=6, draining=True))
    assert lifecycle.on_heartbeat(_beat(sequence=5)) is Verdict.STALE
    assert not lifecycle.accepting


def test_late_heartbeat_of_an_earlier_incarnation_is_stale():
    lifecycle = _lifecycle(_beat(id="i-2", started_ms=2_000, sequence=1))
    late = _beat(sequence=9, draining=True)
    assert lifecycle.on_heartbeat(late) is Verdict.STALE
    assert lifecycle.accepting


def test_restart_under_the_same_identifier_counts_anew():
    lifecycle = _lifecycle(_beat(sequence=50, draining=True))
    reborn = _beat(started_ms=3_000, sequence=1)
    assert lifecycle.on_heartbeat(reborn) is Verdict.NEW_INCARNATION
    assert lifecycle.accepting


def test_other_service_is_foreign():
    lifecycle = _lifecycle(BEAT)
    foreign = _beat(service="exports", started_ms=9_000)
    assert lifecycle.on_heartbeat(foreign) is Verdict.OTHER_SERVICE
    assert lifecycle.last_heartbeat == BEAT


def test_departure_of_an_earlier_target_is_stale():
    lifecycle = _lifecycle(BEAT)
    gone = announcements.Departure("i-0", None)
    assert lifecycle.on_departure(gone) is Verdict.STALE
    assert lifecycle.accepting


def test_departure_ends_acceptance():
    lifecycle = _lifecycle(BEAT)
    departed = lifecycle.on_departure(announcements.Departure("i-1", 1_000))
    assert departed is Verdict.CHANGED
    assert not lifecycle.accepting
