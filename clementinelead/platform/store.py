"""Client of the platform's metadata store, and contact keys in it."""

import base64
import ipaddress
import urllib.parse

import loguru
import msgspec

from clementinelead import decoding
from clementinelead.platform import items
from clementinelead.platform import store_eras
from clementinelead.processes import contact_keys
from clementinelead.processes import http_client
from clementinelead.processes import http_site

__all__ = ["CALL_TIMEOUT_S", "ContactStore", "StoreClient"]

CALL_TIMEOUT_S = 1.5
"""Timeout of a call; the store answers in milliseconds unless it is faulty."""

CONTACT_PREFIX = "clementinelead/contacts/"

_MAX_PORT = 65_535
_MS_PER_S = 1000


class _Lease(msgspec.Struct):
    lease: int


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
            self._lease = decoding.decode_json(leased.body, _Lease).lease
            self._lease_era = self._store.era_tracker.era
        except ValueError as error:
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
            page = decoding.decode_json(answer.body, items.Page)
        except ValueError as error:
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
