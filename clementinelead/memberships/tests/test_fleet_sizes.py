import hypothesis
from hypothesis import strategies

from clementinelead.memberships import fleet_sizes

WINDOW_S = 20.0


def test_nothing_observed_is_nothing():
    assert fleet_sizes.FleetSize(WINDOW_S).most(1.0) == 0


def test_last_count_stays_when_nothing_follows():
    size = fleet_sizes.FleetSize(WINDOW_S)
    size.observe(7, 0.0)
    assert size.most(1_000.0) == 7


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 10.0), strategies.integers(0, 9)
        ),
        min_size=1,
    )
)
def test_is_the_highest_count_of_the_window(steps):
    size = fleet_sizes.FleetSize(WINDOW_S)
    now = 0.0
    seen = []
    for pause, count in steps:
        now += pause
        size.observe(count, now)
        seen.append((now, count))
        expected = max(c for t, c in seen if t >= now - WINDOW_S)
        assert size.most(now) == expected
