"""Sizes of synthetic loads."""

import dataclasses

__all__ = ["Scale"]


@dataclasses.dataclass(frozen=True)
class Scale:
    """Size of a load.

    Attributes:
        targets: Number of targets.
        seconds: Duration of the arrivals, seconds.
        utilisation: Utilisation of the targets' slots at the usual rate.
    """

    targets: int = 12
    seconds: float = 8.0
    utilisation: float = 0.5
