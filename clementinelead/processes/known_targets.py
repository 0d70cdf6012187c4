"""The targets of each service, kept up to date from membership changes."""

import collections.abc

from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.relays import candidates

__all__ = ["KnownTargets"]


class KnownTargets:
    """Targets whose side processes live, by service.

    A change costs as much as it touches, however many members there are.
    """

    def __init__(self, table: members.MemberTable):
        """Begins without targets.

        Args:
            table: Knows who has just restarted.
        """
        self._table = table
        self._by_service: dict[str, dict[str, candidates.Target]] = {}

    def update(
        self, changes: collections.abc.Iterable[members.Change]
    ) -> dict[str, tuple[candidates.Target, ...]]:
        """Takes over changes.

        Args:
            changes: Changes of membership records of any role.

        Returns:
            All targets of each service that a change has touched.
        """
        touched: dict[str, None] = {}
        for change in changes:
            record = change.new
            if record.role is not records.Role.SIDE:
                continue
            before = change.old.services if change.old is not None else ()
            for service in before:
                self._targets(service).pop(record.id, None)
                touched[service] = None
            for service in record.services:
                touched[service] = None
                if not members.has_ended(record):
                    self._targets(service)[record.id] = self._target(record)
        return {
            service: tuple(self._targets(service).values())
            for service in touched
        }

    def _targets(self, service: str) -> dict[str, candidates.Target]:
        return self._by_service.setdefault(service, {})

    def _target(self, record: records.Record) -> candidates.Target:
        predecessor = self._table.predecessor_by_id.get(record.id)
        return candidates.Target(
            id=record.id,
            address=record.data_address,
            zone=record.zone,
            accepting=record.state is records.State.READY,
            starting=record.state is records.State.COLD,
            is_successor=predecessor is not None
            and not members.has_ended(predecessor),
        )
