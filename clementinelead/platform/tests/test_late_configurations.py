import asyncio

import pytest

from clementinelead.platform.tests import virtual_store
from clementinelead.platform.tests import watching
from clementinelead.processes.tests import virtual_time

APPLY_BOUND_S = 3.0
"""``config_apply_ms`` of the strictest deployment, seconds."""

PHASES_S = [0.25 * step for step in range(24)]
"""Times between the last answer and a fault."""


async def _lateness_s(disturb):
    """Returns the time from a change to its adoption by a watcher, seconds.

    Args:
        disturb: Called with the store when the watch has begun; returns the
            version of a change that it has just made.
    """
    node, store, watch = await watching.start(APPLY_BOUND_S)
    version = await disturb(store)
    loop = asyncio.get_running_loop()
    changed_at = loop.time()
    while node.routes.table.version < version:
        await asyncio.sleep(virtual_store.ANSWER_DELAY_S)
    watch.cancel()
    return loop.time() - changed_at


@pytest.mark.parametrize("phase_s", PHASES_S)
def test_change_after_connections_went_silent_is_adopted_in_time(
    phase_s, monkeypatch
):
    # A connection that no longer delivers data ends by a timeout only.
    async def disturb(store):
        await asyncio.sleep(phase_s)
        store.silence_connections()
        return store.change()

    lateness_s = virtual_time.run(_lateness_s(disturb), monkeypatch)
    assert lateness_s < APPLY_BOUND_S


@pytest.mark.parametrize("phase_s", PHASES_S)
def test_change_after_the_store_was_silent_is_adopted_in_time(
    phase_s, monkeypatch
):
    # A call that begins just before the store returns gets no answer either.
    async def disturb(store):
        store.is_silent = True
        await asyncio.sleep(phase_s)
        store.silence_connections()
        store.is_silent = False
        return store.change()

    lateness_s = virtual_time.run(_lateness_s(disturb), monkeypatch)
    assert lateness_s < APPLY_BOUND_S


@pytest.mark.parametrize("phase_s", PHASES_S)
def test_slow_store_is_still_read(phase_s, monkeypatch):
    # Answers after a hold come too late, those without a hold in time.
    async def disturb(store):
        store.answer_delay_s = 1.0
        await asyncio.sleep(phase_s)
        return store.change()

    lateness_s = virtual_time.run(_lateness_s(disturb), monkeypatch)
    assert lateness_s < APPLY_BOUND_S + 1.0
