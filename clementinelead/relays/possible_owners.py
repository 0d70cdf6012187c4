"""Which side processes may hold a flow that a balancer does not know."""

from clementinelead.relays import candidates
from clementinelead.relays import directory
from clementinelead.relays import formats
from clementinelead.relays import former_services
from clementinelead.relays import frames

__all__ = ["Owner", "PossibleOwners"]

Owner = tuple[tuple[str, int], int]
"""Address of a side process, and the number of its service."""


class PossibleOwners:
    """Names the side processes to ask for a flow."""

    def __init__(
        self,
        packet_format: formats.PacketFormat,
        known: directory.Directory,
        former: former_services.FormerServices,
    ):
        """Takes what names them.

        Args:
            packet_format: Format of the callers' packets.
            known: The targets.
            former: Services that routes no longer name.
        """
        self._format = packet_format
        self._directory = known
        self._former = former

    def to_query(
        self,
        segment: formats.Segment,
        services: frozenset[str],
        now: float,
    ) -> tuple[list[Owner], set[tuple[str, int]]]:
        """Returns whom to ask for a flow, and whose answers to wait for.

        An abandoned process is asked now and then, in case it is back.

        Args:
            segment: Header of the flow's packet.
            services: Services that its route names.
            now: Present time, seconds.
        """
        asked = []
        waiting = set()
        for address, number in self._all(segment, services, now):
            if not self._directory.is_abandoned(address, now):
                waiting.add(address)
            elif not self._directory.responsiveness.retry_due(address, now):
                continue
            asked.append((address, number))
        return asked, waiting

    def _all(
        self,
        segment: formats.Segment,
        services: frozenset[str],
        now: float,
    ) -> list[Owner]:
        """Returns the targets of the services that the address has and had.

        After a loss of all processes nobody knows which it had, so for some
        time all services are asked.
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
        """Returns some of them, in the rendezvous order of their services.

        Args:
            key: Flow key.
            owners: The owners.
        """
        place_by_address = {
            target.address: place
            for targets in self._directory.by_service.values()
            for place, target in enumerate(candidates.ranked(key, targets))
        }
        last = len(place_by_address)
        return sorted(
            owners, key=lambda one: place_by_address.get(one[0], last)
        )
