from clementinelead.relays import workload

NOW = 100.0
WARMUP_S = 2.0
WORK_S = 0.1


def _cold_target():
    load = workload.Workload(NOW)
    load.configure(4, WARMUP_S, NOW)
    return load


def test_cold_target_is_expected_to_be_slower_than_what_is_assumed():
    assert _cold_target().completion_ms(NOW) > (
        _cold_target().completion_ms(NOW + WARMUP_S)
    )


def test_what_a_cold_target_has_shown_is_not_taken_for_quicker_work():
    load = _cold_target()
    load.opened(NOW)
    load.finished(WORK_S, 0, NOW + WORK_S)
    assert load.completion_ms(NOW + WORK_S) == WORK_S * 1000


def test_cold_target_with_a_short_queue_takes_flows_that_can_be_in_time():
    load = _cold_target()
    for _ in range(4):
        load.opened(NOW)
        load.finished(WORK_S, 0, NOW + WORK_S)
    for _ in range(5):
        load.opened(NOW)
    # Two in the queue: done after 1.5 rounds of 0.1 s.
    assert not load.busy(275, NOW + WORK_S)
    assert load.busy(150, NOW + WORK_S)
