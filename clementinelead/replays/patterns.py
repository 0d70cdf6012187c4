"""Load patterns, drawn at random from a seed."""

import collections.abc
import dataclasses

import numpy as np

from clementinelead.replays import loads
from clementinelead.replays import processors

__all__ = ["PATTERNS", "Scale", "generate"]

ZONES = ("a", "b")
REQUEST_KIND = loads.RequestKind("lookup", objective_s=0.2, timeout_s=1.4)
MEAN_SERVICE_TIME_S = 0.02
SERVICE_TIME_GAMMA_SHAPE = (
    4.0  # of the gamma distribution; deviation half of the mean
)
OUTAGE_S = 1.0
BALANCER_PROCESSOR_SHARE = 0.1
"""Share of a processor that a balancer has where that is short."""

LISTENING_DELAY_S = 0.5
SERVING_DELAY_S = 1.5
"""Times from a kill of a balancer until it takes and reads datagrams."""

SLOWNESS_FACTORS = (0.6, 1.0, 1.6)
"""Targets differ threefold in speed, as the users' do."""


@dataclasses.dataclass(frozen=True)
class Scale:
    """How large a pattern is.

    Attributes:
        targets: Number of targets.
        seconds: Length of the load, seconds.
        utilisation: Share of the targets' time that the usual load takes.
    """

    targets: int = 12
    seconds: float = 8.0
    utilisation: float = 0.5


def _targets(scale: Scale) -> tuple[loads.TargetSpec, ...]:
    return tuple(
        loads.TargetSpec(
            f"t{number}",
            ZONES[number % len(ZONES)],
            slowness=SLOWNESS_FACTORS[number % len(SLOWNESS_FACTORS)],
        )
        for number in range(scale.targets)
    )


def _capacity(targets: tuple[loads.TargetSpec, ...]) -> float:
    """Returns how many requests all targets can serve, per second."""
    return sum(
        target.slots / (MEAN_SERVICE_TIME_S * target.slowness)
        for target in targets
    )


def _arrivals(
    scale: Scale,
    generator: np.random.Generator,
    factor: collections.abc.Callable[[float], float] = lambda _: 1.0,
    zone_share: collections.abc.Callable[[float], float] = lambda _: 0.5,
) -> tuple[loads.Arrival, ...]:
    """Returns Poisson arrivals.

    Args:
        scale: Size of the load.
        generator: Source of randomness.
        factor: Factor of the usual rate by time.
        zone_share: Share of the callers that are in the first zone, by time.
    """
    rate = _capacity(_targets(scale)) * scale.utilisation
    moment = 0.0
    found: list[loads.Arrival] = []
    while True:
        moment += generator.exponential(1.0 / (rate * factor(moment)))
        if moment >= scale.seconds:
            return tuple(found)
        first = generator.random() < zone_share(moment)
        work = generator.gamma(
            SERVICE_TIME_GAMMA_SHAPE,
            MEAN_SERVICE_TIME_S / SERVICE_TIME_GAMMA_SHAPE,
        )
        zone = ZONES[0] if first else ZONES[1]
        found.append(
            loads.Arrival(moment, zone, REQUEST_KIND.name, float(work))
        )


def _load(
    name: str,
    scale: Scale,
    arrivals: tuple[loads.Arrival, ...],
    changes: collections.abc.Iterable[loads.Change] = (),
) -> loads.Load:
    ordered = tuple(sorted(changes, key=lambda change: change.at_s))
    return loads.Load(name, (REQUEST_KIND,), _targets(scale), arrivals, ordered)


def _spell(
    scale: Scale, condition: loads.Condition, share: float = 1 / 6
) -> list[loads.Change]:
    """Puts a share of the targets into a condition for the middle half."""
    count = max(1, round(scale.targets * share))
    changes = []
    for target in _targets(scale)[:count]:
        begin = loads.Change(scale.seconds / 4, target.name, condition)
        end = loads.Change(
            3 * scale.seconds / 4, target.name, loads.Condition()
        )
        changes += [begin, end]
    return changes


def calm(scale: Scale, generator: np.random.Generator) -> loads.Load:
    """Half of what the targets can serve."""
    return _load("calm", scale, _arrivals(scale, generator))


def burst(scale: Scale, generator: np.random.Generator) -> loads.Load:
    """Three times the usual load, above all capacity, for a quarter."""

    def factor(now: float) -> float:
        return 3.0 if 1 / 4 < now / scale.seconds < 1 / 2 else 1.0

    return _load("burst", scale, _arrivals(scale, generator, factor))


def slowdown(scale: Scale, generator: np.random.Generator) -> loads.Load:
    """A sixth of the targets take six times as long."""
    slow = _spell(scale, loads.Condition(slowness=6.0))
    return _load("slowdown", scale, _arrivals(scale, generator), slow)


def mute(scale: Scale, generator: np.random.Generator) -> loads.Load:
    """A sixth of the targets take requests and answer none."""
    silent = _spell(scale, loads.Condition(mute=1.0))
    return _load("mute", scale, _arrivals(scale, generator), silent)


