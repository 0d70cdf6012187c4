"""Log lines about changes of membership records."""

import loguru

from clementinelead.memberships import capacities
from clementinelead.memberships import members
from clementinelead.memberships import records

__all__ = ["log_change"]


def log_change(change: members.Change) -> None:
    """Logs a change of a side process, or the first unusable weight.

    Args:
        change: Change of a record of any role.
    """
    if change.new.role is records.Role.SIDE:
        _log_side_process(change.new)
    elif not capacities.has_usable_weight(change.new):
        _log_unusable_weight(change)


def _log_side_process(record: records.Record) -> None:
    loguru.logger.bind(
        member=record.id,
        state=record.state.name.lower(),
        health=record.health.name.lower(),
        incarnation=record.incarnation,
        sequence=record.sequence,
        service=",".join(record.services),
    ).info("member changed")


def _log_unusable_weight(change: members.Change) -> None:
    """Logs a weight that can't be used, unless that of before could not."""
    old = change.old
    if old is None or capacities.has_usable_weight(old):
        loguru.logger.bind(
            member=change.new.id, weight=change.new.weight
        ).warning("weight of a member ignored")
