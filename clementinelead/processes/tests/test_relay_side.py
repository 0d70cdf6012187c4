import asyncio

import pytest

from clementinelead.memberships import records
from clementinelead.processes import relay_node
from clementinelead.processes import relay_side
from clementinelead.processes import sockets
from clementinelead.processes import target_presence
from clementinelead.processes.tests import samples
from clementinelead.relays import announcements
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


def _beat(side, sequence):
    side.heartbeat(
        announcements.Heartbeat(
            "t", 5, sequence, network.SERVICE, 2, False, 0.0
        )
    )


def _wait(side, seconds):
    """Lets time pass as it does for a process that runs."""
    now = begun = side._ticked_at
    while now < begun + seconds:
        now += relay_node.TICK_S
        side.on_tick(now)


def test_process_beside_no_target_says_that_it_has_no_flows(side):
    _wait(side, 0.1)
    assert _state(side) is records.State.COLD
    _wait(side, side._unheard_s + 0.1)
    assert _state(side) is records.State.LEAVING


def test_target_that_appears_later_makes_it_ready(side):
    _wait(side, side._unheard_s + 0.1)
    _beat(side, 1)
    assert _state(side) is records.State.READY


def test_process_frozen_before_the_first_beat_does_not_deny_its_flows(side):
    _wait(side, 0.5)
    woken = side._ticked_at + 2 * side._unheard_s
    side.on_tick(woken)
    assert _state(side) is records.State.COLD
    assert not side._target_gone(woken)


def _stop_soon_after_the_start(side, target_listens):
    """Lets a process be stopped that has heard no heartbeat yet."""
    if not target_listens:
        side.holding.on_target_absent(side._ticked_at)
    side.holding.stopping = True
    _wait(side, 0.1)
    return _state(side)


def test_process_that_stops_without_a_target_says_that_it_has_no_flows(side):
    # Else searches wait for it until it is declared dead, 12 to 20 s later,
    # and callers of lost flows get no reset meanwhile.
    state = _stop_soon_after_the_start(side, target_listens=False)
    assert state is records.State.LEAVING


def test_process_that_stops_beside_a_target_unheard_does_not_say_so(side):
    state = _stop_soon_after_the_start(side, target_listens=True)
    assert state is records.State.DRAINING


def test_process_without_a_target_waits_for_one_while_it_runs(side):
    side.holding.on_target_absent(side._ticked_at)
    _wait(side, 0.1)
    assert _state(side) is records.State.COLD


@pytest.mark.parametrize(
    ("absent", "state"),
    [(True, records.State.LEAVING), (False, records.State.DRAINING)],
)
def test_process_stopped_while_it_looks_for_its_target_says_what_it_finds(
    side, monkeypatch, absent, state
):
    async def look(_):
        await asyncio.sleep(0.1)
        return absent

    async def stopped():
        looking = asyncio.create_task(side._look_for_target())
        await asyncio.sleep(0)
        await side._linger()
        await looking

    monkeypatch.setattr(target_presence, "is_absent", look)
    asyncio.run(stopped())
    assert _state(side) is state
