"""Targets by service, updated incrementally from membership changes."""

import collections.abc

from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.relays import candidates

__all__ = ["KnownTargets"]


class KnownTargets:
    """Targets with a living side process, by service.

    The cost of an update depends on the targets of the changed services, not
    on the number of members.
    """

    def __init__(self, table: members.MemberTable):
        """Starts without targets.

        Args:
            table: Member table with the predecessors of restarted processes.
        """
        self._never_ready_ids: set[str] = set()
        self._table = table
        self._by_service: dict[str, dict[str, candidates.Target]] = {}

    def update(
        self, changes: collections.abc.Iterable[members.Change]
    ) -> dict[str, tuple[candidates.Target, ...]]:
        """Applies membership changes.

        Args:
            changes: Changes of membership records of any role.

        Returns:
            All targets of each service of a changed side process, by the name
            of the service.
        """
        changed_services: dict[str, None] = {}
        for change in changes:
            record = change.new
            if record.role is not records.Role.SIDE:
                continue
            self._update_never_ready(change)
            old_services = change.old.services if change.old is not None else ()
            for service in old_services:
                self._targets(service).pop(record.id, None)
                changed_services[service] = None
            for service in record.services:
                changed_services[service] = None
                if not members.has_ended(record):
                    self._targets(service)[record.id] = self._target(record)
        targets_by_service = {
            service: tuple(self._targets(service).values())
            for service in changed_services
        }
        for service, targets in targets_by_service.items():
            if not targets:
                del self._by_service[service]
        return targets_by_service

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
            never_ready=record.id in self._never_ready_ids,
        )

    def _update_never_ready(self, change: members.Change) -> None:
        """Updates which processes stop before their targets are ready.

        Only the newest record of a process is disseminated. After a gap in the
        sequence the process may have been ready in between.
        """
        record, old = change.new, change.old
        goes_on = old is not None and old.incarnation == record.incarnation
        draining = record.state is records.State.DRAINING
        if not draining or not goes_on or members.has_ended(record):
            self._never_ready_ids.discard(record.id)
        elif (
            old is not None
            and old.state is records.State.COLD
            and old.sequence + 1 == record.sequence
        ):
            self._never_ready_ids.add(record.id)
