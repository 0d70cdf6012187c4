"""Service levels of the product's decisions under each load pattern."""

import functools

import numpy as np
import pytest

from clementinelead import exceptions
from clementinelead.replays import calls
from clementinelead.replays import loads
from clementinelead.replays import patterns
from clementinelead.replays import scales
from clementinelead.replays import simulations
from clementinelead.replays import summaries

SCALE = scales.Scale(targets=12, seconds=4.0, utilisation=0.5)
SEED = 3

MIN_OBJECTIVE_SHARE = 0.95
"""Share of requests within their latency objective that the users require."""

MAX_ORACLE_GAP = 0.05
"""Largest shortfall of probing against full information, in that share."""

PRIORITY_PATTERNS = ("orders-burst", "kill-in-burst", "half-speed")
"""Patterns for parts of docs/design/competing-load.md; see their own tests."""

RESTART_PATTERNS = ("restart", "restart-in-burst", "restart-in-surge")

NAMES_WITHOUT_RESTART = [
    name
    for pattern in patterns.PATTERNS
    if (name := pattern.__name__.replace("_", "-"))
    not in RESTART_PATTERNS + PRIORITY_PATTERNS
]

RECOVERED_SHARE_BY_S = {2.0: 0.9, 4.0: 0.98}
"""Required share within the objective, by time since balancers serve again."""


@functools.cache
def _summary(name, policy):
    load = patterns.generate(name, SCALE, SEED)
    return summaries.summarize(simulations.replay(load, policy, SEED))[0]


ABOVE_CAPACITY_PATTERNS = ("burst", "backlog", "mixed-burst")


@pytest.mark.parametrize(
    "name",
    [
        name
        for name in NAMES_WITHOUT_RESTART
        if name not in ABOVE_CAPACITY_PATTERNS
    ],
)
def test_load_below_capacity_meets_the_latency_objective(name):
    assert _summary(name, "relayed").within_objective >= MIN_OBJECTIVE_SHARE


@pytest.mark.parametrize("name", NAMES_WITHOUT_RESTART)
def test_probing_is_close_to_the_full_information_baseline(name):
    oracle = _summary(name, "shortest-queue").within_objective
    assert _summary(name, "relayed").within_objective >= oracle - MAX_ORACLE_GAP


@pytest.mark.parametrize(
    "name", ["slowdown", "mute", "half-mute", "flapping", "cold"]
)
def test_faulty_targets_cost_less_than_with_plain_hashing(name):
    relayed, hashed = (_summary(name, p) for p in ("relayed", "plain-hash"))
    assert relayed.late + relayed.failed < (hashed.late + hashed.failed) / 2
    assert relayed.p99_ms < hashed.p99_ms


def test_burst_is_refused_before_the_timeout_of_callers():
    burst = _summary("burst", "relayed")
    timeout_ms = patterns.REQUEST_KIND.timeout_s * 1000
    assert burst.refused > 0
    assert burst.failed == 0
    assert burst.p99_refusal_ms < timeout_ms
    assert burst.late < 0.02


def test_backlog_after_an_outage_is_served_rather_than_refused():
    # The timeout of callers, 1.4 s, exceeds the outage of 1 s, so no request
    # needs to be refused; those that can still meet the objective come first.
    relayed, oracle = (
        _summary("backlog", policy) for policy in ("relayed", "shortest-queue")
    )
    assert relayed.refused < 0.01
    assert relayed.within_objective >= oracle.within_objective
    assert (
        relayed.within_objective + relayed.late
        >= oracle.within_objective + 0.05
    )


@functools.cache
def _restart_run(name, seed):
    load = patterns.generate(name, scales.Scale(seconds=16.0), seed)
    return simulations.replay(load, "relayed", seed)


@pytest.mark.parametrize(("after_s", "bound"), RECOVERED_SHARE_BY_S.items())
@pytest.mark.parametrize("name", RESTART_PATTERNS)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_restarted_balancers_recover_during_the_burst(
    name, seed, after_s, bound
):
    run = _restart_run(name, seed)
    recovered_s = run.load.balancers.restarts[0].serving_s + after_s
    assert summaries.share_within_objective(run, recovered_s, 16.0) >= bound


