"""Client of the platform's metadata store."""

import base64
import binascii
import ipaddress
import urllib.parse

import loguru
import msgspec

from clementinelead.platform import configs
from clementinelead.platform import store_eras
from clementinelead.processes import contact_keys
from clementinelead.processes import http_client
from clementinelead.processes import http_site
from clementinelead.processes import route_watch

__all__ = ["ConfigSource", "ContactStore", "Store"]

CALL_TIMEOUT_S = 1.5
"""Deadline of a call; the store answers in milliseconds unless it is ill."""

WATCH_S = 4.0
"""Longest wait of a watch, seconds.

A connection that has gone silent is noticed this much later, which leaves
time to put a configuration in force.
"""

CONTACT_PREFIX = "clementinelead/contacts/"

_CONFIG_KEY = "op/config"
_MAX_PORT = 65_535
_MS_PER_S = 1000
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


class _Lease(msgspec.Struct):
    lease: int


class _Range(msgspec.Struct):
    items: list[_Item]


class Store:
    """Calls of the store that this system makes.

    Attributes:
        eras: Which copy of its data the store serves.
    """

    def __init__(self, address: tuple[str, int]):
        self.eras = store_eras.EraWatch()
        self._address = address

    async def get(
        self, path: str, timeout_s: float, **query: str | int
    ) -> http_client.Response | http_client.RequestFailure:
        """Returns the answer to a reading call."""
        target = f"{path}?{urllib.parse.urlencode(query)}"
        return await self._call("GET", target, b"", timeout_s)

    async def post(
        self, path: str, content: dict[str, object] | None = None
    ) -> http_client.Response | http_client.RequestFailure:
        """Returns the answer to a writing call."""
        body = msgspec.json.encode(content) if content is not None else b""
        return await self._call("POST", path, body, CALL_TIMEOUT_S)

    async def _call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> http_client.Response | http_client.RequestFailure:
        answer = await http_client.call(
            self._address, method, target, body, timeout_s
        )
        if isinstance(answer, http_client.Response) and self.eras.outdated(
            answer
        ):
            return http_client.RequestFailure("answer of an older era", True)
        return answer


class ConfigSource:
    """Follows the operator's configuration with watches."""

    def __init__(self, store: Store):
        self._store = store
        self._after: int | None = None
        self._era = 0

    async def next(
        self,
    ) -> route_watch.Found | route_watch.Unchanged | route_watch.Failed:
        """Waits for a configuration newer than the one returned last."""
        if self._era != self._store.eras.era:
            self._after = None
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
        if isinstance(answer, http_client.RequestFailure):
            return route_watch.Failed(answer.reason, False)
        if answer.status != http_site.OK:
            return route_watch.Failed(f"status {answer.status}", True)
        item = msgspec.json.decode(answer.body, type=_KeyAnswer)
        self._after = item.current_rev
        self._era = self._store.eras.era
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
        if isinstance(answer, http_client.RequestFailure):
            return route_watch.Failed(answer.reason, False)
        # Revisions of another era say nothing of what has changed since.
        if answer.status == _GONE or self._era != self._store.eras.era:
            self._after = None
            return route_watch.Unchanged()
        if answer.status != http_site.OK:
            return route_watch.Failed(f"status {answer.status}", True)
        watched = msgspec.json.decode(answer.body, type=_WatchAnswer)
        self._after = max(after, watched.current_rev)
        values = [
            event.value
            for event in watched.events
            if event.key == _CONFIG_KEY and not event.deleted
        ]
        return _found(values[-1]) if values else route_watch.Unchanged()


class ContactStore:
    """Contact keys of this system in the store."""

    def __init__(self, store: Store):
        self._store = store
        self._lease: int | None = None
        self._lease_era = 0
        self._written: contact_keys.Contact | None = None

    @property
    def lost(self) -> bool:
        """Whether the store has come back without what was written."""
        held = self._lease is not None
        return held and self._lease_era != self._store.eras.era

    async def hold(
        self, identifier: str, contact: contact_keys.Contact, lease_s: float
    ) -> contact_keys.Failed | None:
        """Renews the lease of a holder's key, or takes both anew.

        A call without an answer may have been executed; the key is then there
        with a lease that nobody renews, and the next call writes it again.
        """
        if self.lost:
            self._lease = None
        if self._lease is not None:
            renewed = await self._store.post(f"/kv-keep/{self._lease}")
            if isinstance(renewed, http_client.RequestFailure):
                return contact_keys.Failed(renewed.reason)
            # In another era the number may be that of somebody else's lease.
            if not _succeeded(renewed) or self.lost:
                self._lease = None
        if self._lease is None:
            self._written = None
            failed = await self._take_lease(lease_s)
            if failed is not None:
                return failed
        if contact == self._written:
            return None
        return await self._write(identifier, contact)

    async def _take_lease(self, lease_s: float) -> contact_keys.Failed | None:
        ttl_ms = int(lease_s * _MS_PER_S)
        leased = await self._store.post("/kv-lease", {"ttl_ms": ttl_ms})
        if (
            isinstance(leased, http_client.RequestFailure)
            or leased.status != http_site.OK
        ):
            return contact_keys.Failed(str(leased))
        try:
            self._lease = msgspec.json.decode(leased.body, type=_Lease).lease
            self._lease_era = self._store.eras.era
        except msgspec.DecodeError as error:
            return contact_keys.Failed(f"malformed answer: {error}")
        return None

    async def _write(
        self, identifier: str, contact: contact_keys.Contact
    ) -> contact_keys.Failed | None:
        text = " ".join(
            (
                contact.address,
                str(contact.sides),
                *(f"{host}:{port}" for host, port in contact.named),
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
        self._written = contact
        return None

    async def find(
        self,
    ) -> tuple[contact_keys.Contact, ...] | contact_keys.Failed:
        """Returns what the keys say, in the order of writing, no garbage."""
        answer = await self._store.get(
            "/kv-range", CALL_TIMEOUT_S, prefix=CONTACT_PREFIX, allow_stale=1
        )
        if (
            isinstance(answer, http_client.RequestFailure)
            or answer.status != http_site.OK
        ):
            return contact_keys.Failed(str(answer))
        try:
            items = msgspec.json.decode(answer.body, type=_Range).items
        except msgspec.DecodeError as error:
            return contact_keys.Failed(f"malformed answer: {error}")
        found = []
        for item in sorted(items, key=lambda item: item.revision):
            try:
                found.append(_contact(item.value))
            except ValueError:
                loguru.logger.bind(key=item.key).warning(
                    "contact key can't be read"
                )
        return tuple(found)


def _contact(value: str) -> contact_keys.Contact:
    """Returns what the value of a contact key says.

    Raises:
        ValueError: It is none.
    """
    text = base64.b64decode(value, validate=True).decode()
    address, sides, *named = text.split(" ")
    return contact_keys.Contact(
        str(ipaddress.IPv4Address(address)),
        max(0, int(sides)),
        tuple(_endpoint(one) for one in named),
    )


def _endpoint(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    number = int(port)
    if not 0 < number <= _MAX_PORT:
        raise ValueError(f"{text!r} has no valid port")
    return str(ipaddress.IPv4Address(host)), number


def _succeeded(
    answer: http_client.Response | http_client.RequestFailure,
) -> bool:
    return (
        isinstance(answer, http_client.Response)
        and answer.status == http_site.OK
    )


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
