"""Extra effort for a few flows while some requests and targets are slow."""

import functools

import numpy as np

from clementinelead.relays import query_budgets
from clementinelead.replays import latencies
from clementinelead.replays import relay_processes
from clementinelead.replays import scales
from clementinelead.replays import simulations
from clementinelead.replays import tail_comparison
from clementinelead.replays import tail_patterns

SCALE = scales.Scale(targets=40, seconds=6.0, utilisation=0.5)
SHARE = 0.2
SEEDS = (1, 2, 3)

MAX_MEDIAN_COST_MS = 2 * 1000 * latencies.CROSS_ZONE_S
"""A further load query may cost a round trip between zones."""


@functools.cache
def _compare(share):
    return tail_comparison.compare(share, SCALE, SEEDS)


def test_further_queries_cut_the_slow_answers_without_extra_work():
    # Guards against extra effort that costs targets work or most callers time.
    off, on = _compare(0.0), _compare(SHARE)
    median, p90, p99, _ = off.quantiles_ms["all"]
    assert on.quantiles_ms["all"][0] <= median + MAX_MEDIAN_COST_MS
    assert on.quantiles_ms["all"][1] < p90
    assert on.quantiles_ms["all"][2] < p99
    assert on.count_by_decision["placed"] == on.requests
    assert on.executed <= on.requests
    asked = on.count_by_decision["asked_further"]
    assert 0 < asked <= SHARE * on.requests


def test_budget_holds_in_the_burst(monkeypatch):
    # Guards against a limit that is spent at the rate before the burst.
    opened_at, spent_at = {}, {}
    share = 0.1

    class Budgets(query_budgets.Budgets):
        def add_flow(self, service, now):
            opened_at.setdefault(self, []).append(now)
            super().add_flow(service, now)

        def spend(self, service, now):
            allowed = super().spend(service, now)
            if allowed:
                spent_at.setdefault(self, []).append(now)
            return allowed

    monkeypatch.setattr(query_budgets, "Budgets", Budgets)
    load = tail_patterns.heavy_tail(
        scales.Scale(12, 16.0, 0.5), np.random.default_rng(1)
    )
    options = relay_processes.Options(further_queries_share=share)
    simulations.replay(load, "relayed", 1, options)
    assert any(at > 12.0 for times in spent_at.values() for at in times)
    for budgets, times in spent_at.items():
        opened = np.array(opened_at[budgets])
        spent = np.array(times)
        for at in times:
            since = at - query_budgets.WINDOW_S
            in_window = np.sum((spent > since) & (spent <= at))
            openings = np.sum((opened > since) & (opened <= at))
            assert in_window <= share * openings
