"""Services that may hold flows of an address though no route names them now.

A change of the routes does not move open flows. A search for a flow therefore
also queries the services that its route named until recently.
"""

import collections.abc

import msgspec

from clementinelead.relays import routes

__all__ = ["RETENTION_S", "FormerService", "FormerServices"]

RETENTION_S = 90.0
"""Time for which flows of a former service can still be found, seconds."""


class FormerService(msgspec.Struct, frozen=True):
    """A service that the route of an address named earlier.

    Attributes:
        address: Address of the route.
        service: Name of the service.
    """

    address: bytes
    service: str


class FormerServices:
    """Services that earlier versions of the routes named for an address.

    Attributes:
        complete_from: Time from which none of them is missing here, seconds;
            infinite before the first routes.
    """

    def __init__(self, first_start: bool = False):
        """Creates an empty record, as before the first routes.

        Args:
            first_start: Whether the whole system starts for the first time, so
                that no earlier flows exist.
        """
        self.complete_from = float("inf")
        self._first_start = first_start
        self._until_by_former: dict[FormerService, float] = {}
        self._by_address: dict[bytes, frozenset[str]] = {}

    def record_change(
        self,
        before: routes.RoutingTable,
        after: routes.RoutingTable,
        now: float,
    ) -> None:
        """Records the services that a new version of the routes drops.

        Args:
            before: Routes in force until now.
            after: Routes of a higher version.
            now: Present time, seconds.
        """
        if not before.version:
            unknown_s = 0.0 if self._first_start else RETENTION_S
            self.complete_from = min(self.complete_from, now + unknown_s)
        named = _named(after)
        until_by_former = {
            former: until
            for former, until in self._until_by_former.items()
            if until > now and former not in named
        }
        for former in _named(before) - named:
            until_by_former[former] = now + RETENTION_S
        self._set(until_by_former)

    def merge(
        self, reported: collections.abc.Iterable[FormerService], now: float
    ) -> None:
        """Merges the former services of a peer with the same routes in force.

        Args:
            reported: All former services that the peer has a record of.
            now: Present time, seconds.
        """
        self.complete_from = min(self.complete_from, now)
        until_by_former = dict(self._until_by_former)
        for former in reported:
            until_by_former.setdefault(former, now + RETENTION_S)
        self._set(until_by_former)

    def snapshot(self, now: float) -> tuple[FormerService, ...] | None:
        """Returns all former services, None if some may be missing here.

        Args:
            now: Present time, seconds.
        """
        if now < self.complete_from:
            return None
        return tuple(
            former
            for former, until in self._until_by_former.items()
            if until > now
        )

    def services(self, address: bytes) -> frozenset[str]:
        """Returns the names of the former services of an address.

        Args:
            address: Address of a route in force or of a dropped one.
        """
        return self._by_address.get(address, frozenset())

    def _set(self, until_by_former: dict[FormerService, float]) -> None:
        self._until_by_former = until_by_former
        services_by_address: dict[bytes, set[str]] = {}
        for former in until_by_former:
            services = services_by_address.setdefault(former.address, set())
            services.add(former.service)
        self._by_address = {
            address: frozenset(services)
            for address, services in services_by_address.items()
        }


def _named(table: routes.RoutingTable) -> set[FormerService]:
    """Returns the services that the routes name, with their addresses."""
    return {
        FormerService(route.address, share.service)
        for route in table.routes
        for share in route.shares
    }
