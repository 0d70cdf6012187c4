"""Synthetic loads whose demand or targets are uneven."""

import math

import numpy as np

from clementinelead.replays import class_arrivals
from clementinelead.replays import loads
from clementinelead.replays import scales
from clementinelead.replays import zoned_loads

__all__ = ["HEAVY", "KIND_LOADS", "half_speed", "walking_crest"]

KIND_LOADS = (
    class_arrivals.KindLoad(
        loads.RequestKind("page", 0.227, 1.7, 1.0, 0.3, 2, True),
        mean_work_s=0.019,
        rate=3.5,
        requests_per_flow=20.0,
    ),
    class_arrivals.KindLoad(
        loads.RequestKind("edit", 0.278, 2.2, 2.0, 0.3, 1, False),
        mean_work_s=0.025,
        rate=1.0,
    ),
)
"""Page streams and edits."""

HEAVY = class_arrivals.HeavyWork(share=0.03, factor=7.0)

CREST_AMPLITUDE = 0.55
"""Largest deviation of a zone's rate from the usual, as a share of it."""

CREST_DELAY = 0.08
"""Time between the crests of neighbouring zones, in periods."""

SLOW_FACTOR = 8.0
SLOW_PART = (1 / 3, 2 / 3)
"""Begin and end of the time of slow targets, as shares of the load."""


def _load(
    name: str,
    scale: scales.Scale,
    generator: np.random.Generator,
    factor: class_arrivals.RateFactor,
    peak: float,
    changes: tuple[loads.Change, ...] = (),
) -> loads.Load:
    return zoned_loads.create(
        name,
        KIND_LOADS,
        zoned_loads.targets(scale),
        scale,
        factor,
        peak,
        generator,
        HEAVY,
        changes,
    )


def walking_crest(
    scale: scales.Scale, generator: np.random.Generator
) -> loads.Load:
    """Returns a load whose demand rises and falls once in each zone.

    The crest moves from zone to zone.
    """

    def factor(kind: str, zone: str, now: float) -> float:
        phase = now / scale.seconds - CREST_DELAY * zoned_loads.ZONES.index(
            zone
        )
        return 1 + CREST_AMPLITUDE * math.sin(2 * math.pi * phase)

    peak = 1 + CREST_AMPLITUDE
    return _load("walking-crest", scale, generator, factor, peak)


def half_speed(
    scale: scales.Scale, generator: np.random.Generator
) -> loads.Load:
    """Returns a load where a quarter of the targets is slow for a third.

    The slow targets are in different zones.
    """
    begin_s, end_s = (share * scale.seconds for share in SLOW_PART)
    slow = [
        target.name
        for number, target in enumerate(zoned_loads.targets(scale))
        if zoned_loads.is_unusual(number)
    ]
    condition = loads.Condition(slowness=SLOW_FACTOR)
    begins = [loads.Change(begin_s, name, condition) for name in slow]
    ends = [loads.Change(end_s, name, loads.Condition()) for name in slow]
    return _load(
        "half-speed",
        scale,
        generator,
        lambda kind, zone, now: 1.0,
        1.0,
        (*begins, *ends),
    )
