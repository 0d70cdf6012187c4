"""Checks of services whose new flows several sets of targets share."""

import collections.abc

from clementinelead import exceptions
from clementinelead.configurations import models

__all__ = ["findings", "sends_flows_to_any"]


def sends_flows_to_any(service: models.Service, names: frozenset[str]) -> bool:
    """Tells whether targets of some services may get a service's flows.

    Args:
        service: The service.
        names: Names that the targets announce.
    """
    if service.name in names:
        return True
    return any(share.service in names for share in service.shares)


def findings(
    services: collections.abc.Iterable[models.Service],
    format_place: collections.abc.Callable[[str], str],
) -> list[exceptions.Finding]:
    """Returns what is wrong with the shares of a whole configuration.

    Args:
        services: All services.
        format_place: Returns the place that a finding on a service names.
    """
    service_by_name = {service.name: service for service in services}
    return [
        exceptions.Finding(format_place(service.name), problem)
        for service in service_by_name.values()
        for share in service.shares
        if (problem := _problem(service, share, service_by_name))
    ]


def _problem(
    service: models.Service,
    share: models.Share,
    service_by_name: collections.abc.Mapping[str, models.Service],
) -> str:
    """Returns what is wrong with a share, empty if nothing is."""
    other = service_by_name.get(share.service)
    if other is None:
        return f"there is no service {share.service!r}"
    if other.team != service.team:
        return f"{share.service!r} belongs to team {other.team!r}"
    if other.protocol != service.protocol:
        return f"{share.service!r} is for {other.protocol}"
    if other.shares and other is not service:
        return f"{share.service!r} is shared itself"
    return ""
