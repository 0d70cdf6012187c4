"""Two kinds of requests of different priority above all capacity."""

import collections
import functools

import numpy as np
import pytest

from clementinelead.relays import placement_shares
from clementinelead.replays import calls
from clementinelead.replays import loads
from clementinelead.replays import simulations

MIN_GOODPUT_SHARE = 0.9
"""Least worth in time, as a share of that at the capacity."""

SECONDS = 4.0
SETTLED_S = 1.0
RETURN_DELAY_S = 0.3
TARGETS = tuple(
    loads.TargetSpec(
        f"t{number}",
        "ab"[number % 2],
        slots=1,
        queue=12,
        slowness=0.55 if number % 4 == 0 else 1.2,
    )
    for number in range(8)
)
WORK_S = {"orders": 0.029, "status": 0.022}
SHARE = {"orders": 0.22, "status": 0.78}
KINDS = (
    loads.RequestKind("orders", 0.302, 2.4, 2.0, priority=1),
    loads.RequestKind("status", 0.253, 1.9, 1.0, priority=2),
)
CAPACITY_PER_S = sum(1 / target.slowness for target in TARGETS) / sum(
    SHARE[name] * WORK_S[name] for name in WORK_S
)


class _ReturningCall(calls.Call):
    """A call that is tried again some time after a refusal."""

    def on_refusal(self, attempt):
        if self.outcome is None and attempt == self.attempts:
            if self.attempts > calls.MAX_RETRIES:
                self._end(calls.Result.REFUSED, "")
                return
            self.attempts += 1
            at_s = self._event_queue.now + RETURN_DELAY_S
            self._event_queue.schedule(at_s, self._return)

    def _return(self):
        if self.outcome is None:
            self._transport.open_flow(self)


def _load(factor, seconds):
    generator = np.random.default_rng(1)
    arrivals = []
    at_s = 0.0
    while True:
        at_s += generator.exponential(1 / (CAPACITY_PER_S * factor(at_s)))
        if at_s >= seconds:
            return loads.Load("competing", KINDS, TARGETS, tuple(arrivals))
        kind = "orders" if generator.random() < SHARE["orders"] else "status"
        work_s = float(generator.gamma(4.0, WORK_S[kind] / 4.0))
        zone = "ab"[int(generator.integers(2))]
        arrivals.append(loads.Arrival(at_s, zone, kind, work_s))


def _run(factor, seconds, call=calls.Call):
    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(calls, "Call", call)
        return simulations.replay(_load(factor, seconds), "relayed", 1)


def _worth_in_time(run, kind, from_s, to_s):
    objective_s = run.load.kind_by_name[kind].objective_s
    return run.load.kind_by_name[kind].worth * sum(
        outcome.arrival.kind == kind
        and from_s <= outcome.arrival.at_s < to_s
        and outcome.result is calls.Result.SERVED
        and outcome.duration_s <= objective_s
        for outcome in run.outcomes
    )


@functools.cache
def _steady_run(factor):
    return _run(lambda _: factor, SECONDS)


def _steady(factor):
    """Returns the worth in time of each kind after the first moments."""
    run = _steady_run(factor)
    return {
        kind: _worth_in_time(run, kind, SETTLED_S, SECONDS) for kind in WORK_S
    }


# Guards against work that is lost to waiting and refused flows.
@pytest.mark.parametrize("factor", [2.0, 5.0, 10.0])
def test_goodput_above_capacity_is_close_to_that_at_capacity(factor):
    at_capacity, above = _steady(1.0), _steady(factor)
    least = MIN_GOODPUT_SHARE * sum(at_capacity.values())
    assert sum(above.values()) >= least
    # The highest priority loses nothing to the others.
    assert above["orders"] >= MIN_GOODPUT_SHARE * at_capacity["orders"]


# Guards against slots that go to callers whose request is late as they return.
def test_goodput_at_ten_times_the_capacity_with_callers_that_return():
    at_capacity = _steady(1.0)
    run = _run(lambda _: 10.0, SECONDS, _ReturningCall)
    above = sum(
        _worth_in_time(run, kind, SETTLED_S, SECONDS) for kind in WORK_S
    )
    assert above >= MIN_GOODPUT_SHARE * sum(at_capacity.values())


# Guards against lower priorities that get nothing, or more than their share.
@pytest.mark.parametrize("factor", [5.0, 10.0])
def test_lower_priority_gets_its_share_of_the_answers(factor):
    served = collections.Counter(
        outcome.arrival.kind
        for outcome in _steady_run(factor).outcomes
        if outcome.result is calls.Result.SERVED
        and SETTLED_S <= outcome.arrival.at_s + outcome.duration_s < SECONDS
    )
    due = 1 / (1 + placement_shares.HIGHEST_PER_LOWER)
    share = served["status"] / served.total()
    assert 0.8 * due <= share <= 1.2 * due


# Guards against refusals that go on after a burst, as callers come back.
def test_service_is_as_before_soon_after_a_burst():
    def factor(at_s):
        return 2.2 if 1.0 <= at_s < 4.0 else 0.6

    run = _run(factor, 8.0, _ReturningCall)
    # Callers return twice, and their flows wait for up to 1.2 s.
    for kind in WORK_S:
        before = _worth_in_time(run, kind, 0.0, 1.0)
        after = _worth_in_time(run, kind, 7.0, 8.0)
        assert after >= 0.8 * before, kind
