"""Loads with an evacuated zone and with targets that warm up."""

import functools

import pytest

from clementinelead.relays import routes
from clementinelead.relays import warmup_limit
from clementinelead.replays import mixed_patterns
from clementinelead.replays import packets
from clementinelead.replays import patterns
from clementinelead.replays import relayed
from clementinelead.replays import scales
from clementinelead.replays import simulations
from clementinelead.replays import summaries
from clementinelead.replays import zoned_loads

SCALE = scales.Scale(targets=16, seconds=8.0, utilisation=0.5)
SEED = 2

MAX_FLOWS_PER_S = warmup_limit.WarmupBound(
    mixed_patterns.WARMUP.overshoot, mixed_patterns.WARMUP.slack
).max_flows(mixed_patterns.WARMUP.flows_per_s)

MAX_LIMIT_COST = 0.02
"""Largest loss of worth by the limits, which full information does not have."""

MIN_FULL_USE_SHARE = 0.75
"""Share of the mean of all zones that counts as the full part of a zone."""

FULL_USE_BOUND_S = 1.0
"""Time after the warm-up until a target takes its full part of the flows."""


@pytest.fixture(name="play")
def _play(monkeypatch):
    """Returns a function that replays a load and records opening packets."""

    def play(name):
        openings = []
        deliver = relayed.RelayedTransport._deliver_to_target

        def record(transport, side, data):
            if packets.Format().from_caller(data).opens:
                now = transport._event_queue.now
                openings.append((now, side.server.spec))
            deliver(transport, side, data)

        monkeypatch.setattr(
            relayed.RelayedTransport, "_deliver_to_target", record
        )
        load = patterns.generate(name, SCALE, SEED)
        return simulations.replay(load, "relayed", SEED), openings

    return play


def _cold_periods(load):
    return [
        (change.target, change.at_s, change.at_s + change.condition.warmup_s)
        for change in load.changes
        if change.condition.warmup_s
    ]


@pytest.mark.parametrize("name", ["evacuation", "warm-up"])
def test_cold_target_gets_no_more_flows_than_its_limit(play, name):
    replayed, openings = play(name)
    periods = _cold_periods(replayed.load)
    assert periods
    for target, cold_at, warm_at in periods:
        sent_at = [
            now
            for now, spec in openings
            if spec.name == target and cold_at <= now < warm_at
        ]
        for begin in sent_at:
            within = [at for at in sent_at if begin <= at < begin + 1.0]
            assert len(within) <= MAX_FLOWS_PER_S


def test_evacuated_zone_gets_no_new_flow(play):
    replayed, openings = play("evacuation")
    (evacuation,) = replayed.load.evacuations
    assert not [
        now
        for now, spec in openings
        if spec.zone == evacuation.zone
        and evacuation.at_s + 0.01 <= now < evacuation.end_s
    ]


def test_warm_targets_are_fully_used_within_the_bound(play):
    replayed, openings = play("evacuation")
    (evacuation,) = replayed.load.evacuations
    warm_at = max(end for _, _, end in _cold_periods(replayed.load))
    begin = warm_at + FULL_USE_BOUND_S
    counts = {zone: 0 for zone in zoned_loads.ZONES}
    for now, spec in openings:
        if begin <= now < begin + 1.0:
            counts[spec.zone] += 1
    mean = sum(counts.values()) / len(counts)
    assert counts[evacuation.zone] > MIN_FULL_USE_SHARE * mean


@pytest.mark.parametrize("name", ["evacuation", "warm-up"])
def test_limits_cost_little_compared_with_full_information(name):
    worth = functools.partial(_worth, name)
    assert worth("relayed") >= worth("shortest-queue") - MAX_LIMIT_COST


def _worth(name, policy):
    load = patterns.generate(name, SCALE, SEED)
    return summaries.worth(simulations.replay(load, policy, SEED))


def test_each_kind_has_a_route_of_its_own(play, monkeypatch):
    seen = set()
    select_service = routes.Route.select_service

    def record(route, key):
        seen.add(route.name)
        return select_service(route, key)

    monkeypatch.setattr(routes.Route, "select_service", record)
    replayed, _ = play("mixed-burst")
    assert seen == set(replayed.load.kind_by_name)
