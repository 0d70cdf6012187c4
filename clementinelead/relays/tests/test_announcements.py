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
NOW = 100.0


def _lifecycle(*heartbeats):
    lifecycle = announcements.TargetLifecycle("lookups")
    for heartbeat in heartbeats:
        lifecycle.on_heartbeat(heartbeat, NOW)
    return lifecycle


def _heartbeat(**fields):
    return dataclasses.replace(HEARTBEAT, **fields)


def test_target_accepts_flows_after_its_first_heartbeat():
    lifecycle = _lifecycle()
    assert not lifecycle.accepting
    assert (
        lifecycle.on_heartbeat(HEARTBEAT, NOW) is UpdateResult.NEW_INCARNATION
    )
    assert lifecycle.accepting


def test_draining_heartbeat_changes_the_state_and_ends_acceptance():
    lifecycle = _lifecycle(HEARTBEAT)
    result = lifecycle.on_heartbeat(_heartbeat(sequence=5, draining=True), NOW)
    assert result is UpdateResult.CHANGED
    assert not lifecycle.accepting


def test_delayed_heartbeat_of_the_same_incarnation_is_stale():
    lifecycle = _lifecycle(HEARTBEAT, _heartbeat(sequence=6, draining=True))
    assert (
        lifecycle.on_heartbeat(_heartbeat(sequence=5), NOW)
        is UpdateResult.STALE
    )
    assert not lifecycle.accepting


def test_delayed_heartbeat_of_an_earlier_incarnation_is_stale():
    lifecycle = _lifecycle(_heartbeat(id="i-2", started_ms=2_000, sequence=1))
    delayed = _heartbeat(sequence=9, draining=True)
    assert lifecycle.on_heartbeat(delayed, NOW) is UpdateResult.STALE
    assert lifecycle.accepting


def test_restart_under_the_same_identifier_is_a_new_incarnation():
    lifecycle = _lifecycle(_heartbeat(sequence=50, draining=True))
    restarted = _heartbeat(started_ms=3_000, sequence=1)
    result = lifecycle.on_heartbeat(restarted, NOW + 2.0)
    assert result is UpdateResult.NEW_INCARNATION
    assert lifecycle.accepting


def test_heartbeat_for_another_service_is_rejected():
    lifecycle = _lifecycle(HEARTBEAT)
    other_service = _heartbeat(service="exports", started_ms=9_000)
    assert (
        lifecycle.on_heartbeat(other_service, NOW) is UpdateResult.OTHER_SERVICE
    )
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


def _send_series(lifecycle, heartbeat, interval_s):
    """Sends three heartbeats of an incarnation, and returns the results."""
    return [
        lifecycle.on_heartbeat(
            dataclasses.replace(
                heartbeat, sequence=heartbeat.sequence + number
            ),
            NOW + number * interval_s,
        )
        for number in range(3)
    ]


# Guards against a target that is rejected for as long as its process lives,
# after one well-formed heartbeat with a later start (DRAIN, review/3).
def test_living_target_is_reinstated_after_a_heartbeat_of_another():
    other = _heartbeat(id="i-other", started_ms=60_000, draining=True)
    lifecycle = _lifecycle(HEARTBEAT, other)
    assert not lifecycle.accepting
    own = _heartbeat(sequence=5)
    assert _send_series(lifecycle, own, 0.77) == [
        UpdateResult.STALE,
        UpdateResult.STALE,
        UpdateResult.REINSTATED,
    ]
    assert lifecycle.accepting


# Guards against a drain that a complete heartbeat of another writer takes back
# (DRAIN, review/3).
def test_draining_target_is_not_replaced_while_its_heartbeats_go_on():
    lifecycle = _lifecycle(_heartbeat(draining=True))
    for number in range(5):
        now = NOW + 0.77 * number
        other = _heartbeat(id="i-other", started_ms=60_000, sequence=number)
        assert lifecycle.on_heartbeat(other, now) is UpdateResult.STALE
        own = _heartbeat(sequence=5 + number, draining=True)
        assert lifecycle.on_heartbeat(own, now + 0.3) is UpdateResult.UNCHANGED
    assert not lifecycle.accepting


def test_draining_target_that_has_left_is_replaced_at_once():
    lifecycle = _lifecycle(_heartbeat(draining=True))
    lifecycle.on_departure(announcements.Departure("i-1", 1_000))
    replacement = _heartbeat(id="i-2", started_ms=2_000, sequence=1)
    result = lifecycle.on_heartbeat(replacement, NOW + 0.1)
    assert result is UpdateResult.NEW_INCARNATION


def test_target_that_starts_after_its_clock_was_set_back_is_taken():
    lifecycle = _lifecycle(_heartbeat(sequence=90))
    restarted = _heartbeat(id="i-2", started_ms=500, sequence=1)
    results = _send_series(lifecycle, restarted, 0.77)
    assert results[-1] is UpdateResult.REINSTATED
    assert lifecycle.last_heartbeat.id == "i-2"


def test_target_is_reinstated_after_a_heartbeat_with_a_high_sequence():
    lifecycle = _lifecycle(HEARTBEAT, _heartbeat(sequence=2**60))
    results = _send_series(lifecycle, _heartbeat(sequence=5), 0.77)
    assert results[-1] is UpdateResult.REINSTATED


def test_delayed_heartbeats_that_arrive_together_stay_stale():
    lifecycle = _lifecycle(_heartbeat(id="i-2", started_ms=2_000, sequence=1))
    delayed = _heartbeat(sequence=9, draining=True)
    results = _send_series(lifecycle, delayed, 0.01)
    assert set(results) == {UpdateResult.STALE}
    assert lifecycle.accepting


def test_former_incarnation_is_not_reinstated_while_its_successor_sends():
    lifecycle = _lifecycle(_heartbeat(id="i-2", started_ms=2_000, sequence=1))
    for number in range(5):
        now = NOW + 0.77 * number
        former = _heartbeat(sequence=9 + number, draining=True)
        assert lifecycle.on_heartbeat(former, now) is UpdateResult.STALE
        successor = _heartbeat(id="i-2", started_ms=2_000, sequence=2 + number)
        lifecycle.on_heartbeat(successor, now + 0.3)
    assert lifecycle.accepting
