"""Synthetic load whose slowest answers are far slower than the others."""

import collections.abc

import numpy as np

from clementinelead.replays import calls
from clementinelead.replays import loads
from clementinelead.replays import scales
from clementinelead.replays import simulations
from clementinelead.replays import zoned_loads

__all__ = ["QUANTILES", "answer_quantiles_ms", "heavy_tail"]

SERVICE_TIME_GAMMA_SHAPE = 4.0
"""Shape of the service times; their deviation is half of the mean."""

HEAVY_SHARE = 0.03
"""Share of the requests that need ``HEAVY_FACTOR`` times the usual work."""

HEAVY_FACTOR = 7.0

UNUSUAL_TARGET_SHARE = 0.1
"""Share of the targets that become slow, and of those that become mute."""

SLOWNESS = 8.0
BURST_FACTOR = 1.8

QUANTILES = (0.5, 0.9, 0.99, 0.999)
"""Quantiles of the time to the answer that are compared."""

PAGE = loads.RequestKind("page", 0.227, 1.7, idempotent=True)
EDIT = loads.RequestKind("edit", 0.278, 2.2, worth=2.0)
PAGE_SHARE = 0.5
MEAN_WORK_S = {PAGE.name: 0.019, EDIT.name: 0.025}


def _work_s(kind: loads.RequestKind, generator: np.random.Generator) -> float:
    """Returns the work of a request, sometimes much more than the usual."""
    factor = HEAVY_FACTOR if generator.random() < HEAVY_SHARE else 1.0
    usual_s = generator.gamma(
        SERVICE_TIME_GAMMA_SHAPE,
        MEAN_WORK_S[kind.name] / SERVICE_TIME_GAMMA_SHAPE,
    )
    return float(factor * usual_s)


def _arrivals(
    scale: scales.Scale, generator: np.random.Generator
) -> tuple[loads.Arrival, ...]:
    """Returns a Poisson process with a burst in its last quarter."""
    mean_work_s = (
        PAGE_SHARE * MEAN_WORK_S[PAGE.name]
        + (1 - PAGE_SHARE) * MEAN_WORK_S[EDIT.name]
    ) * (1 + HEAVY_SHARE * (HEAVY_FACTOR - 1))
    usual_rate = scale.utilisation * scale.targets / mean_work_s
    at_s = 0.0
    arrivals: list[loads.Arrival] = []
    while True:
        factor = BURST_FACTOR if at_s >= 3 * scale.seconds / 4 else 1.0
        at_s += generator.exponential(1.0 / (usual_rate * factor))
        if at_s >= scale.seconds:
            return tuple(arrivals)
        kind = PAGE if generator.random() < PAGE_SHARE else EDIT
        zone = zoned_loads.ZONES[
            int(generator.integers(len(zoned_loads.ZONES)))
        ]
        arrivals.append(
            loads.Arrival(at_s, zone, kind.name, _work_s(kind, generator))
        )


def _changes(
    scale: scales.Scale,
) -> collections.abc.Iterator[loads.Change]:
    """Yields a slow part, then a mute part, of a tenth of the targets each."""
    count = max(1, round(scale.targets * UNUSUAL_TARGET_SHARE))
    targets = zoned_loads.targets(scale)
    parts = (
        (1 / 4, targets[:count], loads.Condition(slowness=SLOWNESS)),
        (1 / 2, targets[count : 2 * count], loads.Condition(mute=1.0)),
    )
    for begin, changed, condition in parts:
        for target in changed:
            begin_s = begin * scale.seconds
            end_s = begin_s + scale.seconds / 4
            yield loads.Change(begin_s, target.name, condition)
            yield loads.Change(end_s, target.name, loads.Condition())


def heavy_tail(
    scale: scales.Scale, generator: np.random.Generator
) -> loads.Load:
    """Returns a load with a few heavy requests, slow and mute targets, a burst.

    A tenth of the targets is slow in the second quarter, another tenth answers
    nothing in the third one; the burst is in the last one.
    """
    return loads.Load(
        "heavy-tail",
        (PAGE, EDIT),
        zoned_loads.targets(scale),
        _arrivals(scale, generator),
        tuple(sorted(_changes(scale), key=lambda change: change.at_s)),
    )


def answer_quantiles_ms(
    run: simulations.Replay, from_share: float = 0.0, to_share: float = 1.0
) -> tuple[float, ...]:
    """Returns ``QUANTILES`` of the time to the answer, milliseconds.

    A request without an answer counts with the time until its caller gave up.

    Args:
        run: The results.
        from_share: Begin of the arrivals to count, as a share of the load.
        to_share: End of them.
    """
    seconds = max(outcome.arrival.at_s for outcome in run.outcomes)
    kinds = run.load.kind_by_name
    durations_s = [
        outcome.duration_s
        if outcome.result is calls.Result.SERVED
        else kinds[outcome.arrival.kind].timeout_s
        for outcome in run.outcomes
        if from_share <= outcome.arrival.at_s / seconds <= to_share
    ]
    return tuple(
        float(quantile) * 1000
        for quantile in np.quantile(durations_s, QUANTILES)
    )
