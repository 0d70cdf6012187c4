"""The store's calls, with outages, delays and silent connections."""

import asyncio
import base64
import json
import typing

from aiohttp import web

__all__ = ["Store"]

KEY = "op/config"


class Store:
    """Holds the configuration and leased keys; leases do not lapse.

    Attributes:
        fault: ``""``, ``busy``, ``silent``, ``slow`` or ``forgets``.
        version: Version of the configuration.
    """

    def __init__(self) -> None:
        self.fault = ""
        self.version = 0
        self._value = b""
        self._revision = 10
        self._changed = asyncio.Event()
        self._leases = 0
        self._leased_by_key: dict[str, dict[str, object]] = {}

    def put(self, version: int, config: dict[str, object]) -> None:
        """Stores a configuration."""
        self.version = version
        self._value = json.dumps({"version": version, **config}).encode()
        self._revision += 3
        self._changed.set()
        self._changed = asyncio.Event()

    async def start(self, address: str, port: int) -> web.AppRunner:
        """Serves until the runner is cleaned up."""
        application = web.Application()
        application.router.add_get("/kv-key", self._get)
        application.router.add_get("/kv-watch", self._watch)
        application.router.add_get("/kv-range", self._range)
        application.router.add_post("/kv-lease", self._lease)
        application.router.add_post("/kv-keep/{lease}", self._keep)
        application.router.add_post("/kv-txn", self._write)
        runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=0.1
        )
        await runner.setup()
        await web.TCPSite(runner, address, port).start()
        return runner

    async def _suffer(self) -> None:
        match self.fault:
            case "busy":
                raise web.HTTPServiceUnavailable
            case "silent":
                await asyncio.sleep(30.0)
            case "slow":
                await asyncio.sleep(0.8)

    def _item(self) -> dict[str, object]:
        return {
            "key": KEY,
            "value": base64.b64encode(self._value).decode(),
            "revision": self._revision,
            "created": 10,
            "lease": 0,
        }

    async def _get(self, _: web.Request) -> web.Response:
        await self._suffer()
        return web.json_response(
            {**self._item(), "current_rev": self._revision}
        )

    async def _watch(self, request: web.Request) -> web.Response:
        await self._suffer()
        if self.fault == "forgets":
            return web.Response(status=410)
        after = int(request.query["after"])
        if self._revision <= after:
            wait_s = int(request.query["wait_ms"]) / 1000
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                pass
        events = [self._item()] if self._revision > after else []
        return web.json_response(
            {"events": events, "current_rev": self._revision}
        )

    async def _range(self, request: web.Request) -> web.Response:
        await self._suffer()
        prefix = request.query["prefix"]
        found = [
            item
            for key, item in self._leased_by_key.items()
            if key.startswith(prefix)
        ]
        return web.json_response(
            {"items": found, "current_rev": self._revision}
        )

    async def _lease(self, request: web.Request) -> web.Response:
        await self._suffer()
        self._leases += 1
        ttl_ms = (await _content(request))["ttl_ms"]
        return web.json_response({"lease": self._leases, "ttl_ms": ttl_ms})

    async def _keep(self, _: web.Request) -> web.Response:
        await self._suffer()
        return web.json_response({})

    async def _write(self, request: web.Request) -> web.Response:
        await self._suffer()
        for entry in (await _content(request))["writes"]:
            self._leased_by_key[entry["key"]] = {**entry, "revision": 1}
        return web.json_response({"revision": 1})


async def _content(request: web.Request) -> typing.Any:
    """Returns what a request says; its connection may be harmed meanwhile."""
    try:
        return await request.json()
    except ConnectionError as error:
        raise web.HTTPBadRequest from error
