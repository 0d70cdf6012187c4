"""The share of the callers that a balancer prefers if it can't serve all."""

import pytest

from clementinelead.relays import backlogs
from clementinelead.relays import caller_shares

STEP_S = 0.002


def _share(factor, hosts, seconds=2.0):
    """Returns the share of preferred positions; 50 flows/s are placed."""
    share = caller_shares.CallerShare()
    arrivals = 0
    for step in range(round(seconds / STEP_S)):
        now = 100.0 + step * STEP_S
        if step % 10 == 0:
            share.record_placed()
        while arrivals < step * STEP_S * 50 * factor:
            host = (arrivals % hosts).to_bytes(4)
            share.record_arrival(caller_shares.position(host, now), now)
            arrivals += 1
    return sum(share.prefers(each / 1000) for each in range(1000)) / 1000


# Guards against a share that leaves slots to callers that have returned.
@pytest.mark.parametrize("factor", [2.0, 5.0, 10.0])
def test_as_many_callers_are_preferred_as_can_be_served(factor):
    assert 0.9 <= _share(factor, hosts=10**6) * factor <= 1.6


def test_all_callers_are_preferred_at_the_capacity():
    assert _share(1.0, hosts=10**6) == 1.0


# Guards against a proxy whose address loses, or takes, all of the targets.
@pytest.mark.parametrize("hosts", [1, 4])
def test_no_caller_is_preferred_if_few_addresses_stand_for_many(hosts):
    assert _share(10.0, hosts) == 1.0


# Guards against callers that are refused first for ever.
def test_every_caller_has_its_turn():
    host = b"\x01\x02\x03\x04"
    positions = [
        caller_shares.position(host, 100.0 + second)
        for second in range(round(caller_shares.PERIOD_S))
    ]
    assert sum(each < 0.1 for each in positions) in range(5, 8)


def test_callers_of_equal_priority_are_treated_alike():
    backlog = backlogs.Backlog()
    for step in range(2000):
        now = 100.0 + step * 0.001
        at = caller_shares.position(step.to_bytes(4), now)
        assert backlog.prefers(4, at, now)
