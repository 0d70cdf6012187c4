"""Decoder of the operator's configuration into a routing table."""

import collections.abc
import typing

import loguru
import msgspec

from clementinelead import decoding
from clementinelead.platform import packets
from clementinelead.relays import routes

__all__ = ["decode"]

_MS_PER_S = 1000.0

_MAX_WARMUP_PER_S = 1e6
"""Highest rate that is accepted, requests a second; more is no limit."""


_IDEMPOTENT_TYPES = frozenset({"idempotent", "download"})
"""Types of routes whose requests may be executed more than once."""

_Milliseconds = typing.Annotated[float, msgspec.Meta(le=routes.MAX_MS)]


class _Share(msgspec.Struct):
    service: str
    weight: typing.Annotated[int, msgspec.Meta(le=routes.MAX_WEIGHT)]


class _Route(msgspec.Struct):
    name: str
    host: str  # IPv4 address of the service
    prefix: str  # port of the service, as in ``/443/``
    target_latency_ms: _Milliseconds = routes.DEFAULT_OBJECTIVE_MS
    timeout_ms: _Milliseconds = routes.DEFAULT_TIMEOUT_MS
    priority: object = None  # 0 is the highest
    type: object = None  # kind of its requests
    service: str = ""
    backends: list[
        _Share
    ] = []  # weighted split; replaces ``service`` if not empty


class _Limits(msgspec.Struct):
    idle_timeout_ms: _Milliseconds = routes.DEFAULT_IDLE_TIMEOUT_S * _MS_PER_S


class _Service(msgspec.Struct):
    name: str
    # Requests a second that a cold target bears; 0 for no limit.
    warmup_per_s: float = 0.0


class _Config(msgspec.Struct):
    version: decoding.Count
    routes: list[_Route]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    # Decoded one by one, so that a malformed one does not affect the others.
    services: list[msgspec.Raw] = []


def decode(data: bytes) -> routes.RoutingTable:
    """Returns the routing table that a configuration defines.

    Unknown fields are ignored. Latencies and timeouts below 1 ms count as
    1 ms, negative weights and idle timeouts as 0.

    Args:
        data: JSON document from the operator's key in the store.

    Raises:
        ValueError: The document is not valid JSON, is nested too deeply, lacks
            a field, or has a field of another type, a number out of range or
            an address that can't be used.
    """
    config = decoding.decode_json(data, _Config)
    return routes.RoutingTable(
        version=config.version,
        routes=tuple(_converted(route) for route in config.routes),
        idle_timeout_s=max(0.0, config.limits.idle_timeout_ms) / _MS_PER_S,
        warmup_rates=tuple(_warmup_rates(config.services)),
    )


def _warmup_rates(
    services: list[msgspec.Raw],
) -> collections.abc.Iterator[routes.WarmupRate]:
    """Yields the rates of services that have one; logs malformed ones."""
    for position, content in enumerate(services):
        try:
            service = decoding.decode_json(content, _Service)
            rate = service.warmup_per_s
            if not 0 <= rate <= _MAX_WARMUP_PER_S:
                raise ValueError(f"warmup_per_s {rate} is out of range")
        except ValueError as error:
            loguru.logger.bind(
                place=f"services[{position}]", reason=str(error)
            ).warning("warm-up rate ignored")
            continue
        if rate > 0:
            yield routes.WarmupRate(service.name, rate)


def _converted(route: _Route) -> routes.Route:
    """Returns a route in the form that the relays use.

    Raises:
        ValueError: The address or port can't be used.
    """
    port = route.prefix.strip("/")
    if not port.isdecimal():
        raise ValueError(
            f"route {route.name}: prefix {route.prefix!r} is not a port number"
        )
    shares = tuple(
        routes.Share(share.service, max(0, share.weight))
        for share in route.backends
    )
    if not shares:
        shares = (routes.Share(route.service, 1),)
    address = packets.address_bytes(route.host, int(port))
    return routes.Route(
        name=route.name,
        address=address,
        shares=shares,
        objective_ms=max(1, int(route.target_latency_ms)),
        timeout_ms=max(1, int(route.timeout_ms)),
        priority=_priority(route),
        idempotent=isinstance(route.type, str)
        and route.type in _IDEMPOTENT_TYPES,
    )


def _priority(route: _Route) -> int:
    """Returns the priority of a route; logs one that can't be used.

    A number above the lowest priority counts as the lowest.
    """
    priority = route.priority
    if priority is None:
        return routes.LOWEST_PRIORITY
    if type(priority) is not int or priority < 0:
        loguru.logger.bind(
            place=f"route {route.name}",
            reason=f"priority {str(priority)[:40]!r} is not a whole number",
        ).warning("priority ignored")
        return routes.LOWEST_PRIORITY
    return min(priority, routes.LOWEST_PRIORITY)
