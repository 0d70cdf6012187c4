"""An in-memory store with fault injection, and builders of test data."""

import asyncio
import random

from clementinelead import exceptions
from clementinelead.configurations import models
from clementinelead.configurations import repositories
from clementinelead.stores import protocols


class FakeStore:
    """In-memory store with fault injection.

    Attributes:
        items: Entry by key.
        index: Modification index of the latest write.
        calls: Number of calls.
        down: Whether all calls fail.
        lose_response_suffixes: Suffixes of keys; the next write of such a key
            takes effect, but its response is lost.
        before_head_swap: Coroutine function that runs once before the next
            compare-and-swap of the head, or None.
    """

    def __init__(self):
        self.items = {}
        self.index = 0
        self.calls = 0
        self.down = False
        self.lose_response_suffixes = set()
        self.before_head_swap = None

    def _check(self):
        self.calls += 1
        if self.down:
            raise exceptions.StoreUnavailableError("down")

    async def get(self, key):
        self._check()
        await asyncio.sleep(0)
        return self.items.get(key, protocols.ABSENT)

    async def watch(self, key, index, wait_s):
        return await self.get(key)

    async def compare_and_swap(self, key, value, index):
        self._check()
        await asyncio.sleep(0)
        if self.before_head_swap is not None and key.endswith("/head"):
            hook, self.before_head_swap = self.before_head_swap, None
            await hook()
        if self.items.get(key, protocols.ABSENT).index != index:
            return False
        self.index += 1
        self.items[key] = protocols.Entry(value, self.index)
        for suffix in list(self.lose_response_suffixes):
            if key.endswith(suffix):
                self.lose_response_suffixes.discard(suffix)
                raise exceptions.StoreUnavailableError("the answer was lost")
        return True

    async def delete(self, key):
        self._check()
        self.items.pop(key, None)


def repository(store, seed=1):
    """Returns a repository with key prefix ``test`` on a store."""
    return repositories.Repository(store, "test", random.Random(seed))


def author(change, shift="muscat", reason=""):
    """Returns the author of a change, at time 1.0 s."""
    return models.Author(
        change=change, operator="ana", shift=shift, time=1.0, reason=reason
    )


def service(name="lookups", number=1, **fields):
    """Returns a TCP service with the address 10.9.0.number:43."""
    values = {
        "name": name,
        "team": "consortium",
        "address": f"10.9.0.{number}",
        "port": 43,
        "protocol": "tcp",
    }
    return models.Service.model_validate({**values, **fields})
