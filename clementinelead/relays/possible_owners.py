"""Selection of the side processes that may hold a flow without cache entry."""

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
        now: float,
    ) -> tuple[list[Owner], set[tuple[str, int]]]:
        """Returns the side processes to query, and those to wait for.

        An abandoned process is queried at the retry interval, in case it
        replies again, but its reply is not waited for.

        Args:
            segment: Header of the flow's packet.
            services: Services that its route names.
            now: Present time, seconds.
        """
        queried = []
        awaited = set()
        for address, number in self._all(segment, services, now):
            if not self._directory.is_abandoned(address, now):
                awaited.add(address)
            elif not self._directory.responsiveness.retry_due(address, now):
                continue
            queried.append((address, number))
        return queried, awaited

    def _all(
        self,
        segment: formats.Segment,
        services: frozenset[str],
        now: float,
    ) -> list[Owner]:
        """Returns the targets of present and former services of the address.

        After a restart of all processes no record of the former services is
        left, so the targets of all services are returned for some time.
        """
        address = self._format.service_address(segment.key)
        named = services | self._former.services(address)
        if now < self._former.complete_from and named and not segment.opens:
            named = frozenset(self._directory.by_service)
        return [
            (target.address, frames.service_number(service))
            for service in named
            for target in self._directory.targets(service)
        ]

    def by_likelihood(self, key: bytes, owners: list[Owner]) -> list[Owner]:
        """Returns owners sorted by their rank in their services' order.

        Flows are placed on targets of a low rank, so those are the most likely
        owners.

        Args:
            key: Flow key.
            owners: Owners to sort.
        """
        rank_by_address = {
            target.address: rank
            for targets in self._directory.by_service.values()
            for rank, target in enumerate(candidates.ranked(key, targets))
        }
        last = len(rank_by_address)
        return sorted(
            owners, key=lambda owner: rank_by_address.get(owner[0], last)
        )
