"""Runs the soak: ``python -m bench.soak.run --seeds 1-50``."""

import asyncio
import collections
import json
import pathlib
import shutil
import sys
import tempfile
import time
import typing

import typer

from bench.soak import faults
from bench.soak import world as world_module

__all__ = ["main", "soak"]

START_S = 10.0
"""Bound of the time until the first start has made all balancers ready."""

RECOVERY_S = 4.0
"""Time after the last fault in which service is to be whole again.

Half of the users' bound of 12 s, less what the check itself takes.
"""

CHECK_S = 2.0
SERVED_SHARE = 0.9


async def soak(
    folder: pathlib.Path, seed: int, seconds: float, sizes: world_module.Sizes
) -> tuple[list[str], dict[str, int], list[str]]:
    """Runs one seed.

    Args:
        folder: Where settings and logs go.
        seed: Draws the faults and what callers do.
        seconds: Time in which faults are injected, seconds.
        sizes: How many of each part there are.

    Returns:
        Violations, outcomes by number, and the faults.
    """
    world = world_module.World(folder, sizes, seed)
    done: list[str] = []
    try:
        await world.start()
        begun = time.monotonic()
        while len(world.router.ready) < sizes.balancers:
            if time.monotonic() - begun > START_S:
                world.audit.record_violation("not all balancers got ready", 0.0)
                break
            await asyncio.sleep(0.05)
        world.start_callers()
        await asyncio.sleep(1.0)
        done = await faults.inject(world, seconds)
        await asyncio.sleep(RECOVERY_S)
        check = time.monotonic()
        await asyncio.sleep(CHECK_S)
        share = world.audit.share_served(check, time.monotonic())
        if share < SERVED_SHARE:
            world.audit.record_violation(
                f"only {share:.2f} served again", check
            )
    finally:
        await world.stop()
    return world.audit.violations, dict(world.audit.outcomes), done


def main(
    seeds: typing.Annotated[str, typer.Option(help="as in 1-50")] = "1-1",
    seconds: typing.Annotated[float, typer.Option()] = 12.0,
    balancers: typing.Annotated[int, typer.Option()] = 3,
    targets: typing.Annotated[int, typer.Option()] = 6,
    callers: typing.Annotated[int, typer.Option()] = 24,
) -> None:
    """Runs seeds one after the other; keeps the folder of each that fails."""
    first, _, last = seeds.partition("-")
    sizes = world_module.Sizes(balancers, targets, callers)
    failed = 0
    totals: collections.Counter[str] = collections.Counter()
    for seed in range(int(first), int(last or first) + 1):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations, outcomes, done = asyncio.run(
            soak(folder, seed, seconds, sizes)
        )
        line = {"seed": seed, "violations": violations, **outcomes}
        print(json.dumps(line), flush=True)
        totals.update(outcomes)
        totals.update(fault.partition(": ")[2] for fault in done)
        if violations:
            failed += 1
            (folder / "faults.txt").write_text("\n".join(done) + "\n")
            print(f"  kept: {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    seeds_run = int(last or first) - int(first) + 1
    print(json.dumps({"seeds": seeds_run, "failed": failed, **totals}))
    if failed:
        sys.exit(1)


if __name__ == "__main__":
    typer.run(main)
