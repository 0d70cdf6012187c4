"""Services that may hold flows of an address though no route says so now.

A change of the routes leaves open flows where they are. Where a flow is
searched for, the services that its route had until lately are asked too.
"""

import collections.abc

import msgspec

from clementinelead.relays import routes

__all__ = ["RETENTION_S", "FormerService", "FormerServices"]

RETENTION_S = 90.0
"""Time that the flows of a former service can still be found, seconds."""


class FormerService(msgspec.Struct, frozen=True):
    """A service that an address had.

    Attributes:
        address: Address of the route.
        service: A service that the route named.
    """

    address: bytes
    service: str


class FormerServices:
    """What earlier versions of the routes have named, and no longer do.

    Attributes:
        complete_from: From when on every such service is known, seconds;
            infinite before the first routes.
    """

    def __init__(self, first_start: bool = False):
        """Starts before the first routes.

        Args:
            first_start: Whether the whole system starts for the first time,
                so that there are no flows of before.
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
        """Takes up what a version of the routes no longer names.

        Args:
            before: Routes in force until now.
            after: Routes of a higher version.
            now: Present time, seconds.
        """
        if not before.version:
            known_s = 0.0 if self._first_start else RETENTION_S
            self.complete_from = min(self.complete_from, now + known_s)
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
        self, told: collections.abc.Iterable[FormerService], now: float
    ) -> None:
        """Takes over what a peer knows that has the same routes in force.

        Args:
            told: All former services.
            now: Present time, seconds.
        """
        self.complete_from = min(self.complete_from, now)
        until_by_former = dict(self._until_by_former)
        for former in told:
            until_by_former.setdefault(former, now + RETENTION_S)
        self._set(until_by_former)

    def snapshot(self, now: float) -> tuple[FormerService, ...] | None:
        """Returns all former services, None if some may not be known.

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
        """Returns the former services of an address.

        Args:
            address: Address of a route, or of one that was dropped.
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
    """Returns which services the routes name for which addresses."""
    return {
        FormerService(route.address, share.service)
        for route in table.routes
        for share in route.shares
    }
