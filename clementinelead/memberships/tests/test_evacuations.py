import itertools

from clementinelead.memberships import evacuations

_NOW = 100.0


def _state(era, revision, *zones):
    return evacuations.EvacuationState(era, revision, frozenset(zones))


def _zones_after(*states, now=_NOW):
    view = evacuations.EvacuationView()
    for state in states:
        view.adopt(state, now)
    return view.zones(now)


def test_newest_state_wins_in_any_order_of_arrival():
    states = (
        _state(1, 5),
        _state(1, 6, "a"),
        _state(1, 7),
        _state(1, 9, "b"),
        _state(1, 9, "b"),
    )
    for order in itertools.permutations(states):
        assert _zones_after(*order) == {"b"}


def test_older_state_that_arrives_late_does_not_evacuate_again():
    assert _zones_after(_state(1, 6, "a"), _state(1, 7), _state(1, 6, "a")) == (
        frozenset()
    )


def test_state_of_an_older_era_is_rejected_whatever_its_revision():
    assert _zones_after(_state(2, 3, "a"), _state(1, 900)) == {"a"}


def test_zone_that_a_restored_store_lacks_stays_evacuated_for_a_while():
    view = evacuations.EvacuationView()
    view.adopt(_state(1, 50, "a", "b"), _NOW)
    view.adopt(_state(2, 20, "b"), _NOW)
    end = _NOW + evacuations.RESTORED_STORE_GRACE_S
    assert view.zones(end - 0.1) == {"a", "b"}
    assert view.zones(end) == {"b"}


def test_zone_that_is_written_again_and_removed_is_restored_at_once():
    view = evacuations.EvacuationView()
    view.adopt(_state(1, 50, "a"), _NOW)
    view.adopt(_state(2, 20), _NOW)
    view.adopt(_state(2, 21, "a"), _NOW + 0.1)
    assert view.zones(_NOW + 0.1) == {"a"}
    view.adopt(_state(2, 22), _NOW + 0.2)
    assert view.zones(_NOW + 0.2) == frozenset()


def test_process_that_starts_after_the_restore_has_no_grace_period():
    assert _zones_after(_state(2, 20)) == frozenset()
