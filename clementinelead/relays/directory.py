"""The targets of all services as a balancer knows them, and who answers."""

from clementinelead.relays import candidates
from clementinelead.relays import responsiveness

__all__ = ["Directory"]


class Directory:
    """Targets by service.

    Attributes:
        zone: Availability zone of this balancer.
        by_service: Targets whose side processes live, by service.
        near: Addresses of the targets in this balancer's zone.
        responsive: Which side processes answer.
        complete_from: From when on all side processes are known, seconds.
    """

    def __init__(self, zone: str):
        self.zone = zone
        self.by_service: dict[str, tuple[candidates.Target, ...]] = {}
        self.near: frozenset[tuple[str, int]] = frozenset()
        self.responsive = responsiveness.Responsiveness()
        self.complete_from = float("inf")

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
                self.responsive.forget(target.address)
        self.by_service[service] = targets
        self.near = frozenset(
            target.address
            for known in self.by_service.values()
            for target in known
            if target.zone == self.zone
        )

    def targets(self, service: str) -> tuple[candidates.Target, ...]:
        """Returns the targets of a service."""
        return self.by_service.get(service, ())

    @property
    def count(self) -> int:
        """Targets of all services."""
        return sum(map(len, self.by_service.values()))
