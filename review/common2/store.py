"""The platform's metadata store, after PROTOCOL.md: the calls that are used."""

import asyncio
import base64
import json
import time

from review.common2 import http


class Store:
    """Keys with leases, one revision counter and watches."""

    def __init__(self) -> None:
        self.revision = 10
        self._items: dict[str, dict] = {}
        self._events: list[dict] = []
        self._changed = asyncio.Event()
        self._lease_ends: dict[int, float] = {}
        self._last_lease = 0
        self._server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> None:
        """Starts to serve."""
        self._server = await http.serve(address, self._answer)

    def close(self) -> None:
        """Stops serving."""
        if self._server is not None:
            self._server.close()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes a key; the operator calls it directly."""
        self.revision += 1
        old = self._items.get(key)
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": old["created"] if old else self.revision,
            "lease": lease,
        }
        self._items[key] = item
        self._record(item)

    def delete(self, key: str) -> None:
        """Deletes a key."""
        if self._items.pop(key, None) is not None:
            self.revision += 1
            self._record(
                {"key": key, "revision": self.revision, "deleted": True}
            )

    def _record(self, event: dict) -> None:
        self._events.append(event)
        self._changed.set()
        self._changed = asyncio.Event()

    def _expire(self) -> None:
        now = time.monotonic()
        ended = {n for n, end in self._lease_ends.items() if end <= now}
        for lease in ended:
            del self._lease_ends[lease]
        for key, item in list(self._items.items()):
            if item["lease"] in ended:
                self.delete(key)

    async def _answer(
        self, method: str, path: str, query: dict[str, str], body: bytes
    ) -> tuple[int, object]:
        self._expire()
        content = json.loads(body) if body else {}
        if path == "/kv-key":
            item = self._items.get(query["key"])
            if item is None:
                return 404, {"current_rev": self.revision}
            return 200, {**item, "current_rev": self.revision}
        if path == "/kv-range":
            found = [
                item
                for key, item in sorted(self._items.items())
                if key.startswith(query["prefix"])
            ]
            return 200, {
                "items": found,
                "has_more": False,
                "current_rev": self.revision,
            }
        if path == "/kv-watch":
            return 200, await self._watch(query)
        if path == "/kv-lease":
            self._last_lease += 1
            ttl_ms = content["ttl_ms"]
            self._lease_ends[self._last_lease] = (
                time.monotonic() + ttl_ms / 1000
            )
            return 200, {"lease": self._last_lease, "ttl_ms": ttl_ms}
        if path.startswith("/kv-keep/"):
            lease = int(path.rpartition("/")[2])
            if lease not in self._lease_ends:
                return 404, {}
            self._lease_ends[lease] = time.monotonic() + 60
            return 200, {"ttl_ms": 60_000}
        if path == "/kv-txn":
            return self._write(content)
        return 404, {}

    async def _watch(self, query: dict[str, str]) -> dict:
        after = int(query["after"])
        deadline = time.monotonic() + int(query["wait_ms"]) / 1000
        while True:
            events = [
                event
                for event in self._events
                if event["revision"] > after
                and event["key"].startswith(query["prefix"])
            ]
            left_s = deadline - time.monotonic()
            if events or left_s <= 0:
                return {"events": events, "current_rev": self.revision}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _write(self, content: dict) -> tuple[int, object]:
        for row in content.get("expected", []):
            item = self._items.get(row["key"])
            if (item["revision"] if item else 0) != row["revision"]:
                return 412, {"items": [item] if item else []}
        writes = content.get("writes", [])
        for entry in writes:
            lease = entry.get("lease") or 0
            if lease and lease not in self._lease_ends:
                return 404, {}
        for entry in writes:
            value = base64.b64decode(entry["value"])
            self.put(entry["key"], value, entry.get("lease") or 0)
        for key in content.get("deletes", []):
            self.delete(key)
        return 200, {"revision": self.revision}
