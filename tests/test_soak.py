"""A short seeded run of the fault soak, and the seeds that once failed."""

import asyncio

import pytest

from bench.soak import run
from bench.soak import world

SMALL = world.Sizes(balancers=2, targets=3, callers=8)
BEFORE_PROXY = world.Sizes(connections=False)


@pytest.mark.parametrize(
    ("seed", "seconds", "sizes"),
    [
        (7, 6.0, SMALL),
        # A target that had crashed took flows before it announced itself anew;
        # its side process then took them for old ones, and denied them.
        (101, 10.0, BEFORE_PROXY),
        # A late copy of an opening packet was refused, which reset its flow.
        (139, 10.0, BEFORE_PROXY),
    ],
)
def test_short_soak_keeps_all_promises(tmp_path, seed, seconds, sizes):
    violations, outcomes, faults = asyncio.run(
        run.soak(tmp_path, seed, seconds, sizes)
    )
    assert violations == [], faults
    assert outcomes["answered"] > 0