@pytest.mark.parametrize("name", RESTART_PATTERNS)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_restarted_balancers_recover_after_the_burst(name, seed):
    run = _restart_run(name, seed)
    recovered_s = 16.0 * 5 / 8 + min(RECOVERED_SHARE_BY_S)
    share = summaries.share_within_objective(run, recovered_s, 16.0)
    assert share >= MIN_OBJECTIVE_SHARE


def _goodput(factor):
    """Returns requests per second served within the objective.

    Args:
        factor: Load, as a multiple of the balancers' capacity.
    """
    scale = scales.Scale(targets=60, seconds=2.0)
    generator = np.random.default_rng(SEED)
    load = patterns.overload(scale, generator, factor)
    run = simulations.replay(load, "relayed", SEED)
    share = summaries.share_within_objective(run, 0.0, scale.seconds)
    return share * len(load.arrivals) / scale.seconds


def test_goodput_does_not_fall_above_the_balancers_capacity():
    at_capacity = _goodput(1.0)
    for factor in (2.0, 5.0, 10.0):
        assert _goodput(factor) >= 0.9 * at_capacity


def test_callers_moving_between_zones_have_no_failures_or_refusals():
    assert _summary("moving", "relayed").failed == 0
    assert _summary("moving", "relayed").refused == 0


def test_simulation_is_deterministic():
    load = patterns.generate("half-mute", scales.Scale(4, 1.0), SEED)
    first, second = (
        simulations.replay(load, "relayed", SEED).outcomes for _ in range(2)
    )
    assert first == second
    assert len(first) == len(load.arrivals)


def test_every_request_has_one_outcome_under_every_policy():
    load = patterns.generate("flapping", scales.Scale(6, 2.0, 1.5), SEED)
    for policy in simulations.POLICIES:
        run = simulations.replay(load, policy, SEED)
        assert [outcome.arrival for outcome in run.outcomes] == list(
            load.arrivals
        )
        served = {
            outcome.target
            for outcome in run.outcomes
            if outcome.result is calls.Result.SERVED
        }
        assert served
        assert served <= {target.name for target in load.targets}
        row = summaries.summarize(run)[0]
        shares = row.within_objective + row.late + row.refused + row.failed
        assert shares == pytest.approx(1.0)


def test_unknown_policy_is_an_error():
    load = patterns.generate("calm", scales.Scale(2, 0.1), SEED)
    with pytest.raises(ValueError, match="plain-hash"):
        simulations.replay(load, "guess", SEED)


def test_plot_has_a_full_bar_for_each_half_second():
    load = patterns.generate("calm", scales.Scale(4, 2.0), SEED)
    chart = summaries.plot(simulations.replay(load, "relayed", SEED))
    assert chart == "█" * len(chart)
    assert len(chart) in (4, 5)


def test_load_is_unchanged_by_writing_and_reading(tmp_path):
    load = patterns.generate("flapping", scales.Scale(4, 2.0), SEED)
    path = tmp_path / "load.json"
    loads.write(path, load)
    assert loads.read(path) == load


@pytest.mark.parametrize(
    ("text", "place"),
    [
        ("{", "load.json"),
        ('{"name": 1}', "load.json"),
        (
            '{"name": "x", "kinds": [], "targets": [], "arrivals": [{"at_s":'
            ' 0, "zone": "a", "kind": "k", "work_s": 1}]}',
            "load.json:arrivals.0",
        ),
        (
            '{"name": "x", "kinds": [], "targets": [], "arrivals": [],'
            ' "changes": [{"at_s": 0, "target": "t", "condition": {}}]}',
            "load.json:changes.0",
        ),
    ],
)
def test_errors_of_load_files_name_the_place(tmp_path, text, place):
    path = tmp_path / "load.json"
    path.write_text(text)
    with pytest.raises(exceptions.FindingsError) as raised:
        loads.read(path)
    assert raised.value.findings[0].place.endswith(place)
