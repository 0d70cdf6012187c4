"""Quantiles of recent values."""

from clementinelead.relays import recent_distributions


def test_quantile_follows_recent_values_and_is_unknown_without_many():
    distribution = recent_distributions.RecentDistribution()
    now = 100.0
    for number in range(1, 101):
        known = distribution.quantile(0.5, now)
        assert (known is None) == (number <= recent_distributions.MIN_WEIGHT)
        distribution.add(float(number), now)
    # A bucket's bounds differ by a fifth.
    assert 95 <= distribution.quantile(0.95, now) <= 95 * 1.2
    assert distribution.quantile(1.0, now) <= 100 * 1.2
    now += 10 * recent_distributions.HALF_LIFE_S
    assert distribution.quantile(0.5, now) is None
    for _ in range(100):
        distribution.add(1e9, now)
    assert distribution.quantile(0.5, now) == float("inf")
