"""Decoder of the operator's configuration into a routing table."""

import collections.abc
import ipaddress
import typing

import loguru
import msgspec

from clementinelead import decoding
from clementinelead.platform import packets
from clementinelead.relays import routes

__all__ = ["Examination", "Fault", "decode", "examine"]

_MS_PER_S = 1000.0

_MAX_WARMUP_PER_S = 1e6
"""Highest rate that is accepted, requests a second; more is no limit."""

_IDEMPOTENT_TYPES = frozenset({"idempotent", "download"})
"""Types of routes whose requests may be executed more than once."""

_Milliseconds = typing.Annotated[float, msgspec.Meta(le=routes.MAX_MS)]


class Fault(msgspec.Struct, frozen=True):
    """A part of a document that is rejected, ignored or replaced.

    Attributes:
        place: Its place, such as ``routes[3].priority``; ``document`` if it
            is not known.
        name: Name of its route or service, empty if it is not known.
        reason: What is wrong, and what balancers use instead.
    """

    place: str
    name: str
    reason: str


class Examination(msgspec.Struct, frozen=True):
    """What balancers make of a document.

    Attributes:
        table: Its routes, None if balancers reject the document.
        services: Names of its services in the order of the document, empty
            for those without one.
        rejected: Parts for which balancers reject the document.
        ignored: Parts that have no effect, or another one.
    """

    table: routes.RoutingTable | None
    services: tuple[str, ...]
    rejected: tuple[Fault, ...] = ()
    ignored: tuple[Fault, ...] = ()


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


class _Named(msgspec.Struct):
    name: str = ""


class _Outline(msgspec.Struct):
    routes: list[msgspec.Raw]


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
    services = _services(config.services)
    table = _table(config, services)
    for route in config.routes:
        reason = _priority_fault(route)
        if reason:
            loguru.logger.bind(
                place=f"route {route.name}", reason=reason
            ).warning("priority ignored")
    for service in services:
        if isinstance(service, Fault):
            loguru.logger.bind(
                place=service.place, reason=service.reason
            ).warning("warm-up rate ignored")
    return table


def examine(data: bytes) -> Examination:
    """Returns what ``decode`` makes of a document, with all faults.

    Logs nothing. If a field has another type than it must have, only the
    faults of routes are complete.

    Args:
        data: JSON document.

    Raises:
        ValueError: The document is not valid JSON or is nested too deeply.
    """
    try:
        config = decoding.decode_json(data, _Config)
    except msgspec.ValidationError as error:
        return Examination(None, (), tuple(_rejected_parts(data, str(error))))
    rejected: list[Fault] = []
    ignored: list[Fault] = []
    for position, route in enumerate(config.routes):
        rejected += _address_faults(position, route)
        ignored += _replaced_values(position, route)
    services = _services(config.services)
    ignored += [
        _located(entry.place, entry.name, f"no warm-up limit: {entry.reason}")
        for entry in services
        if isinstance(entry, Fault)
    ]
    return Examination(
        None if rejected else _table(config, services),
        tuple(service.name for service in services),
        tuple(rejected),
        tuple(ignored),
    )


def _rejected_parts(
    data: bytes, message: str
) -> collections.abc.Iterator[Fault]:
    """Yields the faults of a document with a field of another type.

    The decoder of a document stops at the first fault, so the routes are
    decoded one by one.

    Args:
        data: The document.
        message: The first fault.
    """
    try:
        contents = decoding.decode_json(data, _Outline).routes
    except msgspec.ValidationError:
        contents = []
    in_routes = False
    for position, content in enumerate(contents):
        try:
            route = decoding.decode_json(content, _Route)
        except ValueError as error:
            in_routes = True
            yield _located(f"routes[{position}]", _name(content), str(error))
        else:
            yield from _address_faults(position, route)
    if not in_routes or "`$.routes" not in message:
        yield _located("", "", message)


def _located(parent: str, name: str, message: str) -> Fault:
    """Returns a fault with the place that the decoder's message ends with.

    Args:
        parent: Place of the decoded part, empty for the document.
        name: Name of its route or service.
        message: Message, such as ``Expected `str`, got `int` - at `$.host```.
    """
    reason, _, path = message.partition(" - at `$")
    place = f"{parent}{path.rstrip('`')}".lstrip(".")
    return Fault(place or "document", name, reason)


