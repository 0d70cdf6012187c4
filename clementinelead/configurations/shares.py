"""Checks of services that split their new flows among sets of targets."""

import collections.abc

from clementinelead import exceptions
from clementinelead.configurations import models

__all__ = ["findings", "sends_flows_to_any"]


def sends_flows_to_any(service: models.Service, names: frozenset[str]) -> bool:
    """Returns whether targets of the named services may get a service's flows.

    Args:
        service: Service whose flows are placed.
        names: Names of the services that the targets announce.
    """
    if service.name in names:
        return True
    return any(share.service in names for share in service.shares)


def findings(
    services: collections.abc.Iterable[models.Service],
    format_place: collections.abc.Callable[[str], str],
) -> list[exceptions.Finding]:
    """Checks the shares of all services of a configuration.

    A share must refer to an existing service of the same team and protocol
    that has no shares itself, unless it is the service with the share.

    Args:
        services: All services.
        format_place: Returns the place of a finding, given the name of the
            service.

    Returns:
        One finding for each invalid share.
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
    """Returns why a share is invalid, empty if it is valid."""
    other = service_by_name.get(share.service)
    if other is None:
        return f"there is no service {share.service!r}"
    if other.team != service.team:
        return f"{share.service!r} belongs to team {other.team!r}"
    if other.protocol != service.protocol:
        return f"{share.service!r} has protocol {other.protocol!r}"
    if other.shares and other is not service:
        return f"{share.service!r} has shares itself"
    return ""
