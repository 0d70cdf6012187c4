import dataclasses

from clementinelead.relays import announcements

UpdateResult = announcements.UpdateResult
HEARTBEAT = announcements.Heartbeat(
    id="i-1",
    started_ms=1_000,
    sequence=4,
    service="lookups",
    slots=2,
    draining=False,
    warmup_s=0.0,
)


def _lifecycle(*heartbeats):
    lifecycle = announcements.TargetLifecycle("lookups")
    for heartbeat in heartbeats:
        lifecycle.on_heartbeat(heartbeat)
    return lifecycle


def _heartbeat(**fields):
    return dataclasses.replace(HEARTBEAT, **fields)


def test_target_accepts_flows_after_its_first_heartbeat():
    lifecycle = _lifecycle()
    assert not lifecycle.accepting
    assert lifecycle.on_heartbeat(HEARTBEAT) is UpdateResult.NEW_INCARNATION
    assert lifecycle.accepting


def test_draining_heartbeat_changes_the_state_and_ends_acceptance():
    lifecycle = _lifecycle(HEARTBEAT)
    result = lifecycle.on_heartbeat(_heartbeat(sequence=5, draining=True))
    assert result is UpdateResult.CHANGED
    assert not lifecycle.accepting


def test_delayed_heartbeat_of_the_same_incarnation_is_stale():
    lifecycle = _lifecycle(HEARTBEAT, _heartbeat(sequence=6, draining=True))
    assert lifecycle.on_heartbeat(_heartbeat(sequence=5)) is UpdateResult.STALE
    assert not lifecycle.accepting


def test_delayed_heartbeat_of_an_earlier_incarnation_is_stale():
    lifecycle = _lifecycle(_heartbeat(id="i-2", started_ms=2_000, sequence=1))
    delayed = _heartbeat(sequence=9, draining=True)
    assert lifecycle.on_heartbeat(delayed) is UpdateResult.STALE
    assert lifecycle.accepting


def test_restart_under_the_same_identifier_is_a_new_incarnation():
    lifecycle = _lifecycle(_heartbeat(sequence=50, draining=True))
    restarted = _heartbeat(started_ms=3_000, sequence=1)
    assert lifecycle.on_heartbeat(restarted) is UpdateResult.NEW_INCARNATION
    assert lifecycle.accepting


def test_heartbeat_for_another_service_is_rejected():
    lifecycle = _lifecycle(HEARTBEAT)
    other_service = _heartbeat(service="exports", started_ms=9_000)
    assert lifecycle.on_heartbeat(other_service) is UpdateResult.OTHER_SERVICE
    assert lifecycle.last_heartbeat == HEARTBEAT


def test_departure_of_another_target_is_stale():
    lifecycle = _lifecycle(HEARTBEAT)
    departure = announcements.Departure("i-0", None)
    assert lifecycle.on_departure(departure) is UpdateResult.STALE
    assert lifecycle.accepting


def test_departure_ends_acceptance():
    lifecycle = _lifecycle(HEARTBEAT)
    result = lifecycle.on_departure(announcements.Departure("i-1", 1_000))
    assert result is UpdateResult.CHANGED
    assert not lifecycle.accepting
