"""Checks of a routing table before it is in force.

Finds what balancers accept but an operator can hardly want, in time linear in
the number of routes.
"""

import collections.abc
import dataclasses
import enum

from clementinelead.relays import routes
from clementinelead.relays import warmup_limit

__all__ = [
    "Attribute",
    "Finding",
    "Place",
    "Severity",
    "check",
    "check_succession",
]

MIN_IDLE_TIMEOUT_S = 1.0
"""Shortest idle timeout without a warning, seconds."""

STRICT_WARMUP_BOUND = warmup_limit.WarmupBound(overshoot=1.0, slack=0.0)
"""Bound of a deployment that lets no target exceed its warm-up rate."""

_AddressText = collections.abc.Callable[[bytes], str]


class Severity(enum.Enum):
    """How serious a finding is.

    A table with an error does not do what it says.
    """

    ERROR = "error"
    WARNING = "warning"
    NOTE = "note"


class Attribute(enum.Enum):
    """What a finding is about."""

    ADDRESS = "address"
    SHARES = "shares"
    OBJECTIVE = "objective"
    IDLE_TIMEOUT = "idle timeout"
    WARMUP_RATE = "warm-up rate"
    SERVICES = "services"
    PRIORITIES = "priorities"
    VERSION = "version"


@dataclasses.dataclass(frozen=True)
class Place:
    """Where a finding is.

    Attributes:
        attribute: What it is about.
        position: Index of the route or service, None if it concerns none.
        name: Name of the route or service, empty if it concerns none.
    """

    attribute: Attribute
    position: int | None = None
    name: str = ""


@dataclasses.dataclass(frozen=True)
class Finding:
    """One result of a check.

    Attributes:
        severity: How serious it is.
        place: Where it is.
        text: What is wrong, with the reason.
    """

    severity: Severity
    place: Place
    text: str


_Findings = collections.abc.Iterator[Finding]


def check(
    table: routes.RoutingTable,
    services: collections.abc.Sequence[str],
    address_text: _AddressText,
) -> tuple[Finding, ...]:
    """Returns what is wrong or remarkable in a routing table.

    Args:
        table: The routes, in the order of the document.
        services: Names of the services that exist, in the order of the
            document; if there are none, the routes may name any.
        address_text: Returns a route's address as text.
    """
    return (
        *_shadowed_routes(table, address_text),
        *_unusable_shares(table, services),
        *_contradicting_limits(table),
        *_blocking_warmup_rates(table, services),
        *_priority_notes(table),
    )


def _shadowed_routes(
    table: routes.RoutingTable, address_text: _AddressText
) -> _Findings:
    """Yields the routes whose address a later route has, too.

    A table has one route for each address, the last one.
    """
    last_by_address = {
        route.address: position for position, route in enumerate(table.routes)
    }
    for position, route in enumerate(table.routes):
        last = last_by_address[route.address]
        if last == position:
            continue
        yield Finding(
            Severity.ERROR,
            Place(Attribute.ADDRESS, position, route.name),
            f"never matches: route {last} ({table.routes[last].name}) has the"
            f" same address {address_text(route.address)}, and the last one"
            " applies",
        )


def _unusable_shares(
    table: routes.RoutingTable, services: collections.abc.Sequence[str]
) -> _Findings:
    """Yields the routes that name unknown services or have no weight."""
    known = frozenset(services)
    if not known:
        yield Finding(
            Severity.NOTE,
            Place(Attribute.SERVICES),
            "no services are listed; the routes' services are not checked",
        )
    for position, route in enumerate(table.routes):
        place = Place(Attribute.SHARES, position, route.name)
        for name in dict.fromkeys(share.service for share in route.shares):
            if known and name not in known:
                text = (
                    f"unknown service {name!r}: new flows find no target"
                    " unless one announces itself for it"
                )
                yield Finding(Severity.ERROR, place, text)
        if all(share.weight == 0 for share in route.shares):
            yield Finding(
                Severity.ERROR,
                place,
                "all weights are 0: all new flows go to the first service,"
                f" {route.shares[0].service!r}",
            )


def _contradicting_limits(table: routes.RoutingTable) -> _Findings:
    """Yields times that contradict each other or are too short."""
    for position, route in enumerate(table.routes):
        if route.objective_ms > route.timeout_ms:
            yield Finding(
                Severity.WARNING,
                Place(Attribute.OBJECTIVE, position, route.name),
                f"the objective of {route.objective_ms} ms is above the time"
                f" budget of {route.timeout_ms} ms: callers give up before",
            )
    if table.idle_timeout_s < MIN_IDLE_TIMEOUT_S:
        yield Finding(
            Severity.WARNING,
            Place(Attribute.IDLE_TIMEOUT),
            f"{table.idle_timeout_s:g} s is below {MIN_IDLE_TIMEOUT_S:g} s:"
            " balancers forget idle flows early and search for them at their"
            " next packet",
        )


def _blocking_warmup_rates(
    table: routes.RoutingTable, services: collections.abc.Sequence[str]
) -> _Findings:
    """Yields the rates at which a cold target gets no flow at all."""
    position_by_name: dict[str, int] = {}
    for position, name in enumerate(services):
        position_by_name.setdefault(name, position)
    for rate in table.warmup_rates:
        if STRICT_WARMUP_BOUND.max_flows(rate.flows_per_s) > 0:
            continue
        yield Finding(
            Severity.WARNING,
            Place(
                Attribute.WARMUP_RATE,
                position_by_name.get(rate.service),
                rate.service,
            ),
            f"{rate.flows_per_s:g} flows/s lets nothing through while a target"
            " warms up, unless the processes' settings allow more",
        )


def _priority_notes(table: routes.RoutingTable) -> _Findings:
    """Yields the services whose routes have different priorities."""
    for service, priorities in table.priorities_by_service.items():
        if len(priorities) == 1:
            continue
        listed = ", ".join(str(priority) for priority in sorted(priorities))
        yield Finding(
            Severity.NOTE,
            Place(Attribute.PRIORITIES, name=service),
            f"its routes have priorities {listed}: requests wait beside its"
            " targets and are served by priority",
        )


def check_succession(
    before: routes.RoutingTable, after: routes.RoutingTable
) -> tuple[Finding, ...]:
    """Returns an error if a changed table would not replace that in force.

    Args:
        before: Routes in force.
        after: Routes that are to replace them.
    """
    if after.version > before.version or after == before:
        return ()
    text = (
        f"version {after.version} is not above version {before.version} in"
        " force: balancers ignore the document"
    )
    return (Finding(Severity.ERROR, Place(Attribute.VERSION), text),)
