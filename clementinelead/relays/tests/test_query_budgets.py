"""Limit of the flows with further load queries."""

import pytest

from clementinelead.relays import query_budgets


@pytest.mark.parametrize("share", [0.0, 0.05, 0.2, 1.0])
def test_budget_is_held_in_a_burst(share):
    # Guards against a limit that lags behind a rate that changes tenfold.
    budgets = query_budgets.Budgets(share)
    sent_at, spent_at = [], []
    now = 100.0
    while now < 130.0:
        now += 0.002 if 105.0 < now < 108.0 or now > 125.0 else 0.02
        budgets.add_flow("s", now)
        sent_at.append(now)
        if budgets.spend("s", now):
            spent_at.append(now)
            since = now - query_budgets.WINDOW_S
            spent = sum(at > since for at in spent_at)
            assert spent <= share * sum(at > since for at in sent_at)
    # The window ends within an interval: at most that much stays unused.
    unused = query_budgets.INTERVAL_S / query_budgets.WINDOW_S + 0.05
    assert len(spent_at) >= (1 - unused) * share * len(sent_at) - 1


def test_services_have_their_own_budgets_and_are_forgotten():
    # Guards against memory that grows with each service that ever existed.
    budgets = query_budgets.Budgets(1.0)
    for number in range(1_000):
        budgets.add_flow(f"s{number}", 100.0 + number)
    assert len(budgets._by_service) <= query_budgets.WINDOW_S + 2
    assert not budgets.spend("s1", 1_100.0)
    assert budgets.spend("s999", 1_100.0)
    assert not budgets.spend("s999", 1_100.0)
