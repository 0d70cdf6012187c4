"""Reuse of the loads that targets have reported."""

from clementinelead.relays import recent_loads

SIDE = ("side", 1)
NOW = 100.0


def test_load_is_reused_for_a_short_time():
    recent = recent_loads.RecentLoads()
    assert recent.load_ms(SIDE, NOW) is None
    recent.record(SIDE, 30, NOW)
    assert recent.load_ms(SIDE, NOW + recent_loads.REUSE_S / 2) == 30
    assert recent.load_ms(SIDE, NOW + 2 * recent_loads.REUSE_S) is None


def test_placed_flows_raise_the_cached_load():
    recent = recent_loads.RecentLoads()
    recent.record(SIDE, 0, NOW)
    loads = []
    for _ in range(5):
        loads.append(recent.load_ms(SIDE, NOW))
        recent.add_placement(SIDE)
    assert loads == sorted(loads)
    assert loads[-1] > loads[0]


def test_target_that_rejected_a_flow_is_queried_again():
    recent = recent_loads.RecentLoads()
    recent.record(SIDE, 30, NOW)
    recent.discard(SIDE)
    assert recent.load_ms(SIDE, NOW) is None


def test_backlogged_balancer_uses_older_loads_or_assumes_none():
    recent = recent_loads.RecentLoads()
    recent.backlogged = True
    assert recent.load_ms(SIDE, NOW) == 0
    recent.record(SIDE, 30, NOW)
    assert recent.load_ms(SIDE, NOW + 5 * recent_loads.REUSE_S) == 30
    assert recent.load_ms(SIDE, NOW + 2 * recent_loads.BACKLOGGED_REUSE_S) == 0


# Guards against memory that grows with each target that ever existed.
def test_loads_of_targets_that_have_gone_are_forgotten():
    recent = recent_loads.RecentLoads()
    for number in range(100):
        recent.record((f"side{number}", 1), 30, NOW + number)
    assert len(recent._report_by_address) <= 2
