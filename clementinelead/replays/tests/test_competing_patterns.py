"""Loads whose callers compete: rates, bursts, flows and their replays."""

import collections
import dataclasses
import functools
import itertools

import pytest

from clementinelead.relays import target_relay
from clementinelead.replays import caller_flows
from clementinelead.replays import class_arrivals
from clementinelead.replays import competing_patterns
from clementinelead.replays import loads
from clementinelead.replays import packets
from clementinelead.replays import patterns
from clementinelead.replays import relay_processes
from clementinelead.replays import relayed
from clementinelead.replays import scales
from clementinelead.replays import servers
from clementinelead.replays import simulations

NAMES = ("orders-burst", "kill-in-burst", "walking-crest", "half-speed")
SEED = 1

LARGE = scales.Scale(targets=120)
"""A scale at which the rates of a second differ by a few percent by chance."""

TOLERANCE = 0.08


@functools.cache
def _large_load(name):
    return patterns.generate(name, LARGE, SEED)


def _rate(load, kind, begin_s, end_s):
    count = sum(
        arrival.kind == kind and begin_s <= arrival.at_s < end_s
        for arrival in load.arrivals
    )
    return count / (end_s - begin_s)


def test_targets_have_one_slot_and_a_quarter_is_fast():
    targets = patterns.generate("orders-burst", scales.Scale(), SEED).targets
    assert [target.slots for target in targets] == [1] * 12
    slowness = collections.Counter(target.slowness for target in targets)
    assert slowness == {0.55: 3, 1.2: 9}


def test_status_streams_are_3_5_times_as_frequent_as_orders():
    load = _large_load("orders-burst")
    ratio = _rate(load, "status", 0, 1) / _rate(load, "order", 0, 1)
    assert ratio == pytest.approx(3.5, rel=2 * TOLERANCE)


@pytest.mark.parametrize(
    ("name", "kind", "begin_s", "end_s", "factor"),
    [
        ("orders-burst", "order", 1.0, 4.0, 1.8),
        ("orders-burst", "status", 1.0, 4.0, 1.0),
        ("orders-burst", "order", 4.5, 7.5, 2.2),
        ("orders-burst", "status", 4.5, 7.5, 2.2),
        ("orders-burst", "status", 7.5, 8.0, 1.0),
        ("kill-in-burst", "order", 1.0, 5.0, 2.2),
        ("kill-in-burst", "status", 1.0, 5.0, 2.2),
        ("kill-in-burst", "status", 5.0, 8.0, 1.0),
    ],
)
def test_bursts_raise_the_rate_of_their_kinds(
    name, kind, begin_s, end_s, factor
):
    load = _large_load(name)
    work_per_s = 3.5 * 0.022 + 0.029
    capacity = sum(1 / target.slowness for target in load.targets)
    usual = LARGE.utilisation * capacity / work_per_s
    usual *= 3.5 if kind == "status" else 1.0
    rate = _rate(load, kind, begin_s, end_s)
    assert rate == pytest.approx(factor * usual, rel=TOLERANCE)


def test_balancers_restart_during_the_burst():
    load = patterns.generate("kill-in-burst", scales.Scale(), SEED)
    (restart,) = load.balancers.restarts
    begin, end = (8.0 * part for part in competing_patterns.KILL_BURST)
    assert begin < restart.at_s < restart.listening_s < restart.serving_s < end


@pytest.mark.parametrize("name", NAMES)
def test_streams_send_many_requests_on_a_flow_with_pauses(name):
    load = _large_load(name)
    stream, single = (kind.name for kind in load.kinds)
    by_session = collections.defaultdict(list)
    for arrival in load.arrivals:
        assert (arrival.session is None) == (arrival.kind == single)
        if arrival.session is not None:
            by_session[arrival.session].append(arrival)
    for arrivals in by_session.values():
        assert len({(each.zone, each.kind) for each in arrivals}) == 1
        assert arrivals[0].kind == stream
        for first, second in itertools.pairwise(arrivals):
            pause_s = second.at_s - first.at_s
            assert pause_s >= class_arrivals.MIN_PAUSE_S - 1e-9
    mean = sum(map(len, by_session.values())) / len(by_session)
    assert mean > 4


