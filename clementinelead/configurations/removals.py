"""Removed services, whose open flows go on for a while."""

import collections.abc

from clementinelead.configurations import models

__all__ = ["draining_services"]


def draining_services(
    configuration: models.Configuration,
    entry_by_name: collections.abc.Mapping[str, models.Entry],
    author: models.Author,
) -> dict[str, models.Entry]:
    """Returns the services that take no new flow but keep the open ones.

    A service that a change removes keeps its flows for its ``drain_bound_s``,
    and until the first change after that. It ends at once if its name or one
    of its addresses is given to another.

    Args:
        configuration: The configuration before the change.
        entry_by_name: Services in force after the change.
        author: Who makes the change, and when.
    """
    taken = {
        key
        for entry in entry_by_name.values()
        for key in entry.service.endpoint_by_key
    }
    found = {}
    for name, entry in configuration.stored_by_name.items():
        bound = author.time + entry.service.drain_bound_s
        ends_at = bound if entry.ends_at is None else entry.ends_at
        if name in entry_by_name or ends_at <= author.time:
            continue
        if taken.isdisjoint(entry.service.endpoint_by_key):
            found[name] = entry.model_copy(update={"ends_at": ends_at})
    return found
