"""Directory of the targets of all services, and which of them respond."""

from clementinelead.relays import candidates
from clementinelead.relays import overload
from clementinelead.relays import responsiveness

__all__ = ["Directory"]

ABANDON_AFTER_S = 1.0
"""Time without a reply after which a starting process is abandoned, seconds.

Targets announce themselves about once a second, and callers time out if their
flow is unreachable for longer.
"""

STOPPED_ABANDON_AFTER_S = 2.0
"""The same for one that stopped before its target announced itself, seconds.

It may be restarted beside a running target. Peers take seconds to declare it
dead, and no lost flow can be reset while its reply is awaited.
"""

SURPLUS_ABANDON_AFTER_S = 0.25
"""The same while all side processes of before are in service, seconds.

The unresponsive process is then surplus: it has none of their targets.
"""

MIN_MISSED_REPLIES = 2
"""Fewest consecutive replies that an abandoned process has missed.

A single reply may be lost, and the process is not always queried again soon.
"""


class Directory:
    """Targets by service.

    Attributes:
        zone: Availability zone of this balancer.
        queried_in_zone: Number of targets in it that are queried for a flow,
            None for the usual one.
        by_service: Targets whose side processes are alive, by service; no
            entry for a service without any.
        responsiveness: Which side processes reply to queries.
        overload: Whether most of them miss replies now and then.
        complete_from: Time from which no side process is missing here, seconds.
        denials_conclusive_from: Time from which a flow is lost if all side
            processes listed here reply that they don't hold it, seconds.
        some_missing: Whether a few side processes of before may not be in
            service; a starting one that does not reply may be one of them.
    """

    def __init__(self, zone: str, queried_in_zone: int | None = None):
        self.zone = zone
        self.queried_in_zone = queried_in_zone
        self.by_service: dict[str, tuple[candidates.Target, ...]] = {}
        self._evacuated_zones: frozenset[str] = frozenset()
        self.responsiveness = responsiveness.Responsiveness()
        self.overload = overload.Overload()
        self.complete_from = float("inf")
        self.denials_conclusive_from = float("inf")
        self.some_missing = False
        self._same_zone: frozenset[tuple[str, int]] | None = None
        self._starting: frozenset[tuple[str, int]] | None = None
        self._never_ready: frozenset[tuple[str, int]] | None = None
        self._evacuated: frozenset[tuple[str, int]] | None = None

    def set_targets(
        self, service: str, targets: tuple[candidates.Target, ...]
    ) -> None:
        """Replaces the targets of a service.

        Args:
            service: Name of the service.
            targets: Targets whose side processes are alive.
        """
        before = {target.address for target in self.targets(service)}
        # Searches that are in progress may query a process that has gone. Its
        # successor at the same address must not inherit the missing reply.
        for address in before ^ {target.address for target in targets}:
            self.responsiveness.discard(address)
        if targets:
            self.by_service[service] = targets
        else:
            self.by_service.pop(service, None)
        self._same_zone = None
        self._starting = None
        self._never_ready = None
        self._evacuated = None

    def expire(self) -> None:
        """Drops the queries to processes that are no longer listed."""
        self.responsiveness.retain(
            {
                target.address
                for targets in self.by_service.values()
                for target in targets
            }
        )

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Replaces the zones whose targets get no new flows.

        Args:
            zones: Names of the evacuated zones.
        """
        self._evacuated_zones = zones
        self._evacuated = None

    @property
    def evacuated(self) -> frozenset[tuple[str, int]]:
        """Addresses of the targets in evacuated zones."""
        if self._evacuated is None:
            self._evacuated = frozenset(
                target.address
                for targets in self.by_service.values()
                for target in targets
                if target.zone in self._evacuated_zones
            )
        return self._evacuated

    @property
    def same_zone(self) -> frozenset[tuple[str, int]]:
        """Addresses of the targets in this balancer's zone."""
        if self._same_zone is None:
            self._same_zone = frozenset(
                target.address
                for targets in self.by_service.values()
                for target in targets
                if target.zone == self.zone
            )
        return self._same_zone

    @property
    def starting(self) -> frozenset[tuple[str, int]]:
        """Addresses of side processes that start and replace no other one."""
        if self._starting is None:
            self._starting = frozenset(
                target.address
                for targets in self.by_service.values()
                for target in targets
                if target.starting and not target.is_successor
            )
        return self._starting

    @property
    def never_ready(self) -> frozenset[tuple[str, int]]:
        """Addresses of side processes that stopped without a target."""
        if self._never_ready is None:
            self._never_ready = frozenset(
                target.address
                for targets in self.by_service.values()
                for target in targets
                if target.never_ready and not target.is_successor
            )
        return self._never_ready

    def is_abandoned(self, address: tuple[str, int], now: float) -> bool:
        """Returns whether the replies of a side process are not waited for.

        That holds if it stopped replying before its target announced itself:
        it has no target, or its flows are unreachable for longer than callers
        wait.

        Args:
            address: Address of the side process.
            now: Present time, seconds.
        """
        if address in self.never_ready:
            limit_s = STOPPED_ABANDON_AFTER_S
        elif address not in self.starting:
            return False
        elif self.absence_decidable(now) and not self.some_missing:
            limit_s = SURPLUS_ABANDON_AFTER_S
        else:
            limit_s = ABANDON_AFTER_S
        if self.responsiveness.missed_count(address, now) < MIN_MISSED_REPLIES:
            return False
        return self.responsiveness.unanswered_s(address, now) >= limit_s

    def absence_decidable(self, now: float) -> bool:
        """Returns whether replies of the listed processes can prove flows lost.

        Args:
            now: Present time, seconds.
        """
        return now >= min(self.complete_from, self.denials_conclusive_from)

    def targets(self, service: str) -> tuple[candidates.Target, ...]:
        """Returns the targets of a service, none if it is not listed."""
        return self.by_service.get(service, ())

    def placement_targets(self, service: str) -> tuple[candidates.Target, ...]:
        """Returns the targets of a service outside of evacuated zones."""
        targets = self.targets(service)
        if not self._evacuated_zones:
            return targets
        return tuple(
            target
            for target in targets
            if target.zone not in self._evacuated_zones
        )

    @property
    def count(self) -> int:
        """Number of targets of all services."""
        return sum(map(len, self.by_service.values()))
