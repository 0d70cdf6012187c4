"""Edits that shifts make by hand: fields, services, drains."""

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

__all__ = ["drain_edit", "remove_edit", "set_edit", "undrain_edit"]

Edit = collections.abc.Callable[[models.Configuration], drafts.Draft]


def _validated(name: str, values: dict[str, object]) -> models.Service:
    try:
        return models.Service.model_validate(values)
    except pydantic.ValidationError as error:
        found = validation.findings(
            error, lambda steps: ".".join((name, *steps))
        )
        raise exceptions.FindingsError(found) from error


def set_edit(
    name: str, values: dict[str, object], author: models.Author
) -> Edit:
    """Returns the edit that sets fields of a service, or adds it.

    Args:
        name: Name of the service.
        values: New value by field.
        author: Who changes them.
    """

    def edit(configuration: models.Configuration) -> drafts.Draft:
        draft = drafts.copy_configuration(configuration)
        old = draft.entry_by_name.get(name)
        if old is None:
            service = _validated(name, {**values, "name": name})
            entry = models.Entry(
                service=service, by_hand={merges.WHOLE_SERVICE: author}
            )
        else:
            content = old.service.model_dump()
            service = _validated(name, {**content, **values, "name": name})
            changed = {
                field: author
                for field in values
                if getattr(service, field) != getattr(old.service, field)
            }
            entry = models.Entry(
                service=service, by_hand={**old.by_hand, **changed}
            )
        draft.entry_by_name[name] = entry
        draft.removed.pop(name, None)
        _check_addresses(name, draft.entry_by_name)
        _check_shares(draft.entry_by_name)
        return draft

    return edit


def remove_edit(name: str, author: models.Author) -> Edit:
    """Returns the edit that removes a service.

    Args:
        name: Name of the service.
        author: Who removes it.
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
        bound_s: Time that it keeps its flows, seconds; None for its
            services' own bound.
        author: Who drains it.
    """

    def edit(configuration: models.Configuration) -> drafts.Draft:
        draft = drafts.copy_configuration(configuration)
        drain = models.Drain(target=target, bound_s=bound_s, author=author)
        return dataclasses.replace(
            draft, drains={**draft.drains, target: drain}
        )

    return edit


def undrain_edit(target: str) -> Edit:
    """Returns the edit that takes a target back into service."""

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


def _check_addresses(name: str, entry_by_name: dict[str, models.Entry]) -> None:
    """Checks that a service's addresses belong to no other.

    Raises:
        exceptions.FindingsError: It does.
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
    """Checks that all shares go to services that can take them.

    Raises:
        exceptions.FindingsError: One does not.
    """
    found = shares.findings(
        (entry.service for entry in entry_by_name.values()),
        lambda name: f"{name}.shares",
    )
    if found:
        raise exceptions.FindingsError(tuple(found))


def unknown_fields(names: collections.abc.Iterable[str]) -> list[str]:
    """Returns the names that are not fields of a service."""
    return [name for name in names if name not in sheets.COLUMNS]
