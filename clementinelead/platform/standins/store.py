"""Stand-in for the store, with injected outages, delays and hanging calls."""

import asyncio
import base64
import json
import typing

from aiohttp import web

__all__ = ["Store"]

CONFIG_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
_EMPTY_OBJECT = base64.b64encode(b"{}").decode()
SILENT_S = 30.0
SLOW_S = 0.8


class Store:
    """Serves the operator's keys and leased keys; leases never expire.

    Attributes:
        fault: Injected fault: ``busy`` answers 503, ``silent`` answers after
            30 s, ``slow`` after 0.8 s, ``forgets`` answers watches with 410;
            empty for none.
        version: Version of the configuration.
    """

    def __init__(self) -> None:
        self.fault = ""
        self.version = 0
        self._config_value = b""
        self._revision = 10
        self._event_by_evacuation_key: dict[str, dict[str, object]] = {}
        self._changed = asyncio.Event()
        self._config_revision = self._revision
        self._lease_count = 0
        self._leased_item_by_key: dict[str, dict[str, object]] = {}

    def put(self, version: int, config: dict[str, object]) -> None:
        """Stores a configuration, and wakes pending watches.

        Args:
            version: Version of the configuration.
            config: Other fields of the configuration.
        """
        self.version = version
        self._config_value = json.dumps({"version": version, **config}).encode()
        self._advance()
        self._config_revision = self._revision

    def put_raw(self, value: bytes) -> None:
        """Stores a configuration that another writer has left.

        Args:
            value: The value, which may be malformed.
        """
        self._config_value = value
        self._advance()
        self._config_revision = self._revision

    def evacuate(self, zone: str) -> None:
        """Writes the key of an evacuated zone.

        Args:
            zone: Name of the zone.
        """
        self._record_evacuation(zone, value=_EMPTY_OBJECT)

    def restore(self, zone: str) -> None:
        """Deletes the key of an evacuated zone.

        Args:
            zone: Name of the zone.
        """
        self._record_evacuation(zone, deleted=True)

    def _record_evacuation(self, zone: str, **fields: object) -> None:
        self._advance()
        key = f"{EVACUATION_PREFIX}{zone}"
        self._event_by_evacuation_key[key] = {
            "key": key,
            "revision": self._revision,
            **fields,
        }

    def _advance(self) -> None:
        """Raises the revision and wakes pending watches."""
        self._revision += 3
        self._changed.set()
        self._changed = asyncio.Event()

    async def start(self, address: str, port: int) -> web.AppRunner:
        """Starts to serve, until the returned runner is cleaned up.

        Args:
            address: IP address to listen on.
            port: TCP port to listen on.
        """
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

    async def _inject_fault(self) -> None:
        """Raises or delays as ``fault`` requests."""
        match self.fault:
            case "busy":
                raise web.HTTPServiceUnavailable
            case "silent":
                await asyncio.sleep(SILENT_S)
            case "slow":
                await asyncio.sleep(SLOW_S)

    def _config_item(self) -> dict[str, object]:
        return {
            "key": CONFIG_KEY,
            "value": base64.b64encode(self._config_value).decode(),
            "revision": self._config_revision,
            "created": 10,
            "lease": 0,
        }

    async def _get(self, _: web.Request) -> web.Response:
        await self._inject_fault()
        return web.json_response(
            {**self._config_item(), "current_rev": self._revision}
        )

    async def _watch(self, request: web.Request) -> web.Response:
        await self._inject_fault()
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
        operator_items = [
            self._config_item(),
            *self._event_by_evacuation_key.values(),
        ]
        events = [
            item
            for item in operator_items
            if int(str(item["revision"])) > after
        ]
        return web.json_response(
            {"events": events, "current_rev": self._revision}
        )

    async def _range(self, request: web.Request) -> web.Response:
        await self._inject_fault()
        prefix = request.query["prefix"]
        items = [
            item
            for key, item in {
                **self._leased_item_by_key,
                **self._event_by_evacuation_key,
            }.items()
            if key.startswith(prefix) and not item.get("deleted")
        ]
        return web.json_response(
            {"items": items, "current_rev": self._revision}
        )

    async def _lease(self, request: web.Request) -> web.Response:
        await self._inject_fault()
        self._lease_count += 1
        ttl_ms = (await _content(request))["ttl_ms"]
        return web.json_response({"lease": self._lease_count, "ttl_ms": ttl_ms})

    async def _keep(self, _: web.Request) -> web.Response:
        await self._inject_fault()
        return web.json_response({})

    async def _write(self, request: web.Request) -> web.Response:
        await self._inject_fault()
        for entry in (await _content(request))["writes"]:
            self._leased_item_by_key[entry["key"]] = {**entry, "revision": 1}
        return web.json_response({"revision": 1})


async def _content(request: web.Request) -> typing.Any:
    """Returns the parsed body of a request.

    Raises:
        web.HTTPBadRequest: The connection failed during the transfer, as the
            soak's faults can make it do.
    """
    try:
        return await request.json()
    except ConnectionError as error:
        raise web.HTTPBadRequest from error
