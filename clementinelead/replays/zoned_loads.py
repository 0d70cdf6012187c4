"""Common parts of the synthetic loads whose targets are in four zones."""

import collections.abc

import numpy as np

from clementinelead.replays import class_arrivals
from clementinelead.replays import loads
from clementinelead.replays import scales

__all__ = ["CALLERS", "ZONES", "create", "is_unusual", "targets"]

ZONES = ("a", "b", "c", "d")

CALLERS = loads.CallerSpec(
    first_retransmission_s=0.2,
    max_retransmission_s=1.6,
    opening_timeout_s=1.4,
    retry_delay_s=0.3,
    reset_is_refusal=False,
)
"""Behaviour of the users' callers.

Refused callers come back after some hundred milliseconds.
"""


def is_unusual(number: int) -> bool:
    """Returns whether a target is in the quarter that differs from the rest.

    These targets are in different zones.

    Args:
        number: Number of the target.
    """
    return number % 4 == number // 4 % 4


def targets(
    scale: scales.Scale,
    slowness: collections.abc.Callable[[int], float] = lambda number: 1.0,
) -> tuple[loads.TargetSpec, ...]:
    """Returns targets with one slot; the zones take turns.

    Args:
        scale: Size of the load.
        slowness: Slowness of a target, by its number.
    """
    return tuple(
        loads.TargetSpec(
            f"t{number}",
            ZONES[number % len(ZONES)],
            slots=1,
            slowness=slowness(number),
        )
        for number in range(scale.targets)
    )


def create(
    name: str,
    kind_loads: tuple[class_arrivals.KindLoad, ...],
    all_targets: tuple[loads.TargetSpec, ...],
    scale: scales.Scale,
    factor: class_arrivals.RateFactor,
    peak: float,
    generator: np.random.Generator,
    heavy: class_arrivals.HeavyWork = class_arrivals.HeavyWork(),
    changes: tuple[loads.Change, ...] = (),
) -> loads.Load:
    """Returns a load of several kinds of requests.

    Args:
        name: Name of the load.
        kind_loads: The kinds.
        all_targets: The targets.
        scale: Size of the load.
        factor: Factor of the usual rate.
        peak: Upper bound of the factor.
        generator: Source of randomness.
        heavy: Requests that need more than the usual work.
        changes: Changes of the targets, in the order of time.
    """
    arrivals = class_arrivals.draw(
        kind_loads, all_targets, scale, factor, peak, generator, heavy
    )
    return loads.Load(
        name,
        tuple(each.kind for each in kind_loads),
        all_targets,
        arrivals,
        changes,
        callers=CALLERS,
        fast_side_ticks=True,
    )
