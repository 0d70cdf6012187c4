from clementinelead.relays import recent_loads

SIDE = ("side", 1)
NOW = 100.0


def test_load_is_used_again_for_a_moment():
    recent = recent_loads.RecentLoads()
    assert recent.load_ms(SIDE, NOW) is None
    recent.record(SIDE, 30, NOW)
    assert recent.load_ms(SIDE, NOW + recent_loads.REUSE_S / 2) == 30
    assert recent.load_ms(SIDE, NOW + 2 * recent_loads.REUSE_S) is None


def test_flows_placed_since_make_a_target_dearer():
    recent = recent_loads.RecentLoads()
    recent.record(SIDE, 0, NOW)
    loads = []
    for _ in range(5):
        loads.append(recent.load_ms(SIDE, NOW))
        recent.add_placement(SIDE)
    assert loads == sorted(loads)
    assert loads[-1] > loads[0]


def test_target_that_turned_a_flow_down_is_asked():
    recent = recent_loads.RecentLoads()
    recent.record(SIDE, 30, NOW)
    recent.discard(SIDE)
    assert recent.load_ms(SIDE, NOW) is None


def test_balancer_that_is_behind_goes_by_older_loads_or_none():
    recent = recent_loads.RecentLoads()
    recent.backlogged = True
    assert recent.load_ms(SIDE, NOW) == 0
    recent.record(SIDE, 30, NOW)
    assert recent.load_ms(SIDE, NOW + 5 * recent_loads.REUSE_S) == 30
    assert recent.load_ms(SIDE, NOW + 2 * recent_loads.BACKLOGGED_REUSE_S) == 0
