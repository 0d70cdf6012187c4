import asyncio

import pytest

from clementinelead.memberships import records
from clementinelead.processes import relay_node
from clementinelead.processes import relay_side
from clementinelead.processes import sockets
from clementinelead.processes import target_presence
from clementinelead.processes.tests import samples
from clementinelead.relays import announcements
from clementinelead.relays import outcomes
from clementinelead.relays.tests import network


@pytest.fixture(name="side")
def _side():
    address = ("127.0.0.1", 4)
    side = relay_side.RelaySide(
        samples.settings("s"),
        network.SERVICE,
        address,
        address,
        network.Format(),
        samples.UnavailableContactKeys(),
        sockets.PreboundSockets(),
    )
    side.node.gossiper.announced = True
    return side


def _state(side):
    return side.node.gossiper.own.state


def _send_heartbeat(side, sequence):
    side.on_heartbeat(
        announcements.Heartbeat(
            "t", 5, sequence, network.SERVICE, 2, False, 0.0
        )
    )


def _wait(side, seconds):
    """Ticks as often as a running process does."""
    now = begun = side._last_tick_at
    while now < begun + seconds:
        now += relay_node.TICK_INTERVAL_S
        side.on_tick(now)


def test_side_process_without_heartbeats_announces_leaving_when_overdue(side):
    _wait(side, 0.1)
    assert _state(side) is records.State.COLD
    _wait(side, side._heartbeat_overdue_s + 0.1)
    assert _state(side) is records.State.LEAVING


def test_late_first_heartbeat_makes_the_side_process_ready(side):
    _wait(side, side._heartbeat_overdue_s + 0.1)
    _send_heartbeat(side, 1)
    assert _state(side) is records.State.READY


def test_pause_before_the_first_heartbeat_does_not_make_it_overdue(side):
    _wait(side, 0.5)
    resumed_at = side._last_tick_at + 2 * side._heartbeat_overdue_s
    side.on_tick(resumed_at)
    assert _state(side) is records.State.COLD
    assert not side._has_target_ended(resumed_at)


def _state_after_early_stop(side, target_listens):
    """Stops a process that has not received a heartbeat; returns its state."""
    if not target_listens:
        side.target_relay.on_target_absent(side._last_tick_at)
    side.target_relay.stopping = True
    _wait(side, 0.1)
    return _state(side)


def test_stop_without_a_target_announces_leaving(side):
    # Otherwise searches wait for the process until it is declared dead, 12 to
    # 20 s later, and callers of lost flows get no reset in the meantime.
    state = _state_after_early_stop(side, target_listens=False)
    assert state is records.State.LEAVING


def test_stop_before_the_first_heartbeat_of_a_target_announces_draining(side):
    state = _state_after_early_stop(side, target_listens=True)
    assert state is records.State.DRAINING


def test_running_process_without_a_target_stays_cold(side):
    side.target_relay.on_target_absent(side._last_tick_at)
    _wait(side, 0.1)
    assert _state(side) is records.State.COLD


@pytest.mark.parametrize(
    ("absent", "state"),
    [(True, records.State.LEAVING), (False, records.State.DRAINING)],
)
def test_stop_during_the_target_check_announces_the_result_of_the_check(
    side, monkeypatch, absent, state
):
    async def slow_check(_):
        await asyncio.sleep(0.1)
        return absent

    async def stopped():
        check = asyncio.create_task(side._check_target())
        await asyncio.sleep(0)
        await side._drain()
        await check

    monkeypatch.setattr(target_presence, "is_absent", slow_check)
    asyncio.run(stopped())
    assert _state(side) is state


# Guards against requests that are lost with a process that is replaced.
def test_planned_stop_sends_held_requests_to_the_target(side, monkeypatch):
    packet = outcomes.ToTarget(b"held")
    sent = []
    monkeypatch.setattr(
        side.target_relay, "flush_requests", lambda now: [packet]
    )
    monkeypatch.setattr(side, "_send", sent.extend)
    _send_heartbeat(side, 1)
    asyncio.run(side._drain())
    assert sent == [packet]
