"""Short runs of the soak test with faults, among them seeds that failed once."""

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
        # A crashed target accepted flows before its new incarnation was
        # announced; its side process then treated them as flows of the old
        # incarnation, and replied that it had no record of them.
        (101, 10.0, BEFORE_PROXY),
        # A late copy of an opening packet was refused, which reset its flow.
        (139, 10.0, BEFORE_PROXY),
    ],
)
def test_short_soak_violates_no_invariant(tmp_path, seed, seconds, sizes):
    violations, outcomes, faults = asyncio.run(
        run.soak(tmp_path, seed, seconds, sizes)
    )
    assert violations == [], faults
    assert outcomes["answered"] > 0
