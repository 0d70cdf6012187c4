"""The calls of the store without sockets, on virtual time."""

import asyncio
import base64
import json

from clementinelead.platform import store_eras
from clementinelead.processes import http_client

ANSWER_DELAY_S = 0.004


class Store:
    """The store's calls without sockets, on virtual time.

    Attributes:
        is_silent: Whether new calls get no answer.
        answer_delay_s: Time that an answer takes, seconds.
        calls: Number of calls.
        content: Configuration in place of a sound one, None for a sound one.
        body: Body in place of that of each answer, None for the usual ones.
        items: Items with other keys.
    """

    def __init__(self):
        self.era_tracker = store_eras.EraTracker()
        self.is_silent = False
        self.answer_delay_s = ANSWER_DELAY_S
        self.calls = 0
        self.content = None
        self.body = None
        self.items = []
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
        body = json.dumps(answer).encode() if self.body is None else self.body
        return http_client.Response(200, body)

    async def _answer(self, path, query):
        await asyncio.sleep(self.answer_delay_s)
        if path == "/kv-watch" and self._version <= int(query["after"]):
            try:
                async with asyncio.timeout(int(query["wait_ms"]) / 1000):
                    await self._changed.wait()
            except TimeoutError:
                return {"events": [], "current_rev": self._version}
        content = self.content
        if content is None:
            sound = {"version": self._version, "routes": []}
            content = json.dumps(sound).encode()
        item = {
            "key": "op/config",
            "value": base64.b64encode(content).decode(),
            "revision": self._version,
        }
        if path == "/kv-key":
            return {**item, "current_rev": self._version}
        if path == "/kv-range":
            return {"items": self.items, "current_rev": self._version}
        return {"events": [item, *self.items], "current_rev": self._version}
