"""Client of the platform's metadata store: configuration and contact keys."""

import asyncio
import base64
import binascii
import collections.abc
import ipaddress
import typing
import urllib.parse

import loguru
import msgspec

from clementinelead.platform import configs
from clementinelead.platform import evacuation_keys
from clementinelead.platform import items
from clementinelead.platform import store_eras
from clementinelead.processes import contact_keys
from clementinelead.processes import http_client
from clementinelead.processes import http_site
from clementinelead.processes import route_watch
from clementinelead.relays import routes

__all__ = ["ConfigSource", "ContactStore", "StoreClient"]

CALL_TIMEOUT_S = 1.5
"""Timeout of a call; the store answers in milliseconds unless it is faulty."""

WATCH_TIMEOUT_S = 4.0
"""Longest time that the store holds a watch (a long poll) open, seconds.

A connection that no longer delivers data is detected after this time and
``CALL_TIMEOUT_S``, which leaves time to put a configuration in force.
"""

CONTACT_PREFIX = "clementinelead/contacts/"

_OPERATOR_PREFIX = "op/"
_CONFIG_KEY = "op/config"
_MAX_PORT = 65_535
_MS_PER_S = 1000
_GONE = 410  # status of a watch whose start is no longer in the history


class _KeyAnswer(msgspec.Struct):
    value: str
    current_rev: int  # revision of the whole store


class _WatchAnswer(msgspec.Struct):
    events: list[items.Item]
    current_rev: int


class _Lease(msgspec.Struct):
    lease: int


class _RangeAnswer(msgspec.Struct):
    items: list[items.Item]
    current_rev: int


_Content = typing.TypeVar("_Content")


class _Read(msgspec.Struct, typing.Generic[_Content]):
    content: _Content
    era: int
    revision: int  # of the whole store


class StoreClient:
    """HTTP client of the store.

    Attributes:
        era_tracker: Store era in the answers.
    """

    def __init__(self, address: tuple[str, int]):
        self.era_tracker = store_eras.EraTracker()
        self._address = address

    async def get(
        self, path: str, timeout_s: float, **query: str | int
    ) -> http_client.Response | http_client.RequestFailure:
        """Returns the answer to a GET request.

        Args:
            path: Path of the call.
            timeout_s: Timeout, seconds.
            **query: Parameters of the query.

        Returns:
            The answer, or the reason why there is none. An answer of an older
            store era counts as none.
        """
        target = f"{path}?{urllib.parse.urlencode(query)}"
        return await self._call("GET", target, b"", timeout_s)

    async def post(
        self, path: str, content: dict[str, object] | None = None
    ) -> http_client.Response | http_client.RequestFailure:
        """Returns the answer to a POST request, sent with ``CALL_TIMEOUT_S``.

        Args:
            path: Path of the call.
            content: Body, encoded as JSON; None for an empty body.

        Returns:
            The answer, or the reason why there is none. An answer of an older
            store era counts as none.
        """
        body = msgspec.json.encode(content) if content is not None else b""
        return await self._call("POST", path, body, CALL_TIMEOUT_S)

    async def _call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> http_client.Response | http_client.RequestFailure:
        answer = await http_client.call(
            self._address, method, target, body, timeout_s
        )
        if isinstance(
            answer, http_client.Response
        ) and self.era_tracker.observe(answer):
            return http_client.RequestFailure("answer of an older era", True)
        return answer


class ConfigSource:
    """Reads the operator's configuration and evacuated zones, then watches."""

    def __init__(
        self, store: StoreClient, known_zones: collections.abc.Set[str]
    ):
        """Starts without a read.

        Args:
            store: The store.
            known_zones: Zones in the settings.
        """
        self._store = store
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
        for outcome in (config, zones):
            if isinstance(outcome, route_watch.Failed):
                return outcome
        assert not isinstance(config, route_watch.Failed)
        assert not isinstance(zones, route_watch.Failed)
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
        answer = await self._store.get(
            "/kv-key", CALL_TIMEOUT_S, key=_CONFIG_KEY
        )
        era = self._store.era_tracker.era
        if isinstance(answer, http_client.RequestFailure):
            return route_watch.Failed(answer.reason, False)
        if answer.status != http_site.OK:
            return route_watch.Failed(f"status {answer.status}", True)
        key_answer = msgspec.json.decode(answer.body, type=_KeyAnswer)
        return _Read(key_answer.value, era, key_answer.current_rev)

    async def _read_zones(
        self,
    ) -> _Read[tuple[items.Item, ...]] | route_watch.Failed:
        """Returns the keys of evacuated zones.

        Only the first page is read, which has more keys than a state can
        contain.
        """
        answer = await self._store.get(
            "/kv-range", CALL_TIMEOUT_S, prefix=evacuation_keys.PREFIX
        )
        era = self._store.era_tracker.era
        if isinstance(answer, http_client.RequestFailure):
            return route_watch.Failed(answer.reason, False)
        if answer.status != http_site.OK:
            return route_watch.Failed(f"status {answer.status}", True)
        page = msgspec.json.decode(answer.body, type=_RangeAnswer)
        return _Read(tuple(page.items), era, page.current_rev)

    async def _watch(
        self, last_revision: int
    ) -> route_watch.Changed | route_watch.Unchanged | route_watch.Failed:
        answer = await self._store.get(
            "/kv-watch",
            WATCH_TIMEOUT_S + CALL_TIMEOUT_S,
            prefix=_OPERATOR_PREFIX,
            after=last_revision,
            wait_ms=int(WATCH_TIMEOUT_S * _MS_PER_S),
        )
        if isinstance(answer, http_client.RequestFailure):
            return route_watch.Failed(answer.reason, False)
        # Revisions of another era can't be compared with the last one.
        if answer.status == _GONE or self._era != self._store.era_tracker.era:
            self._last_revision = None
            return route_watch.Unchanged()
        if answer.status != http_site.OK:
            return route_watch.Failed(f"status {answer.status}", True)
        watched = msgspec.json.decode(answer.body, type=_WatchAnswer)
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


