"""What a side process believes of its target's load."""

from clementinelead.flows import loads


def estimate(**limits):
    return loads.LoadEstimate(loads.Limits(cold_start_s=0.0, **limits), 0.0)


def test_service_time_is_learned_without_the_wait_for_a_slot():
    load = estimate(slots=1)
    for _ in range(300):
        first, second = load.add_flow(), load.add_flow()
        load.record_completion(0.2, first)
        load.record_completion(0.4, second)
    assert abs(load.service_s - 0.2) < 0.01


def test_the_first_sample_replaces_the_initial_guess():
    load = estimate(slots=1)
    load.record_completion(0.8, load.add_flow())
    assert abs(load.service_s - 0.8) < 1e-9


def test_last_resort_accepts_a_wait_within_the_limit_only():
    load = estimate(slots=1, max_wait_s=1.0)
    load.service_s = 0.4
    for _ in range(3):
        assert load.check_admission(0.0, last_resort=True).allowed
        load.add_flow()
    refused = load.check_admission(0.0, last_resort=True)
    assert (refused.allowed, refused.reason) == (False, "wait")


def test_a_cold_target_uses_a_share_that_grows():
    limits = loads.Limits(slots=8, cold_start_s=10.0)
    load = loads.LoadEstimate(limits, 0.0)
    slots = [load.usable_slots(now) for now in (0.0, 5.0, 10.0)]
    assert slots == [2, 5, 8]


def test_hints_of_zero_and_of_an_hour_are_clamped():
    load = estimate()
    load.apply_load_report(True, 0.0, 100.0)
    assert not load.check_admission(100.5, last_resort=True).allowed
    load.apply_load_report(True, 3600.0, 100.0)
    assert not load.check_admission(104.0, last_resort=True).allowed
    assert load.check_admission(105.0, last_resort=True).allowed


def test_a_report_that_takes_no_work_away_ends_the_wait():
    load = estimate()
    load.apply_load_report(True, 5.0, 100.0)
    load.apply_load_report(False, 0.0, 101.0)
    assert load.check_admission(101.0, last_resort=False).allowed


def test_a_mute_target_that_says_it_is_well_gets_no_work():
    """What is observed counts for more than what the target says."""
    load = estimate()
    for _ in range(3):
        load.record_unanswered(100.0)
    load.apply_load_report(False, 0.0, 100.5)
    refused = load.check_admission(100.5, last_resort=True)
    assert (refused.allowed, refused.reason) == (False, "mute")
    assert load.check_admission(102.0, last_resort=True).allowed
