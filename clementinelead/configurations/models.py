"""Schema of the configuration as stored."""

import collections.abc
import functools
import ipaddress
import math
import operator
import typing

import pydantic

from clementinelead.packets import headers

__all__ = [
    "POLICIES",
    "Author",
    "Configuration",
    "Drain",
    "Entry",
    "Evacuation",
    "Head",
    "Service",
    "Share",
]

POLICIES = ("hunting", "weighted-hash", "plain-hash")
"""Placement policies of a service.

With ``hunting`` a new flow is offered to one target after the other until one
accepts it.
"""

MAX_PORT = 65_535
MAX_WEIGHT = 1_000_000

Name = typing.Annotated[
    str, pydantic.StringConstraints(pattern=r"^[a-z0-9][a-z0-9.-]{0,62}$")
]


def _check_address(text: str) -> str:
    ipaddress.IPv4Address(text)
    return text


def _check_endpoint(text: str) -> str:
    address, _, port = text.rpartition(":")
    _check_address(address)
    if not port.isdecimal() or not 1 <= int(port) <= MAX_PORT:
        raise ValueError("must end with a port from 1 to 65535")
    return f"{address}:{int(port)}"


def _split_words(value: object) -> object:
    """Splits a value that a sheet or a command line gives as one string."""
    return value.split() if isinstance(value, str) else value


Endpoints = typing.Annotated[
    tuple[typing.Annotated[str, pydantic.AfterValidator(_check_endpoint)], ...],
    pydantic.BeforeValidator(_split_words),
]


