"""Short seeded runs of the soak test; seeds that once failed."""

import asyncio
import dataclasses

import pytest

from bench.soak import environment
from bench.soak import run

SMALL = environment.Sizes(balancers=2, targets=3, callers=8)
WITHOUT_COMPETITION = dataclasses.replace(SMALL, competing_callers=0)
WITHOUT_ODD_VALUES = dataclasses.replace(
    WITHOUT_COMPETITION, odd_values=False, idle_flows=0
)
WITHOUT_STALLS = dataclasses.replace(WITHOUT_ODD_VALUES, stalls=False)
WITHOUT_EVACUATIONS = dataclasses.replace(WITHOUT_STALLS, evacuations=False)
WITHOUT_LATER_FAULTS = environment.Sizes(
    connections=False,
    evacuations=False,
    stalls=False,
    odd_values=False,
    idle_flows=0,
    competing_callers=0,
)


@pytest.mark.parametrize(
    ("seed", "seconds", "sizes"),
    [
        (7, 6.0, WITHOUT_EVACUATIONS),
        (8, 6.0, WITHOUT_STALLS),
        (9, 12.0, WITHOUT_ODD_VALUES),
        # A restarted target accepted flows before its first heartbeat; its
        # side process then treated them as flows of the former incarnation
        # and denied them.
        (101, 10.0, WITHOUT_LATER_FAULTS),
        # The refusal of a late retransmission of an opening packet reset its
        # flow.
        (139, 10.0, WITHOUT_LATER_FAULTS),
        (10, 12.0, WITHOUT_COMPETITION),
        (11, 10.0, environment.Sizes(targets=18, competing_callers=0)),
        (800, 8.0, SMALL),
    ],
)
def test_short_soak_has_no_violations(tmp_path, seed, seconds, sizes):
    violations, outcomes, faults = asyncio.run(
        run.soak(tmp_path, seed, seconds, sizes)
    )
    assert violations == [], faults
    assert outcomes["answered"] > 0
    if sizes.idle_flows:
        assert outcomes["idle flows used"] > 0
    if sizes.competing_callers:
        assert outcomes["waits of urgent requests"] > 0
        assert outcomes["usual requests in turn"] > 0
    if sizes.stalls:
        assert outcomes["probes to be refused"] > 0
