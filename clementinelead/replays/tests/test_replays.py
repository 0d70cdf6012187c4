"""Each load pattern, replayed against the product's decisions."""

import functools

import numpy as np
import pytest

from clementinelead import exceptions
from clementinelead.replays import calls
from clementinelead.replays import loads
from clementinelead.replays import patterns
from clementinelead.replays import simulations
from clementinelead.replays import summaries

SCALE = patterns.Scale(targets=12, seconds=4.0, utilisation=0.5)
SEED = 3

QUIET_SHARE = 0.95
"""Share of requests within their objective that the users ask for."""

ORACLE_MARGIN = 0.05
"""What asking targets may cost against knowing everything."""

RESTARTS = ("restart", "restart-in-burst", "restart-in-surge")

NAMES = [
    name
    for pattern in patterns.PATTERNS
    if (name := pattern.__name__.replace("_", "-")) not in RESTARTS
]

RECOVERED_SHARE_BY_S = {2.0: 0.9, 4.0: 0.98}
"""Share in time that is asked for from so long after balancers serve again."""


@functools.cache
def _summary(name, policy):
    load = patterns.generate(name, SCALE, SEED)
    return summaries.summarize(simulations.replay(load, policy, SEED))[0]


ABOVE_CAPACITY = ("burst", "backlog")


@pytest.mark.parametrize(
    "name", [name for name in NAMES if name not in ABOVE_CAPACITY]
)
def test_load_below_capacity_is_served_in_time(name):
    assert _summary(name, "relayed").within_objective >= QUIET_SHARE


@pytest.mark.parametrize("name", NAMES)
def test_asking_targets_comes_near_to_knowing_everything(name):
    oracle = _summary(name, "shortest-queue").within_objective
    assert _summary(name, "relayed").within_objective >= oracle - ORACLE_MARGIN


@pytest.mark.parametrize(
    "name", ["slowdown", "mute", "half-mute", "flapping", "cold"]
)
def test_ill_targets_cost_less_than_with_a_hash_alone(name):
    own, hashed = (_summary(name, p) for p in ("relayed", "plain-hash"))
    assert own.late + own.failed < (hashed.late + hashed.failed) / 2
    assert own.p99_ms < hashed.p99_ms


def test_burst_is_refused_before_callers_give_up():
    burst = _summary("burst", "relayed")
    timeout_ms = patterns.REQUEST_KIND.timeout_s * 1000
    assert burst.refused > 0
    assert burst.failed == 0
    assert burst.p99_refusal_ms < timeout_ms
    assert burst.late < 0.02


def test_backlog_after_an_outage_is_served_as_soon_as_targets_are_back():
    # Callers wait 1.4 s and the targets are gone for 1 s, so nobody has to be
    # turned away; those that can still be in time go first.
    own, oracle = (
        _summary("backlog", policy) for policy in ("relayed", "shortest-queue")
    )
    assert own.refused < 0.01
    assert own.within_objective >= oracle.within_objective
    assert own.within_objective + own.late >= oracle.within_objective + 0.05


@functools.cache
def _restarted(name, seed):
    load = patterns.generate(name, patterns.Scale(seconds=16.0), seed)
    return simulations.replay(load, "relayed", seed)


@pytest.mark.parametrize(("after_s", "bound"), RECOVERED_SHARE_BY_S.items())
@pytest.mark.parametrize("name", RESTARTS)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_restarted_balancers_serve_again_while_the_load_lasts(
    name, seed, after_s, bound
):
    run = _restarted(name, seed)
    recovered_s = run.load.balancers.restarts[0].serving_s + after_s
    assert summaries.share_within_objective(run, recovered_s, 16.0) >= bound


@pytest.mark.parametrize("name", RESTARTS)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_restarted_balancers_recover_when_the_load_is_usual_again(name, seed):
    run = _restarted(name, seed)
    usual_from_s = 16.0 * 5 / 8 + min(RECOVERED_SHARE_BY_S)
    share = summaries.share_within_objective(run, usual_from_s, 16.0)
    assert share >= QUIET_SHARE


def _goodput(factor):
    """Returns requests served in time a second, at a multiple of capacity."""
    scale = patterns.Scale(targets=60, seconds=2.0)
    generator = np.random.default_rng(SEED)
    load = patterns.overload(scale, generator, factor)
    run = simulations.replay(load, "relayed", SEED)
    served = summaries.share_within_objective(run, 0.0, scale.seconds)
    return served * len(load.arrivals) / scale.seconds


def test_goodput_of_balancers_stays_flat_above_their_capacity():
    at_capacity = _goodput(1.0)
    for factor in (2.0, 5.0, 10.0):
        assert _goodput(factor) >= 0.9 * at_capacity


def test_callers_that_move_between_zones_notice_nothing():
    assert _summary("moving", "relayed").failed == 0
    assert _summary("moving", "relayed").refused == 0


def test_replays_repeat():
    load = patterns.generate("half-mute", patterns.Scale(4, 1.0), SEED)
    first, second = (
        simulations.replay(load, "relayed", SEED).outcomes for _ in range(2)
    )
    assert first == second
    assert len(first) == len(load.arrivals)


def test_every_request_has_one_outcome_under_every_policy():
    load = patterns.generate("flapping", patterns.Scale(6, 2.0, 1.5), SEED)
    for policy in simulations.POLICIES:
        run = simulations.replay(load, policy, SEED)
        assert [one.arrival for one in run.outcomes] == list(load.arrivals)
        served = {
            one.target
            for one in run.outcomes
            if one.result is calls.Result.SERVED
        }
        assert served
        assert served <= {target.name for target in load.targets}
        row = summaries.summarize(run)[0]
        shares = row.within_objective + row.late + row.refused + row.failed
        assert shares == pytest.approx(1.0)


def test_unknown_policy_is_an_error():
    load = patterns.generate("calm", patterns.Scale(2, 0.1), SEED)
    with pytest.raises(ValueError, match="plain-hash"):
        simulations.replay(load, "guess", SEED)


def test_plot_has_a_sign_for_each_half_second():
    load = patterns.generate("calm", patterns.Scale(4, 2.0), SEED)
    drawn = summaries.plot(simulations.replay(load, "relayed", SEED))
    assert drawn == "█" * len(drawn)
    assert len(drawn) in (4, 5)


def test_load_survives_its_file(tmp_path):
    load = patterns.generate("flapping", patterns.Scale(4, 2.0), SEED)
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
def test_wrong_files_are_told_with_the_place(tmp_path, text, place):
    path = tmp_path / "load.json"
    path.write_text(text)
    with pytest.raises(exceptions.FindingsError) as raised:
        loads.read(path)
    assert raised.value.findings[0].place.endswith(place)
