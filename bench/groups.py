"""Services of a run with their targets."""

import dataclasses

__all__ = ["Group", "TargetSpec"]


@dataclasses.dataclass(frozen=True)
class TargetSpec:
    """One target and its side process."""

    id: str
    service: str
    speed: float
    slots: int
    weight: float


@dataclasses.dataclass(frozen=True)
class Group:
    """A service and its targets."""

    service: str
    address: str
    port: int
    speeds: tuple[float, ...]
    slots: int = 2
    protocol: str = "tcp"
    policy: str = "hunting"
    candidates: int = 7
    max_wait_s: float = 5.0
    slot_hold_s: float = 0.0
    known_speeds: bool = True

    def targets(self) -> list[TargetSpec]:
        """Returns the targets of the service."""
        return [
            TargetSpec(
                f"{self.service}-{number}",
                self.service,
                speed,
                self.slots,
                speed if self.known_speeds else 1.0,
            )
            for number, speed in enumerate(self.speeds)
        ]
