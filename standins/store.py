"""Store in the form of Consul's KV and session interface, with faults."""

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

_MAX_WAIT_S = 600.0
_MAX_VALUE_BYTES = 1 << 20


@dataclasses.dataclass
class _Faults:
    """Faults that are switched on.

    Attributes:
        down: Whether every call fails.
        delay_s: Delay of every answer.
        lose_answers: Share of writes that take effect without an answer.
        lapse: Whether leases end early.
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
    """Keeps values in memory."""

    def __init__(self, seed: int):
        self.faults = _Faults()
        self.calls: collections.Counter[str] = collections.Counter()
        self._random = random.Random(seed)
        self._items: dict[str, _Item] = {}
        self._expiry_by_session: dict[str, tuple[float, float]] = {}
        self._index = 1
        self._changed = asyncio.Event()

    def application(self) -> web.Application:
        """Returns the HTTP application."""
        application = web.Application(client_max_size=2 * _MAX_VALUE_BYTES)
        router = application.router
        router.add_get("/v1/kv/{key:.*}", self._get)
        router.add_put("/v1/kv/{key:.*}", self._put)
        router.add_delete("/v1/kv/{key:.*}", self._delete)
        router.add_put("/v1/session/create", self._create)
        router.add_put("/v1/session/renew/{id}", self._renew)
        router.add_put("/v1/session/destroy/{id}", self._destroy)
        router.add_put("/faults", self._set_faults)
        router.add_get("/calls", self._get_calls)
        return application

    async def _begin(self, kind: str) -> None:
        self.calls[kind] += 1
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            raise web.HTTPServiceUnavailable
        self._lapse()

    def _lapse(self) -> None:
        now = time.monotonic()
        for session, (expires, _) in list(self._expiry_by_session.items()):
            if now >= expires or self.faults.lapse:
                self._end(session)

    def _end(self, session: str) -> None:
        self._expiry_by_session.pop(session, None)
        for key, item in list(self._items.items()):
            if item.session == session:
                del self._items[key]
                self._touch()

    def _touch(self) -> int:
        self._index += 1
        self._changed.set()
        self._changed = asyncio.Event()
        return self._index

    async def _get(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        if "recurse" in request.query:
            await self._begin("scan")
            found = [name for name in self._items if name.startswith(key)]
            return self._answer(found)
        waiting = "index" in request.query
        await self._begin("watch" if waiting else "get")
        if waiting:
            await self._wait(
                key,
                int(request.query["index"]),
                float(request.query.get("wait", "60s").rstrip("s")),
            )
        return self._answer([key] if key in self._items else [])

    async def _wait(self, key: str, index: int, wait_s: float) -> None:
        deadline = time.monotonic() + min(wait_s, _MAX_WAIT_S)
        while True:
            item = self._items.get(key)
            if self.faults.down:
                raise web.HTTPServiceUnavailable
            if (item.index if item else 0) != index:
                return
            left = deadline - time.monotonic()
            if left <= 0:
                return
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                return

    def _answer(self, keys: list[str]) -> web.Response:
        headers = {"X-Consul-Index": str(self._index)}
        if not keys:
            return web.Response(status=404, headers=headers)
        content = [
            {
                "Key": key,
                "Value": base64.b64encode(self._items[key].value).decode(),
                "ModifyIndex": self._items[key].index,
                "Session": self._items[key].session,
            }
            for key in keys
        ]
        return web.json_response(content, headers=headers)

    async def _put(self, request: web.Request) -> web.Response:
        await self._begin("put")
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
        self._items[key] = _Item(value, self._touch(), session)
        if self._random.random() < self.faults.lose_answers:
            assert request.transport is not None
            request.transport.abort()
            self.calls["lost_answer"] += 1
        return web.json_response(True)

    async def _delete(self, request: web.Request) -> web.Response:
        await self._begin("delete")
        if self._items.pop(request.match_info["key"], None):
            self._touch()
        return web.json_response(True)

    async def _create(self, request: web.Request) -> web.Response:
        await self._begin("session")
        ttl = float((await request.json())["TTL"].rstrip("s"))
        session = str(uuid.uuid4())
        self._expiry_by_session[session] = (time.monotonic() + ttl, ttl)
        return web.json_response({"ID": session})

    async def _renew(self, request: web.Request) -> web.Response:
        await self._begin("renew")
        session = request.match_info["id"]
        if session not in self._expiry_by_session:
            raise web.HTTPNotFound
        _, ttl = self._expiry_by_session[session]
        self._expiry_by_session[session] = (time.monotonic() + ttl, ttl)
        return web.json_response([{"ID": session}])

    async def _destroy(self, request: web.Request) -> web.Response:
        await self._begin("destroy")
        self._end(request.match_info["id"])
        return web.json_response(True)

    async def _set_faults(self, request: web.Request) -> web.Response:
        self.faults = _Faults(**await request.json())
        self._touch()
        return web.json_response(dataclasses.asdict(self.faults))

    async def _get_calls(self, _: web.Request) -> web.Response:
        return web.json_response(dict(self.calls))


def main(
    address: typing.Annotated[str, typer.Option()],
    port: typing.Annotated[int, typer.Option()],
    seed: typing.Annotated[int, typer.Option()] = 1,
) -> None:
    """Runs the stand-in store."""

    async def application() -> web.Application:
        return StandInStore(seed).application()

    web.run_app(
        application(), host=address, port=port, print=None, access_log=None
    )


if __name__ == "__main__":
    typer.run(main)
