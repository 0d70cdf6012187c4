"""Removed services whose open flows continue until their drain bound."""

import collections.abc

from clementinelead.configurations import models

__all__ = ["draining_services"]


def draining_services(
    configuration: models.Configuration,
    entry_by_name: collections.abc.Mapping[str, models.Entry],
    author: models.Author,
) -> dict[str, models.Entry]:
    """Returns the removed services that keep their open flows.

    They accept no new flows. A service removed by a change keeps its flows
    for its ``drain_bound_s``; the first change after that time deletes its
    entry. The entry is deleted at once if another service gets its name or
    one of its addresses.

    Args:
        configuration: The configuration before the change.
        entry_by_name: Services in force after the change.
        author: Author of the change, with its time.

    Returns:
        Entry by name of the service, with ``ends_at`` set.
    """
    used_keys = {
        key
        for entry in entry_by_name.values()
        for key in entry.service.endpoint_by_key
    }
    draining = {}
    for name, entry in configuration.stored_by_name.items():
        ends_at = entry.ends_at
        if ends_at is None:
            ends_at = author.time + entry.service.drain_bound_s
        if name in entry_by_name or ends_at <= author.time:
            continue
        if used_keys.isdisjoint(entry.service.endpoint_by_key):
            draining[name] = entry.model_copy(update={"ends_at": ends_at})
    return draining
