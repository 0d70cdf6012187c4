"""Routes: which services receive the flows to an address."""

import typing

import msgspec
import xxhash

from clementinelead.relays import frames

__all__ = [
    "EMPTY",
    "LOWEST_PRIORITY",
    "Route",
    "RoutingTable",
    "Share",
    "WarmupRate",
]

DEFAULT_OBJECTIVE_MS = 200
"""Latency objective of a route that names none, milliseconds."""

DEFAULT_TIMEOUT_MS = 1_000
"""Time budget of a route that names none, milliseconds."""

MAX_MS = 2**32 - 1
"""Longest time that datagrams between processes can carry, milliseconds."""

MAX_WEIGHT = 2**31 - 1
"""Largest relative share of a service."""

LOWEST_PRIORITY = 255
"""Priority of a route that names none or one that can't be used."""

_SPLIT_SEED = 0x53

_Milliseconds = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_MS)]


class Share(msgspec.Struct, frozen=True):
    """A service's share of the new flows of a route.

    Attributes:
        service: Name of the service.
        weight: Relative share, not negative.
    """

    service: str
    weight: typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_WEIGHT)]


class Route(msgspec.Struct, frozen=True):
    """Distribution of the flows to one address over services.

    Attributes:
        name: Name of the route, for logs.
        address: The address as encoded in the packet format's flow keys.
        shares: Services that receive the new flows, at least one.
        objective_ms: Latency objective of its requests, milliseconds.
        timeout_ms: Time after which a caller gives up, milliseconds.
        priority: Rank among the routes that compete for targets; 0 is served
            first.
        idempotent: Whether its requests may be executed more than once.
    """

    name: str
    address: bytes
    shares: tuple[Share, ...]
    objective_ms: _Milliseconds = DEFAULT_OBJECTIVE_MS
    timeout_ms: _Milliseconds = DEFAULT_TIMEOUT_MS
    priority: typing.Annotated[int, msgspec.Meta(ge=0, le=LOWEST_PRIORITY)] = (
        LOWEST_PRIORITY
    )
    idempotent: bool = False

    def select_service(self, key: bytes) -> str:
        """Returns the service of a new flow, the same at all balancers.

        The flow's hash selects it by weight, so a change of weights moves no
        more new flows than necessary.

        Args:
            key: Flow key.

        Examples:
            >>> shares = (Share("a", 0), Share("b", 10))
            >>> Route("r", b"address", shares).select_service(b"any flow")
            'b'
        """
        total = sum(share.weight for share in self.shares)
        if total <= 0 or len(self.shares) == 1:
            return self.shares[0].service
        remainder = xxhash.xxh3_64_intdigest(key, seed=_SPLIT_SEED) % total
        for share in self.shares:
            remainder -= share.weight
            if remainder < 0:
                return share.service
        raise AssertionError("remainder is not below the sum of the weights")


class WarmupRate(msgspec.Struct, frozen=True):
    """Rate of new flows that a target of a service bears while it is cold.

    Attributes:
        service: Name of the service.
        flows_per_s: The rate, positive.
    """

    service: str
    flows_per_s: float


class RoutingTable(msgspec.Struct, frozen=True):
    """All routes of one version of the configuration.

    Attributes:
        version: Version of the configuration; 0 before the first one.
        routes: The routes, one per address.
        idle_timeout_s: Time after which an idle flow may be dropped, seconds.
        warmup_rates: Rates of the services that have one.
    """

    version: int
    routes: tuple[Route, ...]
    idle_timeout_s: float
    warmup_rates: tuple[WarmupRate, ...] = ()

    @property
    def by_address(self) -> dict[bytes, Route]:
        """The routes, keyed by their encoded address."""
        return {route.address: route for route in self.routes}

    def warmup_flows_per_s(self, service: str) -> float:
        """Returns the rate of a service while a target is cold, 0 for none.

        Args:
            service: Name of the service.
        """
        for rate in self.warmup_rates:
            if rate.service == service:
                return rate.flows_per_s
        return 0.0

    def priorities(self, service: str) -> tuple[int, ...]:
        """Returns the priorities of the routes that name a service, ascending.

        Args:
            service: Name of the service.
        """
        found = {
            route.priority
            for route in self.routes
            if any(share.service == service for share in route.shares)
        }
        return tuple(sorted(found))

    @property
    def priorities_by_service(self) -> dict[str, set[int]]:
        """The priorities of the routes that name a service, by service."""
        priorities_by_service: dict[str, set[int]] = {}
        for route in self.routes:
            for share in route.shares:
                found = priorities_by_service.setdefault(share.service, set())
                found.add(route.priority)
        return priorities_by_service

    @property
    def service_by_number(self) -> dict[int, str]:
        """The names of all services, keyed by their numbers in datagrams."""
        names = {
            share.service for route in self.routes for share in route.shares
        }
        return {frames.service_number(name): name for name in names}


DEFAULT_IDLE_TIMEOUT_S = 60.0
EMPTY = RoutingTable(0, (), DEFAULT_IDLE_TIMEOUT_S)
