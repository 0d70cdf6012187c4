import asyncio
import base64
import json

import pytest

from clementinelead.memberships import records
from clementinelead.platform import config_source
from clementinelead.platform import store_eras
from clementinelead.processes import http_client
from clementinelead.processes import long_polls
from clementinelead.processes import relay_node
from clementinelead.processes import route_watch
from clementinelead.processes import sockets
from clementinelead.processes.tests import samples
from clementinelead.processes.tests import virtual_time

APPLY_BOUND_S = 3.0
"""``config_apply_ms`` of the strictest deployment, seconds."""

ANSWER_DELAY_S = 0.004
PHASES_S = [0.25 * step for step in range(24)]
"""Times between the last answer and a fault."""


class Store:
    """The store's calls without sockets, on virtual time.

    Attributes:
        is_silent: Whether new calls get no answer.
        answer_delay_s: Time that an answer takes, seconds.
        calls: Number of calls.
    """

    def __init__(self):
        self.era_tracker = store_eras.EraTracker()
        self.is_silent = False
        self.answer_delay_s = ANSWER_DELAY_S
        self.calls = 0
        self._version = 1
        self._changed = asyncio.Event()
        self._silenced = asyncio.Event()

    def change(self):
        """Writes a configuration, and returns its version."""
        self._version += 1
        self._changed.set()
        self._changed = asyncio.Event()
        return self._version

    def silence_connections(self):
        """Makes all pending calls wait for ever; later ones are answered."""
        self._silenced.set()
        self._silenced = asyncio.Event()

    async def get(self, path, timeout_s, **query):
        self.calls += 1
        silenced, is_silent = self._silenced, self.is_silent
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._answer(path, query)
                if is_silent or self.is_silent or silenced.is_set():
                    await asyncio.Event().wait()
        except TimeoutError:
            return http_client.RequestFailure("deadline", True)
        return http_client.Response(200, json.dumps(answer).encode())

    async def _answer(self, path, query):
        await asyncio.sleep(self.answer_delay_s)
        if path == "/kv-watch" and self._version <= int(query["after"]):
            try:
                async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                    await self._changed.wait()
            except TimeoutError:
                return {"events": [], "current_rev": self._version}
        content = json.dumps({"version": self._version, "routes": []})
        item = {
            "key": "op/config",
            "value": base64.b64encode(content.encode()).decode(),
            "revision": self._version,
        }
        if path == "/kv-key":
            return {**item, "current_rev": self._version}
        if path == "/kv-range":
            return {"items": [], "current_rev": self._version}
        return {"events": [item], "current_rev": self._version}


async def _lateness_s(disturb):
    """Returns the time from a change to its adoption by a watcher, seconds.

    Args:
        disturb: Called with the store when the watch has begun; returns the
            version of a change that it has just made.
    """
    node = relay_node.RelayNode(
        samples.settings("b1"),
        records.Role.BALANCER,
        (),
        samples.Subscriber(),
        sockets.PreboundSockets(),
    )
    node.random.seed(1)
    store = Store()
    schedule = long_polls.LongPollSchedule(APPLY_BOUND_S, node.random)
    source = config_source.ConfigSource(store, frozenset(), schedule)
    watch = asyncio.create_task(route_watch.RouteWatch(node, source).run())
    while not node.routes.table.version:
        await asyncio.sleep(ANSWER_DELAY_S)
    version = await disturb(store)
    loop = asyncio.get_running_loop()
    changed_at = loop.time()
    while node.routes.table.version < version:
        await asyncio.sleep(ANSWER_DELAY_S)
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
