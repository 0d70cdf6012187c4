"""Compares shares of further load queries on ``heavy-tail``.

Prints the quantiles of the time to the answer by part of the load, and the
extra work, as means over several seeds::

    python -m clementinelead.replays.tail_comparison 0 0.2
"""

import collections
import dataclasses
import typing

import numpy as np
import typer

from clementinelead.replays import relay_processes
from clementinelead.replays import scales
from clementinelead.replays import simulations
from clementinelead.replays import tail_patterns

__all__ = ["Comparison", "compare"]

PARTS = {
    "tail": (0.0, 0.25),
    "slow": (0.25, 0.5),
    "mute": (0.5, 0.75),
    "burst": (0.75, 1.0),
    "all": (0.0, 1.0),
}
"""Begin and end of the parts of the load, as shares of its duration."""


@dataclasses.dataclass(frozen=True)
class Comparison:
    """Results of one share.

    Attributes:
        requests: Number of requests.
        executed: Requests that targets have executed.
        quantiles_ms: ``tail_patterns.QUANTILES`` of the time to the answer by
            part of the load, milliseconds.
        count_by_decision: Decisions and datagrams of the balancers.
    """

    requests: int
    executed: int
    quantiles_ms: dict[str, tuple[float, ...]]
    count_by_decision: dict[str, int]


def compare(
    share: float, scale: scales.Scale, seeds: typing.Iterable[int]
) -> Comparison:
    """Returns the results of a share, over all seeds.

    Args:
        share: Largest share of the flows that get further queries, 0 to 1.
        scale: Size of the load.
        seeds: Seeds of the loads and the targets.
    """
    options = relay_processes.Options(further_queries_share=share)
    counts: collections.Counter[str] = collections.Counter()
    requests = executed = 0
    quantiles = collections.defaultdict(list)
    for seed in seeds:
        load = tail_patterns.heavy_tail(scale, np.random.default_rng(seed))
        run = simulations.replay(load, "relayed", seed, options)
        requests += len(run.outcomes)
        executed += sum(run.served_by_target.values())
        counts.update(run.count_by_decision)
        for part, (begin, end) in PARTS.items():
            quantiles[part].append(
                tail_patterns.answer_quantiles_ms(run, begin, end)
            )
    means = {
        part: tuple(map(float, np.mean(rows, axis=0)))
        for part, rows in quantiles.items()
    }
    return Comparison(requests, executed, means, dict(counts))


def _print(share: float, result: Comparison) -> None:
    counts = collections.Counter(result.count_by_decision)
    print(
        f"{share}: {result.requests} requests, a request:"
        f" {result.executed / result.requests:.4f} executed,"
        f" {counts['placed'] / result.requests:.3f} flows placed,"
        f" {counts['datagrams'] / result.requests:.2f} datagrams"
    )
    for part, values in result.quantiles_ms.items():
        print(f"  {part:6}", *(f"{value:8.1f}" for value in values))
    extra = {
        cause: count
        for cause, count in sorted(counts.items())
        if cause.startswith("asked_")
    }
    print(" ", extra)


def main(
    shares: list[float],
    targets: int = 41,
    seconds: float = 24.0,
    utilisation: float = 0.5,
    seeds: int = 3,
) -> None:
    """Compares shares such as 0 and 0.2."""
    scale = scales.Scale(targets, seconds, utilisation)
    for share in shares:
        _print(share, compare(share, scale, range(1, seeds + 1)))


if __name__ == "__main__":
    typer.run(main)
