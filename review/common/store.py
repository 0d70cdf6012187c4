"""Stand-in of the platform's metadata store."""

import asyncio
import base64
import json
import time
import typing

from common import http

FIRST_REVISION = 100


class Store:
    """Keys with revisions and leases, watches and the operator's writes."""

    def __init__(self) -> None:
        self._items: dict[str, dict[str, typing.Any]] = {}
        self._events: list[dict[str, typing.Any]] = []
        self._revision = FIRST_REVISION
        self._changed = asyncio.Event()
        self._lease_ends: dict[int, tuple[float, float]] = {}
        self._next_lease = 1

    async def start(self, address: str, port: int) -> asyncio.Server:
        """Serves the store's calls."""
        return await http.serve(address, port, self._handle)

    def put_config(self, content: dict[str, typing.Any]) -> None:
        """Writes the operator's configuration."""
        value = base64.b64encode(json.dumps(content).encode()).decode()
        self._write({"key": "op/config", "value": value, "lease": 0})
        self._advance()

    def _write(self, entry: dict[str, typing.Any]) -> None:
        key = entry["key"]
        created = self._items.get(key, {}).get("created", self._revision + 1)
        item = {
            "key": key,
            "value": entry["value"],
            "revision": self._revision + 1,
            "created": created,
            "lease": entry.get("lease", 0),
        }
        self._items[key] = item
        self._events.append(item)

    def _delete(self, key: str) -> None:
        if self._items.pop(key, None) is not None:
            self._events.append(
                {"key": key, "revision": self._revision + 1, "deleted": True}
            )

    def _advance(self) -> None:
        self._revision += 1
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        ended = {
            lease for lease, (end, _) in self._lease_ends.items() if end <= now
        }
        for lease in ended:
            del self._lease_ends[lease]
        lost = [
            key for key, item in self._items.items() if item["lease"] in ended
        ]
        for key in lost:
            self._delete(key)
        if lost:
            self._advance()

    async def _handle(
        self, method: str, path: str, query: dict[str, str], content: typing.Any
    ) -> http.Answer:
        self._expire()
        if path == "/kv-key":
            item = self._items.get(query["key"])
            if item is None:
                return 404, {}
            return 200, {**item, "current_rev": self._revision}
        if path == "/kv-range":
            keys = sorted(
                key
                for key in self._items
                if key.startswith(query["prefix"])
                and key > query.get("after", "")
            )
            return 200, {
                "items": [self._items[key] for key in keys],
                "has_more": False,
                "current_rev": self._revision,
            }
        if path == "/kv-watch":
            return await self._watch(query)
        if path == "/kv-lease":
            return self._lease(content["ttl_ms"] / 1000)
        if path.startswith("/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self._lease_ends:
                return 404, {}
            _, ttl_s = self._lease_ends[lease]
            self._lease_ends[lease] = (time.monotonic() + ttl_s, ttl_s)
            return 200, {"lease": lease, "ttl_ms": int(ttl_s * 1000)}
        if path.startswith("/kv-lease-end/"):
            lease = int(path.rpartition("/")[2])
            self._lease_ends[lease] = (0.0, 0.0)
            self._expire()
            return 200, {}
        if path == "/kv-txn":
            return self._transact(content)
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> http.Answer:
        after, prefix = int(query["after"]), query["prefix"]
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self._events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "current_rev": self._revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _lease(self, ttl_s: float) -> http.Answer:
        lease = self._next_lease
        self._next_lease += 1
        self._lease_ends[lease] = (time.monotonic() + ttl_s, ttl_s)
        return 200, {"lease": lease, "ttl_ms": int(ttl_s * 1000)}

    def _transact(self, content: typing.Any) -> http.Answer:
        for row in content.get("expected", []):
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        for entry in content.get("writes", []):
            lease = entry.get("lease", 0)
            if lease and lease not in self._lease_ends:
                return 404, {}
        for entry in content.get("writes", []):
            self._write(entry)
        for key in content.get("deletes", []):
            self._delete(key)
        self._advance()
        return 200, {"revision": self._revision}