class _Frozen(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Share(_Frozen):
    """Share of a service's new flows that a set of targets gets.

    Attributes:
        service: Name of the service that the targets announce.
        weight: Weight relative to the other shares. With 0 the set gets new
            flows only while no other set has targets.
    """

    service: Name
    weight: typing.Annotated[int, pydantic.Field(ge=0, le=MAX_WEIGHT)]

    def __str__(self) -> str:
        return f"{self.service}={self.weight}"

    __repr__ = __str__


def _split_shares(value: object) -> object:
    """Splits shares that a sheet or a command line gives as one string."""
    if not isinstance(value, str):
        return value
    pairs = (text.partition("=") for text in value.split())
    return [{"service": name, "weight": weight} for name, _, weight in pairs]


Shares = typing.Annotated[
    tuple[Share, ...], pydantic.BeforeValidator(_split_shares)
]


class Service(_Frozen):
    """Addresses that callers use, and how flows to them are placed.

    Attributes:
        name: Name of the service, which targets announce.
        team: Team that owns the service.
        address: IPv4 address that callers use.
        port: Port that callers use.
        protocol: ``tcp`` or ``udp``.
        more_addresses: Additional endpoints that callers use, each
            ``address:port``, with the same protocol; in a single string they
            are separated by spaces.
        shares: Sets of targets among which new flows are split by weight; in
            a single string each is ``service=weight``, separated by spaces.
            Without shares, all new flows go to the targets that announce
            this service.
        policy: One of ``POLICIES``.
        candidates: Maximum number of targets that a new flow is offered to.
        buckets: Size of the bucket table, a power of two.
        max_wait_s: Expected wait above which a new flow is refused, seconds.
        tcp_idle_s: Idle timeout of a TCP flow, seconds.
        udp_idle_s: Idle timeout of a UDP flow, seconds.
        slot_hold_s: Time after which an open flow no longer occupies a slot,
            seconds; 0 means that it does until the caller ends it.
        drain_bound_s: Time for which a draining target keeps its flows,
            seconds.
    """

    name: Name
    team: Name
    address: typing.Annotated[str, pydantic.AfterValidator(_check_address)]
    port: typing.Annotated[int, pydantic.Field(ge=1, le=MAX_PORT)]
    protocol: typing.Literal["tcp", "udp"]
    more_addresses: Endpoints = ()
    shares: Shares = ()
    policy: typing.Literal["hunting", "weighted-hash", "plain-hash"] = "hunting"
    candidates: typing.Annotated[int, pydantic.Field(ge=1, le=16)] = 7
    buckets: typing.Literal[64, 256, 1024, 4096] = 256
    max_wait_s: typing.Annotated[float, pydantic.Field(gt=0, le=3600)] = 2.0
    tcp_idle_s: typing.Annotated[float, pydantic.Field(ge=1, le=86400)] = 3600.0
    udp_idle_s: typing.Annotated[float, pydantic.Field(ge=1, le=3600)] = 120.0
    slot_hold_s: typing.Annotated[float, pydantic.Field(ge=0, le=3600)] = 0.0
    drain_bound_s: typing.Annotated[float, pydantic.Field(ge=0, le=604800)] = (
        3600.0
    )

    @pydantic.model_validator(mode="after")
    def _check_duplicate_addresses(self) -> "Service":
        endpoints = self.endpoints
        if len(set(endpoints)) < len(endpoints):
            raise ValueError("an address in more_addresses is duplicated")
        return self

    @pydantic.model_validator(mode="after")
    def _check_shares(self) -> "Service":
        names = [share.service for share in self.shares]
        if len(set(names)) < len(names):
            raise ValueError("a service in shares is duplicated")
        if names and not any(share.weight for share in self.shares):
            raise ValueError("all weights in shares are 0")
        return self

    @property
    def effective_shares(self) -> tuple[Share, ...]:
        """The shares; without any, a single share for the service itself."""
        return self.shares or (Share(service=self.name, weight=1),)

    @property
    def endpoints(self) -> tuple[str, ...]:
        """All endpoints that callers use, each ``address:port``."""
        return (f"{self.address}:{self.port}", *self.more_addresses)

    @functools.cached_property
    def endpoint_by_key(self) -> dict[bytes, str]:
        """Endpoint by key of the destination in packets."""
        pairs = (endpoint.rsplit(":", 1) for endpoint in self.endpoints)
        keys = (
            headers.service_key(address, int(port), self.protocol)
            for address, port in pairs
        )
        return dict(zip(keys, self.endpoints, strict=True))


class Author(_Frozen):
    """Origin of a change.

    Attributes:
        change: Identifier of the change and its idempotency key, chosen by
            the client.
        operator: Name of the operator.
        shift: Name of the shift.
        time: Time of the change, seconds since the Unix epoch.
        reason: Reason that the operator gave, may be empty.
    """

    change: str
    operator: str
    shift: str
    time: float
    reason: str = ""


class Entry(_Frozen):
    """A service with a record of its changes by hand.

    Attributes:
        service: The service.
        by_hand: Author by field of the changes since the last sheet; the
            field ``*`` means that the service was added by hand.
        ends_at: Time after which the open flows of a removed service may be
            closed, seconds since the Unix epoch; None while the service is
            in force.
    """

    service: Service
    by_hand: dict[str, Author] = {}
    ends_at: float | None = None


class Drain(_Frozen):
    """Drain of a target: it gets no new flows and keeps its open ones.

    Attributes:
        target: Identifier of the target.
        bound_s: Time for which it keeps its flows, seconds; None for the
            longest ``drain_bound_s`` of its services.
        author: Author of the drain.
    """

    target: str
    bound_s: float | None
    author: Author

    def effective_bound_s(
        self, services: collections.abc.Iterable[Service]
    ) -> float:
        """Returns how long the target keeps its flows, seconds.

        Without a bound and without services the time is unlimited.

        Args:
            services: Services that the target serves.

        Returns:
            The time in seconds, infinite if it is unlimited.
        """
        if self.bound_s is not None:
            return self.bound_s
        bounds = (service.drain_bound_s for service in services)
        return max(bounds, default=math.inf)


class Evacuation(_Frozen):
    """Evacuation of an availability zone: its targets get no new flows.

    Attributes:
        zone: Name of the zone.
        author: Author of the evacuation.
    """

    zone: Name
    author: Author


Evacuations = typing.Annotated[
    dict[str, Evacuation], pydantic.Field(exclude_if=operator.not_)
]
"""Evacuation by zone; omitted if empty, which older versions can read."""


class Head(_Frozen):
    """The only record that changes, by compare-and-swap.

    It is kept small, as every change rewrites it and watchers read it.

    Attributes:
        schema_version: Version of this schema.
        revision: Number that increases by one with each change.
        index: Digest of the ``Index``, empty before the first change.
        patch: Digest of the ``Patch`` from the previous revision, empty if
            the change was too large for one.
        author: Author of the change that produced this revision.
    """

    schema_version: typing.Literal[1] = 1
    revision: int = 0
    index: str = ""
    patch: str = ""
    author: Author | None = None


class Garbage(_Frozen):
    """A value that the head no longer refers to, to be deleted later.

    Attributes:
        digest: Digest of the value.
        revision: Revision that replaced the value.
    """

    digest: str
    revision: int


class Index(_Frozen):
    """References to all values of a revision.

    Attributes:
        chunks: Digest by chunk number of the services in force and of removed
            services whose open flows may continue.
        sheet: Digest by chunk number of the sheet last applied.
        drains: Drain by identifier of the target.
        removed: Author by name of the services removed by hand since the last
            sheet.
        recent: Revision by identifier of the latest changes, oldest first.
        garbage: Replaced values that are not yet deleted, oldest first.
        evacuations: Evacuation by name of the zone.
    """

    chunks: dict[int, str] = {}
    sheet: dict[int, str] = {}
    drains: dict[str, Drain] = {}
    removed: dict[str, Author] = {}
    recent: dict[str, int] = {}
    garbage: tuple[Garbage, ...] = ()
    evacuations: Evacuations = {}


class Patch(_Frozen):
    """Difference between two consecutive revisions.

    Attributes:
        revision: Revision that the patch leads to, from the previous one.
        previous: Digest of the patch before it, empty if there is none.
        entries: New entry by name, None for a service that was removed.
        drains: All drains after the change, by identifier of the target.
        author: Author of the change.
        evacuations: All evacuations after the change, by name of the zone.
    """

    revision: int
    previous: str
    entries: dict[str, Entry | None]
    drains: dict[str, Drain]
    author: Author
    evacuations: Evacuations = {}


class Chunk(_Frozen):
    """Entries that are stored as one value.

    Attributes:
        revision: Revision that wrote the chunk. It makes the content, and so
            the digest, unique: a value that awaits deletion is never written
            again.
        entries: Entry by name.
    """

    revision: int
    entries: dict[str, Entry]


class Configuration(_Frozen):
    """The full configuration of one revision.

    Attributes:
        head: Head that refers to the configuration.
        index: Index of the stored values.
        entry_by_name: Services in force.
        ending_by_name: Removed services whose open flows may continue.
        sheet_by_name: Services of the sheet last applied.
    """

    head: Head = Head()
    index: Index = Index()
    entry_by_name: dict[str, Entry] = {}
    ending_by_name: dict[str, Entry] = {}
    sheet_by_name: dict[str, Entry] = {}

    @property
    def stored_by_name(self) -> dict[str, Entry]:
        """Services in force, and removed ones whose flows may continue."""
        return {**self.ending_by_name, **self.entry_by_name}

    @property
    def revision(self) -> int:
        """Revision of the head, 0 before the first change."""
        return self.head.revision
