"""The operator's configuration, translated into the product's routes."""

import msgspec

from clementinelead.platform import packets
from clementinelead.relays import routes

__all__ = ["decode"]

_MS_PER_S = 1000.0


class _Share(msgspec.Struct):
    service: str
    weight: int


class _Route(msgspec.Struct):
    name: str
    host: str  # address of the service, as text
    prefix: str  # its port, between slashes
    target_latency_ms: float = routes.DEFAULT_OBJECTIVE_MS
    timeout_ms: float = routes.DEFAULT_TIMEOUT_MS
    service: str = ""
    backends: list[_Share] = []  # a split, in place of ``service``


class _Limits(msgspec.Struct):
    idle_timeout_ms: float = routes.DEFAULT_IDLE_TIMEOUT_S * _MS_PER_S


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    limits: _Limits = msgspec.field(default_factory=_Limits)


def decode(data: bytes) -> routes.RoutingTable:
    """Returns the routes of a configuration.

    Args:
        data: Content of the operator's key.

    Raises:
        ValueError: It is no configuration.
    """
    config = msgspec.json.decode(data, type=_Config)
    return routes.RoutingTable(
        version=config.version,
        routes=tuple(_route(route) for route in config.routes),
        idle_timeout_s=config.limits.idle_timeout_ms / _MS_PER_S,
    )


def _route(route: _Route) -> routes.Route:
    port = route.prefix.strip("/")
    if not port.isdecimal():
        raise ValueError(f"route {route.name}: {route.prefix!r} is no port")
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
    )
