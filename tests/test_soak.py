"""A short seeded run of the fault soak, and the seeds that once failed."""

import asyncio

import pytest

from bench.soak import run
from bench.soak import world

SIZES = world.Sizes(balancers=2, targets=3, callers=8)


@pytest.mark.parametrize("seed", [7])
def test_short_soak_keeps_all_promises(tmp_path, seed):
    violations, outcomes, faults = asyncio.run(
        run.soak(tmp_path, seed, 6.0, SIZES)
    )
    assert violations == [], faults
    assert outcomes["answered"] > 0
