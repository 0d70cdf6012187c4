import asyncio
import dataclasses
import random
import types

import pytest

from clementinelead import exceptions
from clementinelead.memberships.tests import samples
from clementinelead.processes import config_watch
from clementinelead.processes.tests import virtual_time

CALL_TIMEOUT_S = 2.0


class Repository:
    """Head of the configuration on virtual time.

    Attributes:
        revision: Revision of the head.
    """

    def __init__(self):
        self.revision = 1
        self._changed = asyncio.Event()
        self._silenced = asyncio.Event()

    def change(self):
        self.revision += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def silence_connections(self):
        """Makes all pending calls wait for ever; later ones are answered."""
        self._silenced.set()
        self._silenced = asyncio.Event()

    async def read_head(self):
        return types.SimpleNamespace(revision=self.revision), self.revision

    async def watch_head(self, index, wait_s):
        silenced = self._silenced
        loop = asyncio.get_running_loop()
        fails_at = loop.time() + wait_s + CALL_TIMEOUT_S
        if index == self.revision:
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
        if silenced.is_set():
            await asyncio.sleep(fails_at - loop.time())
            raise exceptions.StoreUnavailableError("timed out")
        return await self.read_head()

    async def read_patches(self, head, since):
        return [head.revision]


class Node:
    """Balancer that adopts whatever revision it is offered."""

    def __init__(self):
        own = dataclasses.replace(samples.SIDE, id="balancer0")
        self.gossiper = types.SimpleNamespace(own=own, announced=True)
        self.random = random.Random(1)
        self.configuration = types.SimpleNamespace(
            revision=1, offer_patches=lambda patches: patches[-1]
        )
        self.published = []

    def live_balancers(self):
        return []

    def handle_adoption_outcome(self, revision, source):
        self.configuration.revision = revision

    def announce(self, *, store_lost):
        self.published.append(store_lost)
        self.gossiper.own = dataclasses.replace(
            self.gossiper.own, store_lost=store_lost
        )


@pytest.mark.parametrize("phase_s", [0.5 * step for step in range(20)])
def test_change_after_connections_went_silent_is_adopted_in_time(
    phase_s, monkeypatch
):
    async def lateness_s():
        node, repository = Node(), Repository()
        watch = config_watch.ConfigurationWatch(node, repository)
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(phase_s)
        repository.silence_connections()
        repository.change()
        loop = asyncio.get_running_loop()
        changed_at = loop.time()
        while node.configuration.revision < repository.revision:
            await asyncio.sleep(0.01)
        task.cancel()
        return loop.time() - changed_at

    bound_s = config_watch.CHANGE_BOUND_S
    assert virtual_time.run(lateness_s(), monkeypatch) < bound_s


def test_watcher_publishes_that_the_store_does_not_answer(monkeypatch):
    async def published():
        node, repository = Node(), Repository()
        read_head = repository.read_head

        async def fail(*_):
            raise exceptions.StoreUnavailableError("status 503")

        repository.read_head = repository.watch_head = fail
        watch = config_watch.ConfigurationWatch(node, repository)
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(10.0)
        while_away = list(node.published)
        repository.read_head = read_head
        await asyncio.sleep(10.0)
        task.cancel()
        return while_away, node.published

    while_away, published_values = virtual_time.run(published(), monkeypatch)
    assert while_away == [True]
    assert published_values == [True, False]
