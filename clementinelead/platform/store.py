"""Client of the platform's metadata store."""

import base64
import binascii
import urllib.parse

import loguru
import msgspec

from clementinelead.platform import configs
from clementinelead.processes import http_client
from clementinelead.processes import route_watch

__all__ = ["ConfigSource", "Store"]

CALL_TIMEOUT_S = 1.5
"""Deadline of a call; the store answers in milliseconds unless it is ill."""

WATCH_S = 4.0
"""Longest wait of a watch, seconds.

A connection that has gone silent is noticed this much later, which leaves
time to put a configuration in force.
"""

_CONFIG_KEY = "op/config"
_MS_PER_S = 1000
_OK = 200
_GONE = 410


class _Item(msgspec.Struct):
    key: str
    revision: int
    value: str = ""  # standard base64
    deleted: bool = False


class _KeyAnswer(msgspec.Struct):
    value: str
    current_rev: int  # revision of the whole store


class _WatchAnswer(msgspec.Struct):
    events: list[_Item]
    current_rev: int


class Store:
    """Calls of the store that this system makes."""

    def __init__(self, address: tuple[str, int]):
        self._address = address

    async def get(
        self, path: str, timeout_s: float, **query: str | int
    ) -> http_client.Answer | http_client.NoAnswer:
        """Returns the answer to a reading call."""
        target = f"{path}?{urllib.parse.urlencode(query)}"
        return await http_client.call(
            self._address, "GET", target, b"", timeout_s
        )


class ConfigSource:
    """Follows the operator's configuration with watches."""

    def __init__(self, store: Store):
        self._store = store
        self._after: int | None = None

    async def next(
        self,
    ) -> route_watch.Found | route_watch.Unchanged | route_watch.Failed:
        """Waits for a configuration newer than the one returned last."""
        try:
            if self._after is None:
                return await self._read()
            return await self._wait(self._after)
        except ValueError as error:
            self._after = None
            return route_watch.Failed(f"malformed answer: {error}", True)

    async def _read(
        self,
    ) -> route_watch.Found | route_watch.Unchanged | route_watch.Failed:
        answer = await self._store.get(
            "/kv-key", CALL_TIMEOUT_S, key=_CONFIG_KEY
        )
        if isinstance(answer, http_client.NoAnswer):
            return route_watch.Failed(answer.reason, False)
        if answer.status != _OK:
            return route_watch.Failed(f"status {answer.status}", True)
        item = msgspec.json.decode(answer.body, type=_KeyAnswer)
        self._after = item.current_rev
        return _found(item.value)

    async def _wait(
        self, after: int
    ) -> route_watch.Found | route_watch.Unchanged | route_watch.Failed:
        answer = await self._store.get(
            "/kv-watch",
            WATCH_S + CALL_TIMEOUT_S,
            prefix=_CONFIG_KEY,
            after=after,
            wait_ms=int(WATCH_S * _MS_PER_S),
        )
        if isinstance(answer, http_client.NoAnswer):
            return route_watch.Failed(answer.reason, False)
        if answer.status == _GONE:
            self._after = None
            return route_watch.Unchanged()
        if answer.status != _OK:
            return route_watch.Failed(f"status {answer.status}", True)
        watched = msgspec.json.decode(answer.body, type=_WatchAnswer)
        self._after = max(after, watched.current_rev)
        values = [
            event.value
            for event in watched.events
            if event.key == _CONFIG_KEY and not event.deleted
        ]
        return _found(values[-1]) if values else route_watch.Unchanged()


def _found(value: str) -> route_watch.Found | route_watch.Unchanged:
    """Returns the routes of an item's value, if it can be read."""
    try:
        content = base64.b64decode(value, validate=True)
        return route_watch.Found(configs.decode(content))
    except (binascii.Error, ValueError) as error:
        loguru.logger.bind(reason=str(error)).warning(
            "configuration can't be read"
        )
        return route_watch.Unchanged()
