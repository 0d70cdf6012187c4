"""Differences between two routing tables, with what they do to open flows.

They are found in time linear in the number of routes.
"""

import collections.abc
import dataclasses

from clementinelead.relays import former_services
from clementinelead.relays import routes

__all__ = ["Difference", "differences"]

_NO_EFFECT = "no effect"

_AddressText = collections.abc.Callable[[bytes], str]


@dataclasses.dataclass(frozen=True)
class Difference:
    """One difference between a table and the one in force.

    Attributes:
        subject: Name and address of the route, or what else differs.
        text: What differs.
        effect: What happens to open flows.
    """

    subject: str
    text: str
    effect: str


def differences(
    before: routes.RoutingTable,
    after: routes.RoutingTable,
    address_text: _AddressText,
) -> tuple[Difference, ...]:
    """Returns what differs between two tables, one entry for each route.

    Of routes with the same address only the last one counts.

    Args:
        before: Routes in force.
        after: Routes that are to replace them.
        address_text: Returns a route's address as text.
    """
    old, new = before.by_address, after.by_address
    found = []
    for address, route in new.items():
        subject = f"{route.name} {address_text(address)}"
        former = old.get(address)
        if former is None:
            text = f"new: {_shares_text(route)}"
            effect = f"{_NO_EFFECT}; new flows are accepted"
            found.append(Difference(subject, text, effect))
        elif former != route:
            found.append(_changed_route(subject, former, route))
    for address, route in old.items():
        if address not in new:
            found.append(
                Difference(
                    f"{route.name} {address_text(address)}",
                    "removed",
                    "dropped: forwarded where a balancer knows them, else"
                    f" found for at least {former_services.RETENTION_S:g} s,"
                    " then reset; new flows are refused",
                )
            )
    return (*found, *_table_differences(before, after))


def _changed_route(
    subject: str, before: routes.Route, after: routes.Route
) -> Difference:
    """Returns the difference between two routes of the same address."""
    changes = [
        (label, str(old), str(new))
        for label, old, new in (
            ("name", before.name, after.name),
            ("services", _shares_text(before), _shares_text(after)),
            ("objective ms", before.objective_ms, after.objective_ms),
            ("time budget ms", before.timeout_ms, after.timeout_ms),
            ("priority", before.priority, after.priority),
            ("idempotent", before.idempotent, after.idempotent),
        )
        if old != new
    ]
    text = "; ".join(f"{label} {old} -> {new}" for label, old, new in changes)
    return Difference(subject, text, _effect(before, after))


def _effect(before: routes.Route, after: routes.Route) -> str:
    """Returns what a change of a route does to its open flows."""
    effects = []
    if before.shares != after.shares:
        effects.append("stay, new ones move")
    dropped = {share.service for share in before.shares} - {
        share.service for share in after.shares
    }
    if dropped:
        effects.append(
            "a balancer that does not know an open flow finds it for at least"
            f" {former_services.RETENTION_S:g} s"
        )
    if before.priority != after.priority:
        effects.append("later requests get the new priority")
    return "; ".join(effects) or _NO_EFFECT


def _table_differences(
    before: routes.RoutingTable, after: routes.RoutingTable
) -> collections.abc.Iterator[Difference]:
    """Yields what differs in the limits that concern all routes."""
    if before.idle_timeout_s != after.idle_timeout_s:
        yield Difference(
            "idle timeout",
            f"{before.idle_timeout_s:g} s -> {after.idle_timeout_s:g} s",
            "balancers forget idle flows after the new time and search for"
            " them at their next packet",
        )
    old = _rate_by_service(before)
    new = _rate_by_service(after)
    for service in dict.fromkeys((*old, *new)):
        if old.get(service) != new.get(service):
            yield Difference(
                f"warm-up rate of {service}",
                f"{old.get(service, 0.0):g} -> {new.get(service, 0.0):g}"
                " flows/s (0: no limit)",
                _NO_EFFECT,
            )


def _rate_by_service(table: routes.RoutingTable) -> dict[str, float]:
    """Returns the rates by service; of several the first one applies."""
    rate_by_service: dict[str, float] = {}
    for rate in table.warmup_rates:
        rate_by_service.setdefault(rate.service, rate.flows_per_s)
    return rate_by_service


def _shares_text(route: routes.Route) -> str:
    """Returns the services of a route with their weights."""
    if len(route.shares) == 1:
        return route.shares[0].service
    return ", ".join(
        f"{share.service}:{share.weight}" for share in route.shares
    )
