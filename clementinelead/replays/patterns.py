"""Synthetic load patterns, generated from a seed."""

import collections.abc
import dataclasses

import numpy as np

from clementinelead.replays import competing_patterns
from clementinelead.replays import loads
from clementinelead.replays import mixed_patterns
from clementinelead.replays import processors
from clementinelead.replays import scales
from clementinelead.replays import tail_patterns
from clementinelead.replays import uneven_patterns

__all__ = ["PATTERNS", "generate"]

ZONES = ("a", "b")
REQUEST_KIND = loads.RequestKind("lookup", objective_s=0.2, timeout_s=1.4)
MEAN_SERVICE_TIME_S = 0.02
"""Mean service time at a target of slowness 1, seconds."""

SERVICE_TIME_GAMMA_SHAPE = 4.0
"""Shape of the service times; their deviation is half of the mean."""

OUTAGE_S = 1.0
"""Time for which all targets are down in ``backlog``, seconds."""

BALANCER_PROCESSOR_SHARE = 0.1
"""Share of a processor of a balancer, in patterns that limit it."""

LISTENING_DELAY_S = 0.5
"""Time from a kill of a balancer until its sockets are open, seconds."""

SERVING_DELAY_S = 1.5
"""Time from a kill of a balancer until it reads datagrams, seconds."""

SLOWNESS_FACTORS = (0.6, 1.0, 1.6)
"""Slowness of the targets, in turn.

Speeds differ threefold, as those of the users' targets do.
"""


def _targets(scale: scales.Scale) -> tuple[loads.TargetSpec, ...]:
    return tuple(
        loads.TargetSpec(
            f"t{number}",
            ZONES[number % len(ZONES)],
            slowness=SLOWNESS_FACTORS[number % len(SLOWNESS_FACTORS)],
        )
        for number in range(scale.targets)
    )


def _capacity(targets: tuple[loads.TargetSpec, ...]) -> float:
    """Returns the mean rate that all targets can serve, requests per second."""
    return sum(
        target.slots / (MEAN_SERVICE_TIME_S * target.slowness)
        for target in targets
    )


def _arrivals(
    scale: scales.Scale,
    generator: np.random.Generator,
    factor: collections.abc.Callable[[float], float] = lambda _: 1.0,
    zone_share: collections.abc.Callable[[float], float] = lambda _: 0.5,
) -> tuple[loads.Arrival, ...]:
    """Returns the arrivals of a Poisson process, with gamma service times.

    Args:
        scale: Size of the load.
        generator: Source of randomness.
        factor: Factor of the usual rate, by time in seconds.
        zone_share: Share of callers in the first zone, by time in seconds.
    """
    rate = _capacity(_targets(scale)) * scale.utilisation
    at_s = 0.0
    arrivals: list[loads.Arrival] = []
    while True:
        at_s += generator.exponential(1.0 / (rate * factor(at_s)))
        if at_s >= scale.seconds:
            return tuple(arrivals)
        in_first_zone = generator.random() < zone_share(at_s)
        work_s = generator.gamma(
            SERVICE_TIME_GAMMA_SHAPE,
            MEAN_SERVICE_TIME_S / SERVICE_TIME_GAMMA_SHAPE,
        )
        zone = ZONES[0] if in_first_zone else ZONES[1]
        arrivals.append(
            loads.Arrival(at_s, zone, REQUEST_KIND.name, float(work_s))
        )


def _load(
    name: str,
    scale: scales.Scale,
    arrivals: tuple[loads.Arrival, ...],
    changes: collections.abc.Iterable[loads.Change] = (),
) -> loads.Load:
    sorted_changes = tuple(sorted(changes, key=lambda change: change.at_s))
    return loads.Load(
        name, (REQUEST_KIND,), _targets(scale), arrivals, sorted_changes
    )


