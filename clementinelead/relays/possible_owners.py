"""Selection of the side processes that may hold a flow without cache entry."""

import collections.abc

from clementinelead.relays import candidates
from clementinelead.relays import directory
from clementinelead.relays import formats
from clementinelead.relays import former_services
from clementinelead.relays import frames

__all__ = ["Owner", "PossibleOwners"]

Owner = tuple[tuple[str, int], int]
"""Address of a side process, and the number of its service."""


class PossibleOwners:
    """Selects the side processes to query for the owner of a flow."""

    def __init__(
        self,
        packet_format: formats.PacketFormat,
        targets: directory.Directory,
        former: former_services.FormerServices,
    ):
        """Creates a selection from the targets and services given.

        Args:
            packet_format: Format of the callers' packets.
            targets: The targets of all services.
            former: Services that routes no longer name.
        """
        self._format = packet_format
        self._directory = targets
        self._former = former

    def to_query(
        self,
        segment: formats.Segment,
        services: frozenset[str],
        everywhere: bool,
        now: float,
    ) -> tuple[list[Owner], set[tuple[str, int]]]:
        """Returns the side processes to query, and those to wait for.

        An abandoned process is queried at the retry interval, in case it
        replies again, but its reply is not waited for.

        Args:
            segment: Header of the flow's packet.
            services: Services that its route names.
            everywhere: Whether to return the targets of all services, see
                ``may_be_elsewhere``.
            now: Present time, seconds.
        """
        queried = []
        awaited = set()
        for address, number in self._owners(segment, services, everywhere):
            if not self._directory.is_abandoned(address, now):
                awaited.add(address)
            elif not self._directory.responsiveness.retry_due(address, now):
                continue
            queried.append((address, number))
        return queried, awaited

    def may_be_elsewhere(
        self,
        segment: formats.Segment,
        services: frozenset[str],
        now: float,
    ) -> bool:
        """Returns whether any service may hold the flow.

        After a restart of all processes no record of the former services of
        an address is left for some time.

        Args:
            segment: Header of the flow's packet.
            services: Services that its route names.
            now: Present time, seconds.
        """
        if segment.opens or now >= self._former.complete_from:
            return False
        return bool(self._named(segment, services))

    def _named(
        self, segment: formats.Segment, services: frozenset[str]
    ) -> frozenset[str]:
        """Returns the present and former services of the flow's address."""
        address = self._format.service_address(segment.key)
        return services | self._former.services(address)

    def _owners(
        self,
        segment: formats.Segment,
        services: frozenset[str],
        everywhere: bool,
    ) -> list[Owner]:
        named: collections.abc.Iterable[str] = self._named(segment, services)
        if everywhere:
            named = self._directory.by_service
        return [
            (target.address, frames.service_number(service))
            for service in named
            for target in self._directory.targets(service)
        ]

    def by_likelihood(self, key: bytes, owners: list[Owner]) -> list[Owner]:
        """Returns owners sorted by their position in their services' orders.

        A flow is placed on one of the targets that its balancer queries first,
        and its packets reach balancers of the same availability zone.

        Args:
            key: Flow key.
            owners: Owners to sort.
        """
        numbers = {number for _, number in owners}
        position_by_address = {
            target.address: position
            for service, targets in self._directory.by_service.items()
            if frames.service_number(service) in numbers
            for position, target in enumerate(
                candidates.placement_order(
                    key,
                    targets,
                    self._directory.zone,
                    self._directory.queried_in_zone,
                )
            )
        }
        last = len(position_by_address)
        return sorted(
            owners, key=lambda owner: position_by_address.get(owner[0], last)
        )
