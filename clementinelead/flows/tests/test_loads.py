"""Tests of the load estimate and of admission control."""

from clementinelead.flows import loads


def estimate(**limits):
    return loads.LoadEstimate(loads.Limits(cold_start_s=0.0, **limits), 0.0)


def test_estimated_service_time_excludes_the_wait_for_a_slot():
    load = estimate(slots=1)
    for _ in range(300):
        active_before_first = load.add_flow()
        active_before_second = load.add_flow()
        load.complete_request(0.2, active_before_first)
        load.complete_request(0.4, active_before_second)
    assert abs(load.service_s - 0.2) < 0.01


def test_first_sample_replaces_the_initial_service_time():
    load = estimate(slots=1)
    load.complete_request(0.8, load.add_flow())
    assert abs(load.service_s - 0.8) < 1e-9


def test_last_resort_accepts_only_a_wait_within_the_limit():
    load = estimate(slots=1, max_wait_s=1.0)
    load.service_s = 0.4
    for _ in range(3):
        assert load.check_admission(0.0, last_resort=True).allowed
        load.add_flow()
    rejection = load.check_admission(0.0, last_resort=True)
    assert (rejection.allowed, rejection.reason) == (False, "wait")


def test_usable_slots_grow_during_a_cold_start():
    limits = loads.Limits(slots=8, cold_start_s=10.0)
    load = loads.LoadEstimate(limits, 0.0)
    slots = [load.usable_slots(now) for now in (0.0, 5.0, 10.0)]
    assert slots == [2, 5, 8]


def test_reported_retry_delays_of_zero_and_an_hour_are_clamped():
    load = estimate()
    load.apply_load_report(True, 0.0, 100.0)
    assert not load.check_admission(100.5, last_resort=True).allowed
    load.apply_load_report(True, 3600.0, 100.0)
    assert not load.check_admission(104.0, last_resort=True).allowed
    assert load.check_admission(105.0, last_resort=True).allowed


def test_report_without_shedding_ends_the_retry_delay():
    load = estimate()
    load.apply_load_report(True, 5.0, 100.0)
    load.apply_load_report(False, 0.0, 101.0)
    assert load.check_admission(101.0, last_resort=False).allowed


def test_mute_target_that_reports_no_shedding_gets_no_flows():
    """Observed behaviour takes precedence over the target's load report."""
    load = estimate()
    for _ in range(3):
        load.record_unanswered(100.0)
    load.apply_load_report(False, 0.0, 100.5)
    rejection = load.check_admission(100.5, last_resort=True)
    assert (rejection.allowed, rejection.reason) == (False, "mute")
    assert load.check_admission(102.0, last_resort=True).allowed
