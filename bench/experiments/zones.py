"""``python -m bench.experiments.zones``: replays with a zone preference.

Compares values of ``zone_spill_share`` on the same loads: what callers get, and
how many answers come from another availability zone.
"""

import collections.abc
import concurrent.futures
import functools
import math
import statistics
import typing
import unittest.mock

import numpy as np
import typer

from clementinelead.relays import candidates
from clementinelead.relays import steering
from clementinelead.relays import zone_spill
from clementinelead.replays import calls
from clementinelead.replays import loads
from clementinelead.replays import patterns
from clementinelead.replays import scales
from clementinelead.replays import simulations
from clementinelead.replays import summaries

__all__ = ["main"]

ZONES = ("a", "b", "c", "d")
KINDS = (
    loads.RequestKind("stream", 0.227, 1.7),
    loads.RequestKind("edit", 0.278, 2.2, 2.0),
)
MEAN_WORK_S = (0.019, 0.025)
RATES_PER_S = (578.0, 165.0)
TARGETS = 41
SLOW_TARGETS = 4
SLOWNESS = 8.0
PERIOD_S = 15.0
AMPLITUDE = 0.55
PHASE_PER_ZONE = 0.08
HEAVY_SHARE = 0.03
HEAVY_FACTOR = 7.0
GAMMA_SHAPE = 4.0


def uneven_zones(
    seed: int, seconds: float, phase: float = PHASE_PER_ZONE
) -> loads.Load:
    """Returns load B of ``competing-load.md`` with one request per flow.

    Four targets are eight times slower in the second third of the load.

    Args:
        seed: Seed of arrivals and service times.
        seconds: Duration of the arrivals, seconds.
        phase: Distance of the zones' peaks, as a share of the period.
    """
    generator = np.random.default_rng(seed)
    targets = tuple(
        loads.TargetSpec(f"t{number}", ZONES[number % len(ZONES)], slots=1)
        for number in range(TARGETS)
    )
    arrivals = [
        arrival
        for zone in range(len(ZONES))
        for kind in range(len(KINDS))
        for arrival in _arrivals(generator, kind, zone, seconds, phase)
    ]
    arrivals.sort(key=lambda arrival: arrival.at_s)
    slow = loads.Condition(slowness=SLOWNESS)
    changes = [
        loads.Change(at_s, target.name, condition)
        for at_s, condition in (
            (seconds / 3, slow),
            (2 * seconds / 3, loads.Condition()),
        )
        for target in targets[:SLOW_TARGETS]
    ]
    return loads.Load(
        "uneven-zones", KINDS, targets, tuple(arrivals), tuple(changes)
    )


def _arrivals(
    generator: np.random.Generator,
    kind: int,
    zone: int,
    seconds: float,
    phase: float,
) -> collections.abc.Iterator[loads.Arrival]:
    """Yields the arrivals of a kind in a zone, by thinning."""
    peak_rate = RATES_PER_S[kind] / len(ZONES) * (1.0 + AMPLITUDE)
    at_s = 0.0
    while True:
        at_s += generator.exponential(1.0 / peak_rate)
        if at_s >= seconds:
            return
        turns = at_s / PERIOD_S - phase * zone
        factor = 1.0 + AMPLITUDE * math.sin(2 * math.pi * turns)
        if generator.random() * (1.0 + AMPLITUDE) > factor:
            continue
        work_s = generator.gamma(GAMMA_SHAPE, MEAN_WORK_S[kind] / GAMMA_SHAPE)
        if generator.random() < HEAVY_SHARE:
            work_s *= HEAVY_FACTOR
        yield loads.Arrival(at_s, ZONES[zone], KINDS[kind].name, float(work_s))


def _load(pattern: str, seed: int) -> loads.Load:
    match pattern:
        case "uneven-zones":
            return uneven_zones(seed, PERIOD_S)
        case "opposite-zones":
            return uneven_zones(seed, PERIOD_S, phase=1 / len(ZONES))
        case _:
            return patterns.generate(pattern, scales.Scale(), seed)


def _figures(
    pattern: str, share: float, in_zone: int | None, seed: int
) -> tuple[float, ...]:
    """Returns worth, share in time, share late and share across zones."""
    load = _load(pattern, seed)
    preferring = functools.partial(steering.Steering, zone_spill_share=share)
    queried = in_zone or zone_spill.QUERIED_IN_ZONE
    with (
        unittest.mock.patch.object(steering, "Steering", preferring),
        unittest.mock.patch.object(zone_spill, "QUERIED_IN_ZONE", queried),
    ):
        run = simulations.replay(load, "relayed", seed)
    zone_by_target = {target.name: target.zone for target in load.targets}
    served = [
        outcome
        for outcome in run.outcomes
        if outcome.result is calls.Result.SERVED
    ]
    across = sum(
        zone_by_target[outcome.target] != outcome.arrival.zone
        for outcome in served
    )
    in_time = summaries.share_within_objective(run, 0.0, math.inf)
    late = len(served) / max(1, len(run.outcomes)) - in_time
    durations_s = sorted(outcome.duration_s for outcome in served)
    return (
        summaries.worth(run),
        in_time,
        late,
        durations_s[int(0.99 * len(durations_s))] * 1000,
        across / max(1, len(served)),
    )


def run(
    pattern: typing.Annotated[
        list[str],
        typer.Option(help="uneven-zones, opposite-zones or a replay pattern"),
    ],
    share: typing.Annotated[list[float], typer.Option(min=0.0, max=1.0)],
    in_zone: typing.Annotated[
        int | None,
        typer.Option(
            min=1,
            max=candidates.MAX_QUERIED,
            help="targets of the own zone that are queried",
        ),
    ] = None,
    seeds: typing.Annotated[int, typer.Option(min=1)] = 4,
    processes: typing.Annotated[int, typer.Option(min=1)] = 2,
) -> None:
    """Replays loads with each share; prints means over the seeds."""
    print("pattern          share  worth  in time   late  p99 ms  across zones")
    with concurrent.futures.ProcessPoolExecutor(processes) as pool:
        running = [
            (
                name,
                value,
                number,
                pool.submit(_figures, name, value, in_zone, number),
            )
            for name in pattern
            for value in share
            for number in range(1, seeds + 1)
        ]
        for start in range(0, len(running), seeds):
            group = running[start : start + seeds]
            rows = [future.result() for *_, future in group]
            worth, in_time, late, p99_ms, across = (
                statistics.fmean(column) for column in zip(*rows, strict=True)
            )
            name, value = group[0][:2]
            print(
                f"{name:16} {value:5.2f}  {worth:.3f}  {in_time:7.4f}"
                f"  {late:.3f}  {p99_ms:6.0f}  {across:12.3f}",
                flush=True,
            )


def main() -> None:
    """Runs the command."""
    typer.run(run)


if __name__ == "__main__":
    main()