def _temporary_condition(
    scale: scales.Scale, condition: loads.Condition, share: float = 1 / 6
) -> list[loads.Change]:
    """Returns changes that put targets into a condition for the middle half.

    Args:
        scale: Size of the load.
        condition: The condition from a quarter to three quarters of the load.
        share: Share of the targets that change; at least one does.
    """
    count = max(1, round(scale.targets * share))
    changes = []
    for target in _targets(scale)[:count]:
        begin = loads.Change(scale.seconds / 4, target.name, condition)
        end = loads.Change(
            3 * scale.seconds / 4, target.name, loads.Condition()
        )
        changes += [begin, end]
    return changes


def calm(scale: scales.Scale, generator: np.random.Generator) -> loads.Load:
    """Returns a load at the usual rate; by default half the capacity."""
    return _load("calm", scale, _arrivals(scale, generator))


def burst(scale: scales.Scale, generator: np.random.Generator) -> loads.Load:
    """Returns a load at three times the usual rate during its second quarter.

    With the default utilisation this exceeds the capacity of the targets.
    """

    def factor(now: float) -> float:
        return 3.0 if 1 / 4 < now / scale.seconds < 1 / 2 else 1.0

    return _load("burst", scale, _arrivals(scale, generator, factor))


def slowdown(scale: scales.Scale, generator: np.random.Generator) -> loads.Load:
    """Returns a load where a sixth of the targets is six times slower."""
    changes = _temporary_condition(scale, loads.Condition(slowness=6.0))
    return _load("slowdown", scale, _arrivals(scale, generator), changes)


def mute(scale: scales.Scale, generator: np.random.Generator) -> loads.Load:
    """Returns a load where a sixth of the targets answers no request."""
    changes = _temporary_condition(scale, loads.Condition(mute=1.0))
    return _load("mute", scale, _arrivals(scale, generator), changes)


def half_mute(
    scale: scales.Scale, generator: np.random.Generator
) -> loads.Load:
    """Returns a load where a sixth of the targets answers half the requests."""
    changes = _temporary_condition(scale, loads.Condition(mute=0.5))
    return _load("half-mute", scale, _arrivals(scale, generator), changes)