def _name(content: msgspec.Raw) -> str:
    """Returns the name in a malformed route or service, empty for none."""
    try:
        return decoding.decode_json(content, _Named).name
    except ValueError:
        return ""


def _address_faults(
    position: int, route: _Route
) -> collections.abc.Iterator[Fault]:
    """Yields the fault of a route whose address can't be used."""
    place = f"routes[{position}]"
    try:
        _address(route)
    except ipaddress.AddressValueError as error:
        yield Fault(f"{place}.host", route.name, str(error))
    except ValueError as error:
        yield Fault(f"{place}.prefix", route.name, str(error))


def _replaced_values(
    position: int, route: _Route
) -> collections.abc.Iterator[Fault]:
    """Yields the values of a route for which balancers use others."""
    place = f"routes[{position}]"
    priority_fault = _priority_fault(route)
    if priority_fault:
        reason = f"{priority_fault}; counts as {routes.LOWEST_PRIORITY}"
        yield Fault(f"{place}.priority", route.name, reason)
    elif route.priority is not None and route.priority != _priority(route):
        reason = f"priority {route.priority} counts as {_priority(route)}"
        yield Fault(f"{place}.priority", route.name, reason)
    for field, milliseconds in (
        ("target_latency_ms", route.target_latency_ms),
        ("timeout_ms", route.timeout_ms),
    ):
        if milliseconds < 1:
            reason = f"{milliseconds:g} ms counts as 1 ms"
            yield Fault(f"{place}.{field}", route.name, reason)
    if any(share.weight < 0 for share in route.backends):
        reason = "a negative weight counts as 0"
        yield Fault(f"{place}.backends", route.name, reason)


def _table(
    config: _Config, services: list[_Service | Fault]
) -> routes.RoutingTable:
    """Returns the routing table of a configuration.

    Raises:
        ValueError: The address or port of a route can't be used.
    """
    return routes.RoutingTable(
        version=config.version,
        routes=tuple(_converted(route) for route in config.routes),
        idle_timeout_s=max(0.0, config.limits.idle_timeout_ms) / _MS_PER_S,
        warmup_rates=tuple(
            routes.WarmupRate(service.name, service.warmup_per_s)
            for service in services
            if isinstance(service, _Service) and service.warmup_per_s > 0
        ),
    )


def _services(contents: list[msgspec.Raw]) -> list[_Service | Fault]:
    """Returns the services, with a fault in place of each malformed one."""
    services: list[_Service | Fault] = []
    for position, content in enumerate(contents):
        try:
            service = decoding.decode_json(content, _Service)
            rate = service.warmup_per_s
            if not 0 <= rate <= _MAX_WARMUP_PER_S:
                raise ValueError(f"warmup_per_s {rate} is out of range")
        except ValueError as error:
            place = f"services[{position}]"
            services.append(Fault(place, _name(content), str(error)))
        else:
            services.append(service)
    return services


def _address(route: _Route) -> bytes:
    """Returns the address of a route as in flow keys.

    Raises:
        ValueError: The address or port can't be used.
    """
    port = route.prefix.strip("/")
    if not port.isdecimal():
        raise ValueError(
            f"route {route.name}: prefix {route.prefix!r} is not a port number"
        )
    return packets.address_bytes(route.host, int(port))


def _converted(route: _Route) -> routes.Route:
    """Returns a route in the form that the relays use.

    Raises:
        ValueError: The address or port can't be used.
    """
    address = _address(route)
    shares = tuple(
        routes.Share(share.service, max(0, share.weight))
        for share in route.backends
    )
    if not shares:
        shares = (routes.Share(route.service, 1),)
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
    """Returns the priority of a route, the lowest if it can't be used.

    A number above the lowest priority counts as the lowest.
    """
    priority = route.priority
    if type(priority) is not int or priority < 0:
        return routes.LOWEST_PRIORITY
    return min(priority, routes.LOWEST_PRIORITY)


def _priority_fault(route: _Route) -> str:
    """Returns why a priority can't be used, empty if it can or is missing."""
    priority = route.priority
    if priority is None or (type(priority) is int and priority >= 0):
        return ""
    return f"priority {str(priority)[:40]!r} is not a whole number"
