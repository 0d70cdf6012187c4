"""Services of a run and their targets."""

import dataclasses

__all__ = ["Group", "TargetSpec"]


@dataclasses.dataclass(frozen=True)
class TargetSpec:
    """A target and its side process.

    Attributes:
        id: Identifier of the target.
        service: Name of its service.
        speed: Seconds of work at speed 1 that it does per second.
        slots: Number of slots.
        weight: Weight in the settings of the side process.
    """

    id: str
    service: str
    speed: float
    slots: int
    weight: float


@dataclasses.dataclass(frozen=True)
class Group:
    """A service, its settings and its targets.

    Attributes:
        service: Name of the service.
        address: IP address of the service.
        port: Port of the service.
        speeds: Speed of each target.
        slots: Number of slots of each target.
        protocol: Setting of the service, as are the next four fields.
        known_speeds: Whether the targets' weights equal their speeds.
    """

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
        """Returns the targets of the service, one for each speed.

        A target's weight is its speed, or 1 unless ``known_speeds`` is set.
        """
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
