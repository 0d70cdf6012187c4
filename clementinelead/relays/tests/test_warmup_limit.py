"""Tests of the limit; each is a load of a target that warms up."""

import pytest

from clementinelead.relays import warmup_limit

_NOW = 100.0
_HEARTBEAT_S = 0.8
_BOUND = warmup_limit.WarmupBound(1.5, 5.0)
_RATE = 10.0
_MAX_FLOWS = 20  # 10 * 1.5 + 5


def _limit(flows_per_s=_RATE):
    limit = warmup_limit.WarmupLimit(_BOUND, _HEARTBEAT_S, _NOW)
    limit.flows_per_s = flows_per_s
    return limit


def _offer(limit, seconds, interval_s=0.005, known=True, begin=_NOW):
    """Offers a crowd of flows; returns the times of those allowed."""
    sent_at = []
    for step in range(round(seconds / interval_s)):
        now = begin + step * interval_s
        if limit.allows_flow(known, now):
            limit.add_flow(now)
            sent_at.append(now)
    return sent_at


def _most_in_a_second(sent_at):
    return max(
        sum(1 for other in sent_at if at <= other < at + 1.0) for at in sent_at
    )


def test_crowd_gets_no_more_than_the_limit_in_any_second():
    limit = _limit()
    limit.on_heartbeat(10.0, _NOW)
    sent_at = _offer(limit, 1.0)
    limit.on_heartbeat(9.0, _NOW + 1.0)
    sent_at += _offer(limit, 1.0, begin=_NOW + 1.0)
    limit.on_heartbeat(8.0, _NOW + 2.0)
    sent_at += _offer(limit, 1.0, begin=_NOW + 2.0)
    assert _most_in_a_second(sent_at) == _MAX_FLOWS
    assert len(sent_at) >= 2 * _MAX_FLOWS


def test_warm_target_gets_all_flows_at_once():
    limit = _limit()
    limit.on_heartbeat(0.5, _NOW)
    assert len(_offer(limit, 0.5)) == _MAX_FLOWS
    assert len(_offer(limit, 0.5, begin=_NOW + 0.5)) == 100


def test_rate_of_zero_is_no_limit():
    limit = _limit(0.0)
    limit.on_heartbeat(10.0, _NOW)
    assert len(_offer(limit, 1.0)) == 200


def test_without_a_bound_no_rate_limits():
    limit = warmup_limit.WarmupLimit(None, _HEARTBEAT_S, _NOW)
    limit.flows_per_s = _RATE
    assert len(_offer(limit, 1.0)) == 200


def test_unknown_rate_leaves_the_slack():
    limit = _limit(None)
    limit.on_heartbeat(10.0, _NOW)
    assert len(_offer(limit, 1.0)) == 5


def test_flows_before_the_own_start_count_as_used():
    limit = _limit()
    limit.on_heartbeat(10.0, _NOW)
    sent_at = _offer(limit, 1.1, known=False)
    assert sent_at[0] >= _NOW + 1.0


def test_flows_from_before_a_restart_of_the_target_count():
    # The predecessor's flows may have been delivered to the new incarnation.
    limit = _limit()
    limit.on_heartbeat(0.0, _NOW)
    for _ in range(15):
        limit.add_flow(_NOW + 0.1)
    limit.on_heartbeat(5.0, _NOW + 0.2)
    assert len(_offer(limit, 0.5, begin=_NOW + 0.2)) == _MAX_FLOWS - 15


@pytest.mark.parametrize("age_s, allowed", [(0.9, 200), (1.3, _MAX_FLOWS)])
def test_target_with_overdue_heartbeats_may_have_restarted(age_s, allowed):
    limit = _limit()
    limit.on_heartbeat(0.0, _NOW)
    begin = _NOW + age_s
    allowed_flows = 0
    for _ in range(200):
        if limit.allows_flow(True, begin):
            limit.add_flow(begin)
            allowed_flows += 1
    assert allowed_flows == allowed


def test_target_may_be_cold_until_two_heartbeats_after_an_evacuation():
    # The first one may have been sent before the target became cold.
    limit = _limit()
    limit.on_heartbeat(0.0, _NOW)
    limit.on_evacuation_end()
    limit.on_heartbeat(0.0, _NOW + 0.1)
    assert limit.may_be_cold(_NOW + 0.2)
    limit.on_heartbeat(0.0, _NOW + 0.9)
    assert not limit.may_be_cold(_NOW + 1.0)
