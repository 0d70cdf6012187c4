"""Stand-in store with Consul's HTTP interface for KV and sessions, and faults."""

import asyncio
import base64
import collections
import dataclasses
import random
import time
import typing
import uuid

from aiohttp import web
import typer

_MAX_BLOCKING_QUERY_S = 600.0
_MAX_VALUE_BYTES = 1 << 20


@dataclasses.dataclass
class _Faults:
    """Injected faults.

    Attributes:
        down: Whether every request fails with status 503.
        delay_s: Delay of every response, seconds.
        lose_answers: Probability that a write takes effect, but its connection
            is closed without a response.
        lapse: Whether sessions expire before their time to live.
    """

    down: bool = False
    delay_s: float = 0.0
    lose_answers: float = 0.0
    lapse: bool = False


@dataclasses.dataclass
class _Item:
    value: bytes
    index: int
    session: str = ""


class StandInStore:
    """Stores values and sessions in memory.

    Attributes:
        faults: Faults that are injected.
        calls: Number of requests of each kind.
    """

    def __init__(self, seed: int):
        self.faults = _Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._random = random.Random(seed)
        self._items: dict[str, _Item] = {}
        self._expiry_by_session: dict[str, tuple[float, float]] = {}
        self._index = 1
        self._changed = asyncio.Event()

    def application(self) -> web.Application:
        """Returns the HTTP application, with the routes of Consul and of faults."""
        application = web.Application(client_max_size=2 * _MAX_VALUE_BYTES)
        router = application.router
        router.add_get("/v1/kv/{key:.*}", self._get)
        router.add_put("/v1/kv/{key:.*}", self._put)
        router.add_delete("/v1/kv/{key:.*}", self._delete)
        router.add_put("/v1/session/create", self._create_session)
        router.add_put("/v1/session/renew/{id}", self._renew_session)
        router.add_put("/v1/session/destroy/{id}", self._destroy_session)
        router.add_put("/faults", self._set_faults)
        router.add_get("/calls", self._get_calls)
        return application

    async def _begin_request(self, kind: str) -> None:
        self.calls[kind] += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise web.HTTPServiceUnavailable
        self._expire_sessions()

    def _expire_sessions(self) -> None:
        now = time.monotonic()
        for session, (expires, _) in list(self._expiry_by_session.items()):
            if now >= expires or self.faults.lapse:
                self._end_session(session)

    def _end_session(self, session: str) -> None:
        self._expiry_by_session.pop(session, None)
        for key, item in list(self._items.items()):
            if item.session == session:
                del self._items[key]
                self._increment_index()

    def _increment_index(self) -> int:
        self._index += 1
        self._changed.set()
        self._changed = asyncio.Event()
        return self._index

    async def _get(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        if "recurse" in request.query:
            await self._begin_request("scan")
            matching_keys = [
                name for name in self._items if name.startswith(key)
            ]
            return self._entries_response(matching_keys)
        is_blocking = "index" in request.query
        await self._begin_request("watch" if is_blocking else "get")
        if is_blocking:
            await self._wait_for_change(
                key,
                int(request.query["index"]),
                float(request.query.get("wait", "60s").rstrip("s")),
            )
        return self._entries_response([key] if key in self._items else [])

    async def _wait_for_change(
        self, key: str, index: int, wait_s: float
    ) -> None:
        deadline = time.monotonic() + min(wait_s, _MAX_BLOCKING_QUERY_S)
        while True:
            item = self._items.get(key)
            if self.faults.down:
                raise web.HTTPServiceUnavailable
            if (item.index if item else 0) != index:
                return
            remaining_s = deadline - time.monotonic()
            if remaining_s <= 0:
                return
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                return

    def _entries_response(self, keys: list[str]) -> web.Response:
        headers = {"X-Consul-Index": str(self._index)}
        if not keys:
            return web.Response(status=404, headers=headers)
        entries = [
            {
                "Key": key,
                "Value": base64.b64encode(self._items[key].value).decode(),
                "ModifyIndex": self._items[key].index,
                "Session": self._items[key].session,
            }
            for key in keys
        ]
        return web.json_response(entries, headers=headers)

    async def _put(self, request: web.Request) -> web.Response:
        await self._begin_request("put")
        key = request.match_info["key"]
        value = await request.read()
        if len(value) > _MAX_VALUE_BYTES:
            raise web.HTTPRequestEntityTooLarge(_MAX_VALUE_BYTES, len(value))
        item = self._items.get(key)
        cas = request.query.get("cas")
        if cas is not None and int(cas) != (item.index if item else 0):
            return web.json_response(False)
        session = request.query.get("acquire", "")
        if session:
            if session not in self._expiry_by_session:
                raise web.HTTPInternalServerError(text="invalid session")
            if item and item.session not in ("", session):
                return web.json_response(False)
        self._items[key] = _Item(value, self._increment_index(), session)
        if self._random.random() < self.faults.lose_answers:
            assert request.transport is not None
            request.transport.abort()
            self.calls["lost_answer"] += 1
        return web.json_response(True)

    async def _delete(self, request: web.Request) -> web.Response:
        await self._begin_request("delete")
        if self._items.pop(request.match_info["key"], None):
            self._increment_index()
        return web.json_response(True)

    async def _create_session(self, request: web.Request) -> web.Response:
        await self._begin_request("session")
        ttl = float((await request.json())["TTL"].rstrip("s"))
        session = str(uuid.uuid4())
        self._expiry_by_session[session] = (time.monotonic() + ttl, ttl)
        return web.json_response({"ID": session})

    async def _renew_session(self, request: web.Request) -> web.Response:
        await self._begin_request("renew")
        session = request.match_info["id"]
        if session not in self._expiry_by_session:
            raise web.HTTPNotFound
        _, ttl = self._expiry_by_session[session]
        self._expiry_by_session[session] = (time.monotonic() + ttl, ttl)
        return web.json_response([{"ID": session}])

    async def _destroy_session(self, request: web.Request) -> web.Response:
        await self._begin_request("destroy")
        self._end_session(request.match_info["id"])
        return web.json_response(True)

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = _Faults(**await request.json())
        self._increment_index()
        return web.json_response(dataclasses.asdict(self.faults))

    async def _get_calls(self, _: web.Request) -> web.Response:
        return web.json_response(dict(self.calls))


def main(
    address: typing.Annotated[str, typer.Option()],
    port: typing.Annotated[int, typer.Option()],
    seed: typing.Annotated[int, typer.Option()] = 1,
) -> None:
    """Runs the stand-in store until it is interrupted."""

    async def application() -> web.Application:
        return StandInStore(seed).application()

    web.run_app(
        application(), host=address, port=port, print=None, access_log=None
    )


if __name__ == "__main__":
    typer.run(main)
