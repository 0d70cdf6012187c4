"""Schema of the configuration, as the store holds it."""

import collections.abc
import functools
import ipaddress
import math
import typing

import pydantic

from clementinelead.packets import headers

__all__ = [
    "POLICIES",
    "Author",
    "Configuration",
    "Drain",
    "Entry",
    "Head",
    "Service",
    "Share",
]

POLICIES = ("hunting", "weighted-hash", "plain-hash")
"""Placement policies: ``hunting`` passes a flow on until a target accepts."""

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


def _split(value: object) -> object:
    """Splits what a sheet or a command line gives as one text."""
    return value.split() if isinstance(value, str) else value


Endpoints = typing.Annotated[
    tuple[typing.Annotated[str, pydantic.AfterValidator(_check_endpoint)], ...],
    pydantic.BeforeValidator(_split),
]


class _Frozen(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Share(_Frozen):
    """Which part of a service's new flows a set of targets gets.

    Attributes:
        service: Service that the targets announce.
        weight: Relative share; 0 for new flows only while no other set has
            targets.
    """

    service: Name
    weight: typing.Annotated[int, pydantic.Field(ge=0, le=MAX_WEIGHT)]

    def __str__(self) -> str:
        return f"{self.service}={self.weight}"

    __repr__ = __str__


def _split_shares(value: object) -> object:
    """Splits shares that a sheet or a command line gives as one text."""
    if not isinstance(value, str):
        return value
    pairs = (text.partition("=") for text in value.split())
    return [{"service": name, "weight": weight} for name, _, weight in pairs]


Shares = typing.Annotated[
    tuple[Share, ...], pydantic.BeforeValidator(_split_shares)
]


class Service(_Frozen):
    """A set of targets behind its addresses, and how work is spread.

    Attributes:
        name: Name, which targets announce.
        team: Team that owns the service.
        address: IPv4 address that callers use.
        port: Port that callers use.
        protocol: ``tcp`` or ``udp``.
        more_addresses: Further ones that callers use, each ``address:port``,
            with the same protocol; as one text they are separated by spaces.
        shares: Sets of targets that share the new flows, by weight; as one
            text ``service=weight``, separated by spaces. Without any, the
            targets that announce this service get all.
        policy: One of ``POLICIES``.
        candidates: Targets that a new flow may be offered to.
        buckets: Size of the bucket table, a power of two.
        max_wait_s: Expected wait above which a new flow is refused, seconds.
        tcp_idle_s: Idle time after which a TCP flow is forgotten, seconds.
        udp_idle_s: The same for UDP, seconds.
        slot_hold_s: Time after which an open flow no longer counts as work,
            seconds; 0 means that it counts until the caller ends it.
        drain_bound_s: Time that a draining target keeps flows, seconds.
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
    def _check_repeated(self) -> "Service":
        endpoints = self.endpoints
        if len(set(endpoints)) < len(endpoints):
            raise ValueError("an address stands twice in more_addresses")
        return self

    @pydantic.model_validator(mode="after")
    def _check_shares(self) -> "Service":
        names = [share.service for share in self.shares]
        if len(set(names)) < len(names):
            raise ValueError("a service stands twice in shares")
        if names and not any(share.weight for share in self.shares):
            raise ValueError("all shares are 0")
        return self

    @property
    def effective_shares(self) -> tuple[Share, ...]:
        """The sets of targets with their shares, at least one."""
        return self.shares or (Share(service=self.name, weight=1),)

    @property
    def endpoints(self) -> tuple[str, ...]:
        """All addresses that callers use, each ``address:port``."""
        return (f"{self.address}:{self.port}", *self.more_addresses)

    @functools.cached_property
    def endpoint_by_key(self) -> dict[bytes, str]:
        """All addresses by the destination that packets carry."""
        pairs = (endpoint.rsplit(":", 1) for endpoint in self.endpoints)
        keys = (
            headers.service_key(address, int(port), self.protocol)
            for address, port in pairs
        )
        return dict(zip(keys, self.endpoints, strict=True))


class Author(_Frozen):
    """Who made a change, when and why.

    Attributes:
        change: Identifier of the change, made by the caller.
        operator: Name of the operator.
        shift: Name of the shift.
        time: Time of the change, seconds since 1970.
        reason: Reason that the operator gave.
    """

    change: str
    operator: str
    shift: str
    time: float
    reason: str = ""


class Entry(_Frozen):
    """A service, and which fields were changed by hand.

    Attributes:
        service: The service.
        ends_at: Time after which a removed service's open flows may be cut,
            seconds since 1970; None while it is in force.
        by_hand: Author by field changed since the last sheet; the field
            ``*`` stands for a service that was added by hand.
    """

    service: Service
    by_hand: dict[str, Author] = {}
    ends_at: float | None = None


class Drain(_Frozen):
    """A target that is leaving.

    Attributes:
        target: Identifier of the target.
        bound_s: Time that it keeps its flows, seconds; None for the longest
            ``drain_bound_s`` of its services.
        author: Who drains it.
    """

    target: str
    bound_s: float | None
    author: Author

    def effective_bound_s(
        self, services: collections.abc.Iterable[Service]
    ) -> float:
        """Returns how long the target keeps its flows, seconds.

        Without a bound or a service it keeps them to their end.

        Args:
            services: Services that the target serves.
        """
        if self.bound_s is not None:
            return self.bound_s
        bounds = (service.drain_bound_s for service in services)
        return max(bounds, default=math.inf)


class Head(_Frozen):
    """The one record that changes by compare-and-swap; small on purpose.

    Attributes:
        schema_version: Version of this schema.
        revision: Raised by one with each change.
        index: Digest of the ``Index``, empty before the first change.
        patch: Digest of the ``Patch`` from the revision before, empty if the
            change was too large for one.
        author: Author of the change that led to this revision.
    """

    schema_version: typing.Literal[1] = 1
    revision: int = 0
    index: str = ""
    patch: str = ""
    author: Author | None = None


class Garbage(_Frozen):
    """A value that no head names any more.

    Attributes:
        digest: Its digest.
        revision: Revision that replaced it.
    """

    digest: str
    revision: int


class Index(_Frozen):
    """Where everything is.

    Attributes:
        chunks: Digest by chunk number of the entries in force or ending.
        sheet: Digest by chunk number of the sheet last applied.
        drains: Targets that are leaving, by identifier.
        removed: Author by name of the services removed by hand since the last
            sheet.
        recent: Revision by identifier of the latest changes, oldest first.
        garbage: Replaced values that are not yet deleted, oldest first.
    """

    chunks: dict[int, str] = {}
    sheet: dict[int, str] = {}
    drains: dict[str, Drain] = {}
    removed: dict[str, Author] = {}
    recent: dict[str, int] = {}
    garbage: tuple[Garbage, ...] = ()


class Patch(_Frozen):
    """What one change did to the services and drains.

    Attributes:
        revision: Revision that it leads to, from the one before.
        previous: Digest of the patch before it, empty if none.
        entries: Entry by name, None for a service that was removed.
        drains: All targets that are leaving afterwards.
        author: Who made the change.
    """

    revision: int
    previous: str
    entries: dict[str, Entry | None]
    drains: dict[str, Drain]
    author: Author


class Chunk(_Frozen):
    """Entries that are stored together.

    Attributes:
        revision: Revision that wrote it, so that no two writes are alike.
        entries: Entry by name.
    """

    revision: int
    entries: dict[str, Entry]


class Configuration(_Frozen):
    """A whole configuration.

    Attributes:
        head: Its head.
        index: Its index.
        entry_by_name: Its services in force.
        ending_by_name: Removed services whose open flows go on.
        sheet_by_name: The services of the sheet last applied.
    """

    head: Head = Head()
    index: Index = Index()
    entry_by_name: dict[str, Entry] = {}
    ending_by_name: dict[str, Entry] = {}
    sheet_by_name: dict[str, Entry] = {}

    @property
    def stored_by_name(self) -> dict[str, Entry]:
        """All services that the store holds."""
        return {**self.ending_by_name, **self.entry_by_name}

    @property
    def revision(self) -> int:
        """Its revision."""
        return self.head.revision
