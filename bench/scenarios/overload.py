"""Goodput of two priorities at one to ten times the capacity."""

import asyncio
import pathlib
import random
import shutil
import tempfile
import time

from bench import open_loop
from bench import results
from bench.soak import competition
from bench.soak import environment as environment_module
from clementinelead.platform.standins import targets

__all__ = ["overload"]

FACTORS = (1, 2, 5, 10)
TARGETS = 3
SERVICE_TIME_RANGE_S = (0.03, 0.09)
CAPACITY = TARGETS * 2 / sum(SERVICE_TIME_RANGE_S)
"""Requests per second that the targets serve; each has one slot."""

URGENT_SHARE = 0.25
"""Share of the urgent requests in those offered.

At four times the capacity they alone are as many as the targets serve.
"""

WORTH_BY_KIND = {"urgent": 2, "usual": 1}
"""Worth of an answer in time, as of orders and status in load A."""

OBJECTIVES_S = (0.302, 0.253)
TIMEOUTS_S = (2.4, 1.9)
SETTLE_S = 2.0
COUNTED_S = 6.0
READY_TIMEOUT_S = 10.0
ROUTES_S = 1.5
"""Time after the start for routes, loads and two heartbeats, seconds."""

MIN_WORTH_RATIO = 0.9
"""Least worth at ten times the capacity, by that at one time."""

_SIZES = environment_module.Sizes(
    balancers=2, targets=0, callers=0, idle_flows=0, competing_callers=1
)
_KINDS = tuple(
    open_loop.Kind(name, competition.SERVICE, address, objective_s, timeout_s)
    for name, address, objective_s, timeout_s in zip(
        WORTH_BY_KIND,
        competition.ENDPOINTS,
        OBJECTIVES_S,
        TIMEOUTS_S,
        strict=True,
    )
)
_Rates = dict[int, dict[str, dict[str, float]]]
_OUTCOMES = (
    "offered",
    "in_time",
    "late",
    "refused",
    "rejected",
    "not_opened",
    "reset",
    "unanswered",
)


def overload(seed: int) -> results.Result:
    """Goodput of two priorities at 1, 2, 5 and 10 times the capacity."""
    folder = pathlib.Path(tempfile.mkdtemp(prefix="overload-"))
    rates_by_factor, delays_s, violations = asyncio.run(_run(folder, seed))
    worths = {
        factor: sum(
            worth * rates[name]["in_time"]
            for name, worth in WORTH_BY_KIND.items()
        )
        for factor, rates in rates_by_factor.items()
    }
    ratio = worths[FACTORS[-1]] / max(worths[FACTORS[0]], 1e-9)
    missed = ["violations"] if violations else []
    if ratio < MIN_WORTH_RATIO:
        missed.append("worth_ratio")
    missed += [
        f"{name}_in_time_at_{factor}"
        for factor, rates in rates_by_factor.items()
        for name in WORTH_BY_KIND
        if not rates[name]["in_time"]
    ]
    if violations:
        print(f"kept: {folder}", *violations, sep="\n")
    else:
        shutil.rmtree(folder)
    figures = {
        "capacity_per_s": round(CAPACITY, 1),
        "per_s": rates_by_factor,
        "worth_per_s": {
            factor: round(worth, 1) for factor, worth in worths.items()
        },
        "worth_ratio": round(ratio, 3),
        "longest_delay_s": delays_s,
        "violations": len(violations),
    }
    return results.Result(figures, tuple(missed))


async def _run(
    folder: pathlib.Path, seed: int
) -> tuple[_Rates, dict[int, float], list[str]]:
    """Runs all factors, one after the other.

    Returns:
        Rates by factor, kind and outcome; the callers' longest delay by factor,
        seconds; and the violations.
    """
    rates_by_factor: _Rates = {}
    delays_s: dict[int, float] = {}
    settings = competition.Settings(
        TARGETS,
        targets.Behaviour(1, SERVICE_TIME_RANGE_S, queue_limit=4),
        OBJECTIVES_S,
        TIMEOUTS_S,
    )
    environment = environment_module.Environment(folder, _SIZES, seed, settings)
    try:
        await environment.start()
        await _wait_ready(environment)
        callers = open_loop.Callers(
            environment.caller_address(0),
            environment.router,
            environment.audit,
            random.Random(seed),
        )
        callers.start()
        try:
            for factor in FACTORS:
                rates_by_factor[factor] = await _offer(callers, factor)
                delays_s[factor] = round(callers.longest_delay_s, 2)
        finally:
            callers.close()
    finally:
        await environment.stop()
    return rates_by_factor, delays_s, environment.audit.violations


async def _wait_ready(environment: environment_module.Environment) -> None:
    """Waits until the balancers, the routes and the targets are ready.

    The targets start again beside running side processes. A side process that
    finds its target running may not know all of its flows for 60 s. For that
    time balancers don't refuse flows that have waited, and the figures would
    depend on which of the two started first.

    Raises:
        RuntimeError: A balancer is not ready in time.
    """
    begun_s = time.monotonic()
    while len(environment.router.ready) < _SIZES.balancers:
        if time.monotonic() - begun_s > READY_TIMEOUT_S:
            raise RuntimeError(f"ready: {environment.router.ready}")
        await asyncio.sleep(0.05)
    for target in environment.targets:
        target.crash()
        target.start()
    await asyncio.sleep(ROUTES_S)


async def _offer(
    callers: open_loop.Callers, factor: int
) -> dict[str, dict[str, float]]:
    """Offers a multiple of the capacity; returns rates by kind and outcome."""
    callers.outcomes.clear()
    callers.longest_delay_s = 0.0
    shares = (URGENT_SHARE, 1 - URGENT_SHARE)
    await asyncio.gather(
        *(
            callers.offer(kind, share * factor * CAPACITY, SETTLE_S, COUNTED_S)
            for kind, share in zip(_KINDS, shares, strict=True)
        )
    )
    return {
        kind.name: {
            outcome: round(callers.outcomes[kind.name, outcome] / COUNTED_S, 1)
            for outcome in _OUTCOMES
        }
        for kind in _KINDS
    }
