"""Edits made by hand: services and their fields, drains, evacuations."""

import collections.abc
import dataclasses

import pydantic

from clementinelead import exceptions
from clementinelead import validation
from clementinelead.configurations import drafts
from clementinelead.configurations import merges
from clementinelead.configurations import models
from clementinelead.configurations import shares
from clementinelead.configurations import sheets

__all__ = [
    "drain_edit",
    "evacuate_edit",
    "remove_edit",
    "restore_edit",
    "set_edit",
    "undrain_edit",
]

Edit = collections.abc.Callable[[models.Configuration], drafts.Draft]
"""Returns the edited draft of a configuration; see ``repositories.Edit``."""


def _validate_service(name: str, values: dict[str, object]) -> models.Service:
    try:
        return models.Service.model_validate(values)
    except pydantic.ValidationError as error:
        findings = validation.findings(
            error, lambda path: ".".join((name, *path))
        )
        raise exceptions.FindingsError(findings) from error


def set_edit(
    name: str, values: dict[str, object], author: models.Author
) -> Edit:
    """Returns the edit that sets fields of a service, or adds a service.

    The edit marks the fields whose value changes as changed by hand. It
    raises ``exceptions.FindingsError`` if a value is invalid, an address
    belongs to another service or a share is invalid.

    Args:
        name: Name of the service.
        values: New value by field.
        author: Author of the change.
    """

    def edit(configuration: models.Configuration) -> drafts.Draft:
        draft = drafts.copy_configuration(configuration)
        old_entry = draft.entry_by_name.get(name)
        if old_entry is None:
            service = _validate_service(name, {**values, "name": name})
            entry = models.Entry(
                service=service, by_hand={merges.WHOLE_SERVICE: author}
            )
        else:
            old_values = old_entry.service.model_dump()
            service = _validate_service(
                name, {**old_values, **values, "name": name}
            )
            changed = {
                field: author
                for field in values
                if getattr(service, field) != getattr(old_entry.service, field)
            }
            entry = models.Entry(
                service=service, by_hand={**old_entry.by_hand, **changed}
            )
        draft.entry_by_name[name] = entry
        draft.removed.pop(name, None)
        _check_addresses(name, draft.entry_by_name)
        _check_shares(draft.entry_by_name)
        return draft

    return edit


def remove_edit(name: str, author: models.Author) -> Edit:
    """Returns the edit that removes a service.

    The edit raises ``exceptions.FindingsError`` if there is no such service
    or another service sends it a share of its flows.

    Args:
        name: Name of the service.
        author: Author of the change.
    """

    def edit(configuration: models.Configuration) -> drafts.Draft:
        draft = drafts.copy_configuration(configuration)
        if draft.entry_by_name.pop(name, None) is None:
            finding = exceptions.Finding(name, "there is no such service")
            raise exceptions.FindingsError((finding,))
        draft.removed[name] = author
        _check_shares(draft.entry_by_name)
        return draft

    return edit


def drain_edit(
    target: str, bound_s: float | None, author: models.Author
) -> Edit:
    """Returns the edit that drains a target.

    Args:
        target: Identifier of the target.
        bound_s: Time for which the target keeps its flows, seconds; None for
            the longest ``drain_bound_s`` of its services.
        author: Author of the change.
    """

    def edit(configuration: models.Configuration) -> drafts.Draft:
        draft = drafts.copy_configuration(configuration)
        drain = models.Drain(target=target, bound_s=bound_s, author=author)
        return dataclasses.replace(
            draft, drains={**draft.drains, target: drain}
        )

    return edit


def undrain_edit(target: str) -> Edit:
    """Returns the edit that ends the drain of a target.

    The edit raises ``exceptions.FindingsError`` if the target is not
    draining.

    Args:
        target: Identifier of the target.
    """

    def edit(configuration: models.Configuration) -> drafts.Draft:
        draft = drafts.copy_configuration(configuration)
        if target not in draft.drains:
            finding = exceptions.Finding(target, "is not draining")
            raise exceptions.FindingsError((finding,))
        drains = {
            name: drain
            for name, drain in draft.drains.items()
            if name != target
        }
        return dataclasses.replace(draft, drains=drains)

    return edit


def evacuate_edit(zone: str, author: models.Author) -> Edit:
    """Returns the edit that evacuates an availability zone.

    The edit raises ``exceptions.FindingsError`` if the name is invalid.

    Args:
        zone: Name of the zone.
        author: Author of the change.
    """

    def edit(configuration: models.Configuration) -> drafts.Draft:
        try:
            evacuation = models.Evacuation(zone=zone, author=author)
        except pydantic.ValidationError as error:
            findings = validation.findings(error, lambda path: ".".join(path))
            raise exceptions.FindingsError(findings) from error
        draft = drafts.copy_configuration(configuration)
        evacuations = {**draft.evacuations, zone: evacuation}
        return dataclasses.replace(draft, evacuations=evacuations)

    return edit


def restore_edit(zone: str) -> Edit:
    """Returns the edit that ends the evacuation of an availability zone.

    The edit raises ``exceptions.FindingsError`` if the zone is not evacuated.

    Args:
        zone: Name of the zone.
    """

    def edit(configuration: models.Configuration) -> drafts.Draft:
        draft = drafts.copy_configuration(configuration)
        evacuations = dict(draft.evacuations)
        if evacuations.pop(zone, None) is None:
            finding = exceptions.Finding(zone, "is not evacuated")
            raise exceptions.FindingsError((finding,))
        return dataclasses.replace(draft, evacuations=evacuations)

    return edit


def _check_addresses(name: str, entry_by_name: dict[str, models.Entry]) -> None:
    """Checks that no address of a service belongs to another service.

    Raises:
        exceptions.FindingsError: An address belongs to another service.
    """
    service = entry_by_name[name].service
    endpoint_by_key = service.endpoint_by_key
    for other in entry_by_name.values():
        if other.service.name == name:
            continue
        shared = endpoint_by_key.keys() & other.service.endpoint_by_key.keys()
        if shared:
            finding = exceptions.Finding(
                f"{name}.address",
                f"{service.protocol} {endpoint_by_key[min(shared)]} belongs"
                f" to {other.service.name!r}",
            )
            raise exceptions.FindingsError((finding,))


def _check_shares(entry_by_name: dict[str, models.Entry]) -> None:
    """Checks the shares of all services.

    Raises:
        exceptions.FindingsError: At least one share is invalid.
    """
    findings = shares.findings(
        (entry.service for entry in entry_by_name.values()),
        lambda name: f"{name}.shares",
    )
    if findings:
        raise exceptions.FindingsError(tuple(findings))


def unknown_fields(names: collections.abc.Iterable[str]) -> list[str]:
    """Returns the names that are not fields of a service."""
    return [name for name in names if name not in sheets.COLUMNS]