def half_mute(scale: Scale, generator: np.random.Generator) -> loads.Load:
    """A sixth of the targets answer every other request."""
    silent = _spell(scale, loads.Condition(mute=0.5))
    return _load("half-mute", scale, _arrivals(scale, generator), silent)


def flapping(scale: Scale, generator: np.random.Generator) -> loads.Load:
    """A sixth of the targets go down and come up again once a second."""
    changes = []
    for target in _targets(scale)[: max(1, scale.targets // 6)]:
        for second in range(1, int(scale.seconds) - 1):
            down = loads.Condition(up=second % 2 == 0)
            changes.append(loads.Change(float(second), target.name, down))
    return _load("flapping", scale, _arrivals(scale, generator), changes)


def backlog(scale: Scale, generator: np.random.Generator) -> loads.Load:
    """All targets are gone for a second, and callers wait for them."""
    begin = scale.seconds / 4
    changes = []
    for target in _targets(scale):
        gone = loads.Condition(up=False)
        changes.append(loads.Change(begin, target.name, gone))
        back = loads.Change(begin + OUTAGE_S, target.name, loads.Condition())
        changes.append(back)
    return _load("backlog", scale, _arrivals(scale, generator), changes)


def moving(scale: Scale, generator: np.random.Generator) -> loads.Load:
    """Nearly all callers move from one availability zone to the other."""

    def share(now: float) -> float:
        return 0.95 if now < scale.seconds / 2 else 0.05

    arrivals = _arrivals(scale, generator, zone_share=share)
    return _load("moving", scale, arrivals)


def cold(scale: Scale, generator: np.random.Generator) -> loads.Load:
    """A sixth of the targets begin slow, as caches are empty."""
    count = max(1, scale.targets // 6)
    changes = []
    for target in _targets(scale)[:count]:
        slow = loads.Condition(slowness=3.0)
        changes.append(loads.Change(0.0, target.name, slow))
        warm = loads.Change(scale.seconds / 2, target.name, loads.Condition())
        changes.append(warm)
    return _load("cold", scale, _arrivals(scale, generator), changes)


def _restart(
    name: str, scale: Scale, generator: np.random.Generator, burst: float
) -> loads.Load:
    """Kills slow balancers at a quarter of the load, within a burst.

    Targets have room for twice the burst; the balancers are what is short.

    Args:
        name: Name of the load.
        scale: Its size.
        generator: Source of randomness.
        burst: Factor of the usual rate, from an eighth to five eighths.
    """

    def factor(now: float) -> float:
        return burst if 1 / 8 < now / scale.seconds < 5 / 8 else 1.0

    killed = scale.seconds / 4
    restart = loads.Restart(
        killed, killed + LISTENING_DELAY_S, killed + SERVING_DELAY_S
    )
    usual = dataclasses.replace(scale, utilisation=scale.utilisation / 4)
    load = _load(name, scale, _arrivals(usual, generator, factor))
    slow = loads.BalancerSpec(BALANCER_PROCESSOR_SHARE, (restart,))
    return dataclasses.replace(load, balancers=slow)


def restart(scale: Scale, generator: np.random.Generator) -> loads.Load:
    """Slow balancers are killed under the usual load."""
    return _restart("restart", scale, generator, 1.0)


def restart_in_burst(
    scale: Scale, generator: np.random.Generator
) -> loads.Load:
    """Slow balancers are killed while twice the usual load comes."""
    return _restart("restart-in-burst", scale, generator, 2.0)


def restart_in_surge(
    scale: Scale, generator: np.random.Generator
) -> loads.Load:
    """Slow balancers are killed while three times the usual load comes."""
    return _restart("restart-in-surge", scale, generator, 3.0)


def overload(
    scale: Scale, generator: np.random.Generator, factor: float = 1.0
) -> loads.Load:
    """More than slow balancers can place, for all the time.

    Args:
        scale: Its size.
        generator: Source of randomness.
        factor: Load, as a multiple of what the balancers can just place if
            they ask no target for it.
    """
    placed_per_s = (
        len(ZONES) * BALANCER_PROCESSOR_SHARE / processors.UNPROBED_FLOW_TIME_S
    )
    balanced = placed_per_s / _capacity(_targets(scale))
    usual = dataclasses.replace(scale, utilisation=balanced * factor)
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
)


def generate(name: str, scale: Scale, seed: int) -> loads.Load:
    """Returns a load.

    Args:
        name: Name of a pattern.
        scale: Its size.
        seed: Draws arrivals and work.

    Raises:
        KeyError: There is no such pattern.

    Example:
        >>> load = generate("calm", Scale(targets=4, seconds=1.0), seed=1)
        >>> load.name, len(load.targets)
        ('calm', 4)
    """
    by_name = {
        pattern.__name__.replace("_", "-"): pattern for pattern in PATTERNS
    }
    return by_name[name](scale, np.random.default_rng(seed))
