"""The service whose callers compete, with an urgent and a usual route."""

import dataclasses

from bench.soak import displacements
from clementinelead.platform.standins import node_files
from clementinelead.platform.standins import targets

__all__ = ["ENDPOINTS", "SERVICE", "USUAL_PRIORITY", "Settings", "routes"]

SERVICE = "orders"
ENDPOINTS = (("198.18.0.3", 443), ("198.18.0.3", 80))
"""Addresses of the urgent and of the usual route."""

USUAL_PRIORITY = 2


@dataclasses.dataclass(frozen=True)
class Settings:
    """Settings of the service.

    Attributes:
        target_count: Number of its targets.
        behaviour: How they serve requests.
        objectives_s: Objectives of the urgent and of the usual route, seconds.
        timeouts_s: Likewise time budgets.
    """

    target_count: int = 1
    behaviour: targets.Behaviour = dataclasses.field(
        default_factory=targets.Behaviour
    )
    objectives_s: tuple[float, float] = (displacements.OBJECTIVE_S,) * 2
    timeouts_s: tuple[float, float] = (1.5, 1.5)


def routes(settings: Settings, priority: int) -> list[dict[str, object]]:
    """Returns the urgent and the usual route.

    Args:
        settings: Settings of the service.
        priority: Priority of the urgent route.
    """
    return [
        node_files.route_entry(
            f"compete{number}",
            ENDPOINTS[number],
            SERVICE,
            (priority, USUAL_PRIORITY)[number],
            round(settings.objectives_s[number] * 1000),
            round(settings.timeouts_s[number] * 1000),
        )
        for number in range(len(ENDPOINTS))
    ]
