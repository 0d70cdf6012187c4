"""The targets of each service, kept up to date change by change."""

from clementinelead.configurations import models
from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.placements import tables

__all__ = ["ShareIndex", "TargetIndex"]


class TargetIndex:
    """Targets by service; a change costs O(services of the target).

    Draining targets stay in: they accept nothing new, but their flows are
    found where they always were. Dead and leaving ones do not.
    """

    def __init__(self) -> None:
        self._member_by_service: dict[str, dict[str, tables.Member]] = {}

    def update(self, change: members.Change) -> frozenset[str]:
        """Takes over a change of a membership record.

        Args:
            change: The change.

        Returns:
            Services whose targets or their weights or addresses changed.
        """
        before = self._remove(change.old)
        after = self._add(change.new)
        return frozenset(
            name
            for name in before.keys() | after.keys()
            if before.get(name) != after.get(name)
        )

    def targets(self, service: str) -> tuple[tables.Member, ...]:
        """Returns the targets of a service."""
        return tuple(self._member_by_service.get(service, {}).values())

    def groups(self, service: models.Service) -> tuple[tables.TargetGroup, ...]:
        """Returns the sets of targets that serve a service."""
        return tuple(
            tables.TargetGroup(
                share.service, share.weight, self.targets(share.service)
            )
            for share in service.effective_shares
        )

    def _remove(
        self, record: records.Record | None
    ) -> dict[str, tables.Member]:
        removed: dict[str, tables.Member] = {}
        for name in record.services if record else ():
            by_id = self._member_by_service.get(name, {})
            member = by_id.pop(record.id, None) if record else None
            if member is not None:
                removed[name] = member
        return removed

    def _add(self, record: records.Record) -> dict[str, tables.Member]:
        if record.role is not records.Role.SIDE or members.has_ended(record):
            return {}
        member = tables.Member(record.id, record.data_address, record.weight)
        for name in record.services:
            self._member_by_service.setdefault(name, {})[record.id] = member
        return dict.fromkeys(record.services, member)


class ShareIndex:
    """Which services the targets of a service take flows of."""

    def __init__(self) -> None:
        self._parts_by_name: dict[str, frozenset[str]] = {}
        self._names_by_part: dict[str, set[str]] = {}

    def update(self, name: str, service: models.Service | None) -> None:
        """Takes over a service's shares.

        Args:
            name: Name of the service.
            service: Its definition, None if it was removed.
        """
        for part in self._parts_by_name.pop(name, frozenset()):
            names = self._names_by_part[part]
            names.discard(name)
            if not names:
                del self._names_by_part[part]
        if service is None or not service.shares:
            return
        parts = frozenset(share.service for share in service.shares)
        self._parts_by_name[name] = parts
        for part in parts:
            self._names_by_part.setdefault(part, set()).add(name)

    def affected_services(self, names: frozenset[str]) -> frozenset[str]:
        """Returns the services whose tables change with some targets.

        Args:
            names: Services that the targets announce.
        """
        found = set(names)
        for name in names & self._names_by_part.keys():
            found |= self._names_by_part[name]
        return frozenset(found)