def flapping(scale: scales.Scale, generator: np.random.Generator) -> loads.Load:
    """Returns a load where a sixth of the targets goes down or up each second."""
    changes = []
    for target in _targets(scale)[: max(1, scale.targets // 6)]:
        for second in range(1, int(scale.seconds) - 1):
            down = loads.Condition(up=second % 2 == 0)
            changes.append(loads.Change(float(second), target.name, down))
    return _load("flapping", scale, _arrivals(scale, generator), changes)


def backlog(scale: scales.Scale, generator: np.random.Generator) -> loads.Load:
    """Returns a load where all targets are down for ``OUTAGE_S``.

    Callers that arrive meanwhile wait for them until their timeout.
    """
    start_s = scale.seconds / 4
    changes = []
    for target in _targets(scale):
        down = loads.Condition(up=False)
        changes.append(loads.Change(start_s, target.name, down))
        up = loads.Change(start_s + OUTAGE_S, target.name, loads.Condition())
        changes.append(up)
    return _load("backlog", scale, _arrivals(scale, generator), changes)


def moving(scale: scales.Scale, generator: np.random.Generator) -> loads.Load:
    """Returns a load whose callers move from one zone to the other.

    The share in the first availability zone falls from 95 % to 5 %.
    """

    def share(now: float) -> float:
        return 0.95 if now < scale.seconds / 2 else 0.05

    arrivals = _arrivals(scale, generator, zone_share=share)
    return _load("moving", scale, arrivals)


def cold(scale: scales.Scale, generator: np.random.Generator) -> loads.Load:
    """Returns a load where a sixth of the targets starts with cold caches.

    These are three times slower in the first half of the load.
    """
    count = max(1, scale.targets // 6)
    changes = []
    for target in _targets(scale)[:count]:
        slow = loads.Condition(slowness=3.0)
        changes.append(loads.Change(0.0, target.name, slow))
        warm = loads.Change(scale.seconds / 2, target.name, loads.Condition())
        changes.append(warm)
    return _load("cold", scale, _arrivals(scale, generator), changes)


def _restart(
    name: str, scale: scales.Scale, generator: np.random.Generator, burst: float
) -> loads.Load:
    """Returns a burst during which slow balancers are killed and restart.

    The balancers, with a share of a processor each, are the bottleneck: targets
    have capacity for twice the burst.

    Args:
        name: Name of the load.
        scale: Its size.
        generator: Source of randomness.
        burst: Factor of the usual rate, from an eighth to five eighths.
    """

    def factor(now: float) -> float:
        return burst if 1 / 8 < now / scale.seconds < 5 / 8 else 1.0

    killed_at_s = scale.seconds / 4
    restart = loads.Restart(
        killed_at_s,
        killed_at_s + LISTENING_DELAY_S,
        killed_at_s + SERVING_DELAY_S,
    )
    usual = dataclasses.replace(scale, utilisation=scale.utilisation / 4)
    load = _load(name, scale, _arrivals(usual, generator, factor))
    slow = loads.BalancerSpec(BALANCER_PROCESSOR_SHARE, (restart,))
    return dataclasses.replace(load, balancers=slow)


def restart(scale: scales.Scale, generator: np.random.Generator) -> loads.Load:
    """Returns a load where slow balancers restart at the usual rate."""
    return _restart("restart", scale, generator, 1.0)


def restart_in_burst(
    scale: scales.Scale, generator: np.random.Generator
) -> loads.Load:
    """Returns a load where slow balancers restart at twice the usual rate."""
    return _restart("restart-in-burst", scale, generator, 2.0)


def restart_in_surge(
    scale: scales.Scale, generator: np.random.Generator
) -> loads.Load:
    """Returns a load where slow balancers restart at three times the rate."""
    return _restart("restart-in-surge", scale, generator, 3.0)


def overload(
    scale: scales.Scale, generator: np.random.Generator, factor: float = 1.0
) -> loads.Load:
    """Returns a load that exceeds the capacity of slow balancers throughout.

    Args:
        scale: Its size.
        generator: Source of randomness.
        factor: Rate, as a multiple of the rate that the balancers can place
            if they probe no target.
    """
    placed_per_s = (
        len(ZONES) * BALANCER_PROCESSOR_SHARE / processors.UNPROBED_FLOW_TIME_S
    )
    utilisation_at_capacity = placed_per_s / _capacity(_targets(scale))
    usual = dataclasses.replace(
        scale, utilisation=utilisation_at_capacity * factor
    )
    load = _load("overload", usual, _arrivals(usual, generator))
    slow = loads.BalancerSpec(BALANCER_PROCESSOR_SHARE)
    return dataclasses.replace(load, balancers=slow)


PATTERNS = (
    calm,
    burst,
    slowdown,
    mute,
    half_mute,
    flapping,
    backlog,
    moving,
    cold,
    restart,
    restart_in_burst,
    restart_in_surge,
    mixed_patterns.mixed_burst,
    mixed_patterns.evacuation,
    mixed_patterns.warm_up,
    competing_patterns.orders_burst,
    competing_patterns.kill_in_burst,
    competing_patterns.new_flows,
    uneven_patterns.walking_crest,
    uneven_patterns.half_speed,
    tail_patterns.heavy_tail,
)


def generate(name: str, scale: scales.Scale, seed: int) -> loads.Load:
    """Returns the load of a named pattern.

    Args:
        name: Name of a function in ``PATTERNS``, with hyphens.
        scale: Its size.
        seed: Seed of arrivals and service times.

    Raises:
        KeyError: There is no such pattern.

    Example:
        >>> load = generate("calm", scales.Scale(targets=4, seconds=1.0), seed=1)
        >>> load.name, len(load.targets)
        ('calm', 4)
    """
    pattern_by_name = {
        pattern.__name__.replace("_", "-"): pattern for pattern in PATTERNS
    }
    return pattern_by_name[name](scale, np.random.default_rng(seed))
