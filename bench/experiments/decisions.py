"""Ways of each decision, compared on replays of the same loads."""

import collections.abc
import concurrent.futures
import contextlib
import dataclasses
import statistics
import types
import unittest.mock

from scipy import stats

from clementinelead.relays import candidates
from clementinelead.relays import load_queries
from clementinelead.relays import pending_flows
from clementinelead.relays import placing
from clementinelead.relays import recent_loads
from clementinelead.relays import workload
from clementinelead.replays import patterns
from clementinelead.replays import scales
from clementinelead.replays import simulations
from clementinelead.replays import summaries

__all__ = ["PATTERNS", "WAYS", "Comparison", "Way", "compare"]

CONFIDENCE_LEVEL = 0.95

PATTERNS = (
    "burst",
    "slowdown",
    "mute",
    "flapping",
    "backlog",
    "cold",
    "restart-in-burst",
    "restart-in-surge",
    "mixed-burst",
    "evacuation",
    "warm-up",
)
"""Load patterns at which a decision matters."""


@dataclasses.dataclass(frozen=True)
class Way:
    """A way to decide that differs from the standing one.

    Attributes:
        decision: The decision.
        name: Name of the way.
        module: Module of the constant.
        constant: Name of the constant that selects the way.
        value: Its value for this way.
    """

    decision: str
    name: str
    module: types.ModuleType
    constant: str
    value: object


WAYS = (
    Way("reject", "after 0.4 s", pending_flows, "MAX_WAIT_S", 0.4),
    Way("reject", "after 0.8 s", pending_flows, "MAX_WAIT_S", 0.8),
    Way("next", "constant delay", placing, "HOLD_BACKOFF_FACTOR", 1.0),
    Way("next", "delay doubles", placing, "HOLD_BACKOFF_FACTOR", 2.0),
    Way("next", "first delay 10 ms", pending_flows, "FIRST_HOLD_DELAY_S", 0.01),
    Way("place", "2 load answers", candidates, "MAX_QUERIED", 2),
    Way("place", "6 load answers", candidates, "MAX_QUERIED", 6),
    Way("place", "least load", pending_flows, "EQUIVALENT_LOAD_SHARE", 0.0),
    Way("place", "loads not reused", recent_loads, "REUSE_S", 0.0),
    Way("place", "zone cost 12 ms", pending_flows, "CROSS_ZONE_COST_MS", 12),
    Way(
        "place", "reply time 60 ms", load_queries, "LOAD_REPLY_TIMEOUT_S", 0.06
    ),
    Way("load", "work in hand only", workload, "MAX_UTILISATION", 0.0),
    Way("load", "waits up to objective", workload, "MAX_OBJECTIVE_SHARE", 1.0),
    Way("load", "waits up to half", workload, "MAX_OBJECTIVE_SHARE", 0.5),
)


@dataclasses.dataclass(frozen=True)
class Comparison:
    """Paired difference in worth between a way and the standing one.

    Attributes:
        way: The way.
        pattern: Name of the load pattern.
        standing: Mean worth of the standing way, from 0 to 1.
        change: Mean change with the way.
        margin: Half of the 95% confidence interval of the change.
    """

    way: Way
    pattern: str
    standing: float
    change: float
    margin: float


def _worth(pattern: str, scale: scales.Scale, seed: int) -> float:
    load = patterns.generate(pattern, scale, seed)
    return summaries.worth(simulations.replay(load, "relayed", seed))


def _worths(
    number: int | None, pattern: str, scale: scales.Scale, seeds: int
) -> list[float]:
    """Returns the worth for each seed, with the way of a number in ``WAYS``."""
    selected: contextlib.AbstractContextManager[object]
    selected = contextlib.nullcontext()
    if number is not None:
        way = WAYS[number]
        selected = unittest.mock.patch.object(
            way.module, way.constant, way.value
        )
    with selected:
        return [_worth(pattern, scale, seed + 1) for seed in range(seeds)]


def compare(
    names: collections.abc.Sequence[str],
    scale: scales.Scale,
    seeds: int,
    processes: int,
) -> collections.abc.Iterator[Comparison]:
    """Yields the comparison of each way under each load pattern.

    Args:
        names: Names of the patterns.
        scale: Size of the generated loads.
        seeds: Number of loads generated from each pattern, at least 2.
        processes: Processes that replay loads at a time.
    """
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        standing_by_pattern = {
            name: pool.submit(_worths, None, name, scale, seeds)
            for name in names
        }
        running = [
            (way, name, pool.submit(_worths, number, name, scale, seeds))
            for number, way in enumerate(WAYS)
            for name in names
        ]
        for way, name, future in running:
            standing = standing_by_pattern[name].result()
            changes = [
                new - old
                for new, old in zip(future.result(), standing, strict=True)
            ]
            error = float(stats.sem(changes))
            factor = stats.t.ppf((1 + CONFIDENCE_LEVEL) / 2, seeds - 1)
            yield Comparison(
                way,
                name,
                statistics.fmean(standing),
                statistics.fmean(changes),
                float(factor) * error,
            )