class ContactStore:
    """Contact keys in the store, of which this process may hold one."""

    def __init__(self, store: StoreClient):
        self._store = store
        self._lease: int | None = None
        self._lease_era = 0
        self._written_contact: contact_keys.Contact | None = None

    @property
    def lost(self) -> bool:
        """Whether the lease and key were written in an earlier store era.

        A store of a later era has lost them.
        """
        has_lease = self._lease is not None
        return has_lease and self._lease_era != self._store.era_tracker.era

    async def hold(
        self, identifier: str, contact: contact_keys.Contact, lease_s: float
    ) -> contact_keys.Failed | None:
        """Renews the lease of a holder's key, or creates lease and key again.

        A call without an answer may have been executed. The key then exists
        with a lease that is not renewed, and the next call writes it again.

        Args:
            identifier: Identifier of the holder.
            contact: Value of the key.
            lease_s: Duration of the lease, seconds.

        Returns:
            The reason of a failure, None if the key holds the contact.
        """
        if self.lost:
            self._lease = None
        if self._lease is not None:
            renewed = await self._store.post(f"/kv-keep/{self._lease}")
            if isinstance(renewed, http_client.RequestFailure):
                return contact_keys.Failed(renewed.reason)
            # In another era the lease number may have been assigned to another
            # holder.
            if not _succeeded(renewed) or self.lost:
                self._lease = None
        if self._lease is None:
            self._written_contact = None
            failed = await self._create_lease(lease_s)
            if failed is not None:
                return failed
        if contact == self._written_contact:
            return None
        return await self._write(identifier, contact)

    async def _create_lease(self, lease_s: float) -> contact_keys.Failed | None:
        ttl_ms = int(lease_s * _MS_PER_S)
        leased = await self._store.post("/kv-lease", {"ttl_ms": ttl_ms})
        if (
            isinstance(leased, http_client.RequestFailure)
            or leased.status != http_site.OK
        ):
            return contact_keys.Failed(str(leased))
        try:
            self._lease = msgspec.json.decode(leased.body, type=_Lease).lease
            self._lease_era = self._store.era_tracker.era
        except msgspec.DecodeError as error:
            return contact_keys.Failed(f"malformed answer: {error}")
        return None

    async def _write(
        self, identifier: str, contact: contact_keys.Contact
    ) -> contact_keys.Failed | None:
        text = " ".join(
            (
                contact.address,
                str(contact.side_count),
                *(f"{host}:{port}" for host, port in contact.side_addresses),
            )
        )
        entry = {
            "key": f"{CONTACT_PREFIX}{identifier}",
            "value": base64.b64encode(text.encode()).decode(),
            "lease": self._lease,
        }
        content: dict[str, object] = {
            "expected": [],
            "writes": [entry],
            "deletes": [],
        }
        written = await self._store.post("/kv-txn", content)
        if not _succeeded(written) or self.lost:
            self._lease = None
            return contact_keys.Failed(str(written))
        self._written_contact = contact
        return None

    async def find(
        self,
    ) -> tuple[contact_keys.Contact, ...] | contact_keys.Failed:
        """Returns the values of all contact keys, the last written one last.

        Keys with malformed values are logged and left out.
        """
        answer = await self._store.get(
            "/kv-range", CALL_TIMEOUT_S, prefix=CONTACT_PREFIX, allow_stale=1
        )
        if (
            isinstance(answer, http_client.RequestFailure)
            or answer.status != http_site.OK
        ):
            return contact_keys.Failed(str(answer))
        try:
            page = msgspec.json.decode(answer.body, type=_RangeAnswer)
        except msgspec.DecodeError as error:
            return contact_keys.Failed(f"malformed answer: {error}")
        contacts = []
        for item in sorted(page.items, key=lambda item: item.revision):
            try:
                contacts.append(_parse_contact(item.value))
            except ValueError:
                loguru.logger.bind(key=item.key).warning(
                    "contact key can't be read"
                )
        return tuple(contacts)


def _parse_contact(value: str) -> contact_keys.Contact:
    """Returns the contact in the value of a contact key.

    Args:
        value: Base64 of an address, a number of side processes and endpoints
            of some of them, separated by spaces.

    Raises:
        ValueError: The value is malformed.
    """
    text = base64.b64decode(value, validate=True).decode()
    address, side_count, *endpoints = text.split(" ")
    return contact_keys.Contact(
        str(ipaddress.IPv4Address(address)),
        max(0, int(side_count)),
        tuple(_parse_endpoint(endpoint) for endpoint in endpoints),
    )


def _parse_endpoint(text: str) -> tuple[str, int]:
    """Returns address and port of ``address:port``.

    Raises:
        ValueError: The address is not an IPv4 address or the port is invalid.
    """
    host, _, port = text.rpartition(":")
    port_number = int(port)
    if not 0 < port_number <= _MAX_PORT:
        raise ValueError(f"{text!r} has no valid port")
    return str(ipaddress.IPv4Address(host)), port_number


def _succeeded(
    answer: http_client.Response | http_client.RequestFailure,
) -> bool:
    return (
        isinstance(answer, http_client.Response)
        and answer.status == http_site.OK
    )


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
