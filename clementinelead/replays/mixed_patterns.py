"""Synthetic loads with several kinds of requests and four zones."""

import collections.abc
import dataclasses

import numpy as np

from clementinelead.replays import loads
from clementinelead.replays import scales
from clementinelead.replays import zoned_loads

__all__ = ["WARMUP", "evacuation", "mixed_burst", "warm_up"]

SERVICE_TIME_GAMMA_SHAPE = 4.0
"""Shape of the service times; their deviation is half of the mean."""

SLOWNESS_FACTORS = (0.55, 1.2, 1.2, 1.2)
"""Slowness of the targets of each zone, in turn."""

WARMUP = loads.WarmupSpec(flows_per_s=8.0)
WARMUP_S = 2.0
WARMUP_SLOWNESS = 1.6


@dataclasses.dataclass(frozen=True)
class _MixedKind:
    kind: loads.RequestKind
    mean_work_s: float
    share: float


_KINDS = (
    _MixedKind(loads.RequestKind("query", 0.4, 1.7), 0.053, 2 / 3),
    _MixedKind(loads.RequestKind("update", 0.5, 2.2, 2.0), 0.069, 1 / 3),
)


def _targets(scale: scales.Scale) -> tuple[loads.TargetSpec, ...]:
    return tuple(
        loads.TargetSpec(
            f"t{number}",
            zoned_loads.ZONES[number % len(zoned_loads.ZONES)],
            slowness=SLOWNESS_FACTORS[
                number // len(zoned_loads.ZONES) % len(SLOWNESS_FACTORS)
            ],
        )
        for number in range(scale.targets)
    )


def _arrivals(
    scale: scales.Scale,
    generator: np.random.Generator,
    factor: collections.abc.Callable[[float], float],
) -> tuple[loads.Arrival, ...]:
    """Returns the arrivals of a Poisson process at a varying rate.

    Args:
        scale: Size of the load.
        generator: Source of randomness.
        factor: Factor of the usual rate, by time in seconds.
    """
    mean_work_s = sum(mixed.share * mixed.mean_work_s for mixed in _KINDS)
    rate = scale.utilisation * sum(
        target.slots / (mean_work_s * target.slowness)
        for target in _targets(scale)
    )
    at_s = 0.0
    arrivals: list[loads.Arrival] = []
    while True:
        at_s += generator.exponential(1.0 / (rate * factor(at_s)))
        if at_s >= scale.seconds:
            return tuple(arrivals)
        mixed = _KINDS[int(generator.random() >= _KINDS[0].share)]
        zone = zoned_loads.ZONES[
            int(generator.integers(len(zoned_loads.ZONES)))
        ]
        work_s = generator.gamma(
            SERVICE_TIME_GAMMA_SHAPE,
            mixed.mean_work_s / SERVICE_TIME_GAMMA_SHAPE,
        )
        arrivals.append(
            loads.Arrival(at_s, zone, mixed.kind.name, float(work_s))
        )


def _load(
    name: str,
    scale: scales.Scale,
    arrivals: tuple[loads.Arrival, ...],
    changes: collections.abc.Iterable[loads.Change] = (),
) -> loads.Load:
    return loads.Load(
        name,
        tuple(mixed.kind for mixed in _KINDS),
        _targets(scale),
        arrivals,
        tuple(sorted(changes, key=lambda change: change.at_s)),
        warmup=WARMUP,
    )


def _burst(
    scale: scales.Scale, begin: float, end: float, peak: float
) -> collections.abc.Callable[[float], float]:
    """Returns a factor that is raised in a part of the load.

    Args:
        scale: Size of the load.
        begin: Begin of the burst as a share of the load.
        end: End of the burst as a share of the load.
        peak: Factor of the usual rate in it.
    """

    def factor(now: float) -> float:
        return peak if begin < now / scale.seconds < end else 1.0

    return factor


def _warm_up_from(
    at_s: float, target: loads.TargetSpec
) -> tuple[loads.Change, loads.Change]:
    """Returns the changes of a target that warms up from a time on."""
    cold = loads.Condition(slowness=WARMUP_SLOWNESS, warmup_s=WARMUP_S)
    return (
        loads.Change(at_s, target.name, cold),
        loads.Change(at_s + WARMUP_S, target.name, loads.Condition()),
    )


def mixed_burst(
    scale: scales.Scale, generator: np.random.Generator
) -> loads.Load:
    """Returns a load above the capacity of all targets in a quarter of it."""
    factor = _burst(scale, 1 / 4, 1 / 2, 3.0)
    arrivals = _arrivals(scale, generator, factor)
    return _load("mixed-burst", scale, arrivals)


def evacuation(
    scale: scales.Scale, generator: np.random.Generator
) -> loads.Load:
    """Returns a load where a zone is evacuated and comes back in a burst.

    Its targets have become cold just before the evacuation ends.
    """
    begin_s, end_s = scale.seconds / 4, scale.seconds / 2
    factor = _burst(scale, 1 / 2, 3 / 4, 1.4)
    zone = zoned_loads.ZONES[0]
    changes = [
        change
        for target in _targets(scale)
        if target.zone == zone
        for change in _warm_up_from(end_s - 0.1, target)
    ]
    load = _load(
        "evacuation", scale, _arrivals(scale, generator, factor), changes
    )
    away = (loads.Evacuation(zone, begin_s, end_s),)
    return dataclasses.replace(load, evacuations=away)


def warm_up(scale: scales.Scale, generator: np.random.Generator) -> loads.Load:
    """Returns a load whose peak meets half of the targets just started."""
    begin_s = 3 * scale.seconds / 8
    factor = _burst(scale, 3 / 8, 5 / 8, 1.3)
    down = loads.Condition(up=False)
    changes: list[loads.Change] = []
    for target in _targets(scale)[::2]:
        changes.append(loads.Change(begin_s - 0.5, target.name, down))
        changes += _warm_up_from(begin_s, target)
    return _load("warm-up", scale, _arrivals(scale, generator, factor), changes)
