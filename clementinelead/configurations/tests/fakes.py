"""A store in memory whose faults a test switches on."""

import asyncio
import random

from clementinelead import exceptions
from clementinelead.configurations import models
from clementinelead.configurations import repositories
from clementinelead.stores import protocols


class FakeStore:
    """Keeps values in memory; loses answers and goes away on demand."""

    def __init__(self):
        self.items = {}
        self.index = 0
        self.calls = 0
        self.down = False
        self.lose_answers_of = set()
        self.before_swap = None

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
        if self.before_swap is not None and key.endswith("/head"):
            hook, self.before_swap = self.before_swap, None
            await hook()
        if self.items.get(key, protocols.ABSENT).index != index:
            return False
        self.index += 1
        self.items[key] = protocols.Entry(value, self.index)
        for ending in list(self.lose_answers_of):
            if key.endswith(ending):
                self.lose_answers_of.discard(ending)
                raise exceptions.StoreUnavailableError("the answer was lost")
        return True

    async def delete(self, key):
        self._check()
        self.items.pop(key, None)


def repository(store, seed=1):
    """Returns a repository on a fake store."""
    return repositories.Repository(store, "test", random.Random(seed))


def author(change, shift="muscat", reason=""):
    """Returns an author."""
    return models.Author(
        change=change, operator="ana", shift=shift, time=1.0, reason=reason
    )


def service(name="lookups", number=1, **fields):
    """Returns a service."""
    values = {
        "name": name,
        "team": "consortium",
        "address": f"10.9.0.{number}",
        "port": 43,
        "protocol": "tcp",
    }
    return models.Service.model_validate({**values, **fields})
