"""The targets of all services as a balancer knows them, and who answers."""

from clementinelead.relays import candidates
from clementinelead.relays import responsiveness

__all__ = ["Directory"]

ABANDON_AFTER_S = 1.0
"""Silence after which a starting process is not waited for, seconds.

Targets announce themselves about once a second, and callers of a flow that
is out of reach for longer give their requests up.
"""

SURPLUS_ABANDON_AFTER_S = 0.25
"""The same where all that served before are known to serve, seconds.

The silent one is beside none of their targets.
"""


class Directory:
    """Targets by service.

    Attributes:
        zone: Availability zone of this balancer.
        by_service: Targets whose side processes live, by service.
        responsive: Which side processes answer.
        complete_from: From when on all side processes are known, seconds.
        denials_conclusive_from: From when on a flow is nowhere if all that are
            known deny it without a doubt, seconds.
    """

    def __init__(self, zone: str):
        self.zone = zone
        self.by_service: dict[str, tuple[candidates.Target, ...]] = {}
        self.responsiveness = responsiveness.Responsiveness()
        self.complete_from = float("inf")
        self.denials_conclusive_from = float("inf")
        self._near: frozenset[tuple[str, int]] | None = None
        self._starting: frozenset[tuple[str, int]] | None = None

    def set_targets(
        self, service: str, targets: tuple[candidates.Target, ...]
    ) -> None:
        """Takes over the targets of a service.

        Args:
            service: Name of the service.
            targets: Targets whose side processes live.
        """
        kept = {target.address for target in targets}
        for target in self.targets(service):
            if target.address not in kept:
                self.responsiveness.forget(target.address)
        self.by_service[service] = targets
        self._near = None
        self._starting = None

    @property
    def same_zone(self) -> frozenset[tuple[str, int]]:
        """Addresses of the targets in this balancer's zone."""
        if self._near is None:
            self._near = frozenset(
                target.address
                for known in self.by_service.values()
                for target in known
                if target.zone == self.zone
            )
        return self._near

    @property
    def starting(self) -> frozenset[tuple[str, int]]:
        """Addresses of side processes that start and succeed no other one."""
        if self._starting is None:
            self._starting = frozenset(
                target.address
                for known in self.by_service.values()
                for target in known
                if target.starting and not target.is_successor
            )
        return self._starting

    def is_abandoned(self, address: tuple[str, int], now: float) -> bool:
        """Tells whether a side process fell silent before its target spoke.

        It is on a machine that was switched on without a target, or its flows
        are out of reach for longer than callers wait.
        """
        if address not in self.starting:
            return False
        limit_s = (
            SURPLUS_ABANDON_AFTER_S
            if self.absence_decidable(now)
            else ABANDON_AFTER_S
        )
        return self.responsiveness.unanswered_s(address, now) >= limit_s

    def absence_decidable(self, now: float) -> bool:
        """Tells whether some flows are known to be nowhere."""
        return now >= min(self.complete_from, self.denials_conclusive_from)

    def targets(self, service: str) -> tuple[candidates.Target, ...]:
        """Returns the targets of a service."""
        return self.by_service.get(service, ())

    @property
    def count(self) -> int:
        """Targets of all services."""
        return sum(map(len, self.by_service.values()))