@pytest.mark.parametrize("name", NAMES)
def test_routes_have_the_priorities_of_their_kinds(name):
    load = patterns.generate(name, scales.Scale(4, 0.5), SEED)
    service = relay_processes.SERVICE_NAME
    table = relay_processes.routing_table(load)
    assert table.priorities(service) == (1, 2)
    assert [route.idempotent for route in table.routes] == [True, False]
    side = relay_processes.SideProcess(
        servers.Server(load.targets[0]), load, 0.0
    )
    for kind in load.kinds:
        address = relay_processes.address_by_kind(load)[kind.name]
        route = side.target_relay.route_of(packets.flow_key(1, address))
        assert (route.name, route.priority) == (kind.name, kind.priority)
    equal = relay_processes.routing_table(loads.equal_priorities(load))
    assert len(equal.priorities(service)) == 1


@pytest.mark.parametrize("name", NAMES)
def test_replays_of_priorities_and_sessions_are_deterministic(name):
    first, second = (
        simulations.replay(
            patterns.generate(name, scales.Scale(seconds=4.0), SEED),
            "relayed",
            SEED,
        )
        for _ in range(2)
    )
    assert first.outcomes == second.outcomes
    assert first.elsewhere_share == second.elsewhere_share


@pytest.mark.parametrize("name", NAMES)
def test_file_of_a_load_with_sessions_gives_the_same_load(name, tmp_path):
    load = patterns.generate(name, scales.Scale(4, 0.5), SEED)
    path = tmp_path / "load.json"
    loads.write(path, load)
    assert loads.read(path) == load


@pytest.mark.parametrize("name", NAMES)
def test_rules_for_open_flows_hold(name, monkeypatch):
    """Guards against requests that run twice and against reset open flows."""
    runs = collections.Counter()
    runs_of_data = collections.Counter()
    lost_open_flows = []
    execute = relayed.RelayedTransport._execute_request
    on_lost = caller_flows.CallerFlows._on_lost

    def record_run(transport, side, key):
        flow = transport._callers.by_key.get(key)
        before = side.server.served_requests
        execute(transport, side, key)
        if side.server.served_requests > before:
            runs[flow.call.number] += 1
            runs_of_data[key, flow.sequence] += 1

    def record_loss(callers, flow, refused):
        if flow.opened:
            lost_open_flows.append(flow)
        on_lost(callers, flow, refused)

    monkeypatch.setattr(
        relayed.RelayedTransport, "_execute_request", record_run
    )
    monkeypatch.setattr(caller_flows.CallerFlows, "_on_lost", record_loss)
    load = patterns.generate(name, scales.Scale(), SEED)
    replayed = simulations.replay(load, "relayed", SEED)
    assert len(replayed.outcomes) == len(load.arrivals)
    assert not lost_open_flows
    assert max(runs_of_data.values()) == 1
    kinds = load.kind_by_name
    twice = [number for number, count in runs.items() if count > 1]
    assert all(kinds[load.arrivals[n].kind].idempotent for n in twice)


@pytest.mark.parametrize(("fast", "expected"), [(True, 0.01), (False, 0.05)])
def test_side_processes_get_their_short_timer_if_the_load_says_so(
    fast, expected, monkeypatch
):
    """Guards against parts that miss their timer in a replay."""
    ticks = collections.defaultdict(list)
    on_tick = target_relay.TargetRelay.on_tick

    def record(relay, now):
        ticks[relay].append(now)
        return on_tick(relay, now)

    monkeypatch.setattr(target_relay.TargetRelay, "on_tick", record)
    down = (loads.Change(0.0, "t0", loads.Condition(up=False)),)
    load = patterns.generate("orders-burst", scales.Scale(1, 0.5), SEED)
    load = dataclasses.replace(load, changes=down, fast_side_ticks=fast)
    simulations.replay(load, "relayed", SEED)
    (times,) = ticks.values()
    shortest = min(b - a for a, b in itertools.pairwise(times))
    assert shortest <= expected + 1e-9
    assert fast or shortest == pytest.approx(expected)
