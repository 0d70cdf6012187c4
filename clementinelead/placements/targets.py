"""Index of the targets of each service, updated incrementally."""

from clementinelead.configurations import models
from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.placements import tables

__all__ = ["ShareIndex", "TargetIndex"]


class TargetIndex:
    """Targets by service; an update costs O(services of the target).

    Draining targets remain, so that their flows keep their candidates; they
    accept no new flows. Dead and leaving targets are removed.
    """

    def __init__(self) -> None:
        """Starts without targets."""
        self._member_by_service: dict[str, dict[str, tables.Member]] = {}

    def update(self, change: members.Change) -> frozenset[str]:
        """Applies a change of a membership record.

        Args:
            change: The old and the new record.

        Returns:
            Names of the services whose targets, or the weights or addresses of
            whose targets, changed.
        """
        before = self._remove(change.old)
        after = self._add(change.new)
        return frozenset(
            name
            for name in before.keys() | after.keys()
            if before.get(name) != after.get(name)
        )

    def targets(self, service: str) -> tuple[tables.Member, ...]:
        """Returns the targets that announce a service.

        Args:
            service: Name of the service.
        """
        return tuple(self._member_by_service.get(service, {}).values())

    def groups(self, service: models.Service) -> tuple[tables.TargetGroup, ...]:
        """Returns the target groups that serve a service, by its shares.

        Args:
            service: Definition of the service.
        """
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
    """Index from a target group to the services that share flows with it."""

    def __init__(self) -> None:
        """Starts without services."""
        self._groups_by_service: dict[str, frozenset[str]] = {}
        self._services_by_group: dict[str, set[str]] = {}

    def update(self, name: str, service: models.Service | None) -> None:
        """Replaces the shares of a service.

        Args:
            name: Name of the service.
            service: Its definition, None if it was removed.
        """
        for group in self._groups_by_service.pop(name, frozenset()):
            services = self._services_by_group[group]
            services.discard(name)
            if not services:
                del self._services_by_group[group]
        if service is None or not service.shares:
            return
        groups = frozenset(share.service for share in service.shares)
        self._groups_by_service[name] = groups
        for group in groups:
            self._services_by_group.setdefault(group, set()).add(name)

    def affected_services(self, names: frozenset[str]) -> frozenset[str]:
        """Returns the services whose tables change with some targets.

        Args:
            names: Services that the targets announce.
        """
        affected = set(names)
        for name in names & self._services_by_group.keys():
            affected |= self._services_by_group[name]
        return frozenset(affected)
