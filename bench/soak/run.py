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

from bench.soak import environment as environment_module
from bench.soak import faults

__all__ = ["main", "soak"]

START_TIMEOUT_S = 10.0
"""Limit of the time until all balancers are ready after the first start."""

RECOVERY_S = 4.0
"""Time from the last fault until the service must have recovered.

Half of the users' bound of 12 s, less ``CHECK_S``.
"""

CHECK_S = 2.0
MIN_ANSWERED_SHARE = 0.9


async def soak(
    folder: pathlib.Path,
    seed: int,
    seconds: float,
    sizes: environment_module.Sizes,
) -> tuple[list[str], dict[str, int], list[str]]:
    """Runs one seed and returns its violations, outcomes and faults.

    Args:
        folder: Folder for settings and logs.
        seed: Seed of the faults and of the callers' behaviour.
        seconds: Time in which faults are injected, seconds.
        sizes: Number of each part.

    Returns:
        Violations, number of attempts by outcome, and the injected faults.
    """
    environment = environment_module.Environment(folder, sizes, seed)
    injected: list[str] = []
    try:
        await environment.start()
        start_s = time.monotonic()
        while len(environment.router.ready) < sizes.balancers:
            if time.monotonic() - start_s > START_TIMEOUT_S:
                environment.audit.record_violation(
                    "not all balancers got ready", 0.0
                )
                break
            await asyncio.sleep(0.05)
        environment.start_callers()
        await asyncio.sleep(1.0)
        injected = await faults.inject(environment, seconds)
        await asyncio.sleep(RECOVERY_S)
        check_start_s = time.monotonic()
        await asyncio.sleep(CHECK_S)
        share = environment.audit.answered_share(
            check_start_s, time.monotonic()
        )
        if share < MIN_ANSWERED_SHARE:
            environment.audit.record_violation(
                f"only {share:.2f} served again", check_start_s
            )
        await environment.use_idle_flows()
        if sizes.stalls:
            await faults.drop_routes_while_stalled(environment)
    finally:
        await environment.stop()
    return (
        environment.audit.violations,
        {**environment.audit.outcomes, **environment.displacements.waits},
        injected,
    )


def main(
    seeds: typing.Annotated[str, typer.Option(help="as in 1-50")] = "1-1",
    seconds: typing.Annotated[float, typer.Option()] = 12.0,
    balancers: typing.Annotated[int, typer.Option()] = 3,
    targets: typing.Annotated[int, typer.Option()] = 6,
    callers: typing.Annotated[int, typer.Option()] = 24,
) -> None:
    """Runs seeds one after the other; keeps the folder of each that fails."""
    first, _, last = seeds.partition("-")
    sizes = environment_module.Sizes(balancers, targets, callers)
    failed = 0
    totals: collections.Counter[str] = collections.Counter()
    for seed in range(int(first), int(last or first) + 1):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        violations, outcomes, injected = asyncio.run(
            soak(folder, seed, seconds, sizes)
        )
        line = {"seed": seed, "violations": violations, **outcomes}
        print(json.dumps(line), flush=True)
        totals.update(outcomes)
        totals.update(fault.partition(": ")[2] for fault in injected)
        if violations:
            failed += 1
            (folder / "faults.txt").write_text("\n".join(injected) + "\n")
            print(f"  kept: {folder}", flush=True)
        else:
            shutil.rmtree(folder)
    seeds_run = int(last or first) - int(first) + 1
    print(json.dumps({"seeds": seeds_run, "failed": failed, **totals}))
    if failed:
        sys.exit(1)


if __name__ == "__main__":
    typer.run(main)
