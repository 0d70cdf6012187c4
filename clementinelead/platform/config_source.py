"""The operator's configuration and evacuated zones, read and then watched."""

import asyncio
import base64
import binascii
import collections.abc
import typing

import loguru
import msgspec

from clementinelead import decoding
from clementinelead.platform import configs
from clementinelead.platform import evacuation_keys
from clementinelead.platform import items
from clementinelead.platform import store
from clementinelead.processes import http_client
from clementinelead.processes import http_site
from clementinelead.processes import long_polls
from clementinelead.processes import route_watch
from clementinelead.relays import routes

__all__ = ["ConfigSource"]

_OPERATOR_PREFIX = "op/"
_CONFIG_KEY = "op/config"
_MS_PER_S = 1000
_GONE = 410  # status of a watch whose start is no longer in the history


class _KeyAnswer(msgspec.Struct):
    value: str
    current_rev: decoding.Count  # revision of the whole store


class _WatchAnswer(msgspec.Struct):
    events: list[items.Item]
    current_rev: decoding.Count


_Content = typing.TypeVar("_Content")


class _Answer(msgspec.Struct):
    body: bytes
    era: int


class _Read(msgspec.Struct, typing.Generic[_Content]):
    content: _Content
    era: int
    revision: int  # of the whole store


class ConfigSource:
    """Reads the operator's configuration and evacuated zones, then watches."""

    def __init__(
        self,
        store_client: store.StoreClient,
        known_zones: collections.abc.Set[str],
        schedule: long_polls.LongPollSchedule,
    ):
        """Starts without a read.

        Args:
            store_client: Client of the store.
            known_zones: Zones in the settings.
            schedule: Chooses the durations of the watches.
        """
        self._store = store_client
        self._schedule = schedule
        self._evacuation_keys = evacuation_keys.EvacuationKeys(known_zones)
        self._last_revision: int | None = None
        self._era = 0

    async def next(
        self,
    ) -> route_watch.Changed | route_watch.Unchanged | route_watch.Failed:
        """Waits for a change of the configuration or the evacuated zones.

        The first call, and calls after a malformed answer, a lost history or a
        change of the store era, read the present state instead.

        Returns:
            What has changed; ``Unchanged`` if the wait ended without a change;
            ``Failed`` if the store did not answer or its answer can't be used.
        """
        if self._era != self._store.era_tracker.era:
            self._last_revision = None
        try:
            if self._last_revision is None:
                return await self._read()
            return await self._watch(self._last_revision)
        except ValueError as error:
            self._last_revision = None
            return route_watch.Failed(f"malformed answer: {error}", True)

    async def _read(self) -> route_watch.Changed | route_watch.Failed:
        """Reads the configuration and the evacuated zones.

        Raises:
            ValueError: An answer is malformed.
        """
        config, zones = await asyncio.gather(
            self._read_config(), self._read_zones()
        )
        if isinstance(config, route_watch.Failed):
            return config
        if isinstance(zones, route_watch.Failed):
            return zones
        if config.era != zones.era:
            return route_watch.Failed("store era changed", True)
        self._last_revision = min(config.revision, zones.revision)
        self._era = config.era
        evacuated = self._evacuation_keys.on_read(
            zones.content, zones.era, zones.revision
        )
        return route_watch.Changed(_decoded_routes(config.content), evacuated)

    async def _read_config(self) -> _Read[str] | route_watch.Failed:
        """Returns the value of the configuration, not decoded."""
        answer = await self._call("/kv-key", key=_CONFIG_KEY)
        if isinstance(answer, route_watch.Failed):
            return answer
        read = decoding.decode_json(answer.body, _KeyAnswer)
        return _Read(read.value, answer.era, read.current_rev)

    async def _read_zones(
        self,
    ) -> _Read[tuple[items.Item, ...]] | route_watch.Failed:
        """Returns the keys of evacuated zones.

        Only the first page is read, which has more keys than a state can
        contain.
        """
        answer = await self._call("/kv-range", prefix=evacuation_keys.PREFIX)
        if isinstance(answer, route_watch.Failed):
            return answer
        page = decoding.decode_json(answer.body, items.Page)
        return _Read(tuple(page.items), answer.era, page.current_rev)

    async def _call(
        self, path: str, **query: str
    ) -> _Answer | route_watch.Failed:
        """Returns the answer to a read, with the store era of that moment."""
        answer = await self._store.get(path, store.CALL_TIMEOUT_S, **query)
        if isinstance(answer, http_client.RequestFailure):
            return route_watch.Failed(answer.reason, False)
        if answer.status != http_site.OK:
            return route_watch.Failed(f"status {answer.status}", True)
        return _Answer(answer.body, self._store.era_tracker.era)

    async def _watch(
        self, last_revision: int
    ) -> route_watch.Changed | route_watch.Unchanged | route_watch.Failed:
        poll = self._schedule.next_poll()
        answer = await self._store.get(
            "/kv-watch",
            poll.timeout_s,
            prefix=_OPERATOR_PREFIX,
            after=last_revision,
            wait_ms=int(poll.hold_s * _MS_PER_S),
        )
        if isinstance(answer, http_client.RequestFailure):
            self._schedule.on_failure()
            return route_watch.Failed(answer.reason, False)
        # Revisions of another era can't be compared with the last one.
        if answer.status == _GONE or self._era != self._store.era_tracker.era:
            self._last_revision = None
            return route_watch.Unchanged()
        if answer.status != http_site.OK:
            self._schedule.on_failure()
            return route_watch.Failed(f"status {answer.status}", True)
        self._schedule.on_answer()
        watched = decoding.decode_json(answer.body, _WatchAnswer)
        self._last_revision = max(last_revision, watched.current_rev)
        return self._changes(watched.events)

    def _changes(
        self, events: list[items.Item]
    ) -> route_watch.Changed | route_watch.Unchanged:
        """Returns what the events of a watch change."""
        configs_written = [
            event.value
            for event in events
            if event.key == _CONFIG_KEY and not event.deleted
        ]
        table = (
            _decoded_routes(configs_written[-1]) if configs_written else None
        )
        evacuated = self._evacuation_keys.on_events(events, self._era)
        if table is None and evacuated is None:
            return route_watch.Unchanged()
        return route_watch.Changed(table, evacuated)


def _decoded_routes(value: str) -> routes.RoutingTable | None:
    """Returns the routes of a configuration, None if it is malformed.

    Args:
        value: Base64 of the configuration.
    """
    try:
        return configs.decode(base64.b64decode(value, validate=True))
    except (binascii.Error, ValueError) as error:
        loguru.logger.bind(reason=str(error)).warning(
            "configuration can't be read"
        )
        return None
