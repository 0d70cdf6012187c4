"""Replays of streams and orders at one target, with the queue on and off.

Each bound is from the goal of the queue: orders are served within their
objective while the target could serve them alone, whatever the streams ask.
"""

import itertools

import pytest

from clementinelead.replays import one_target

STREAM, ORDER = one_target.STREAM, one_target.ORDER
ON = one_target.PRIORITY
OFF = {STREAM: 2, ORDER: 2}

# 2.2 times the rate of the target, of which orders alone need 0.29.
ORDERS_PER_S, STREAMS_PER_S = 10, 87
MIN_IN_TIME = 0.95
"""Share of orders in time that the users ask for below capacity."""


def _replay(priority_by_address, seed, orders, streams, slowness=1.0):
    table = one_target.table(priority_by_address)
    replay = one_target.Replay(table, slowness)
    replay.run(orders, streams, seed)
    return replay


def _share(requests, predicate):
    return sum(map(predicate, requests)) / len(requests)


def _in_time(request):
    return request.in_time


def _rejected(requests):
    return sum(request.rejected for request in requests)


def _longest_gap_s(times):
    return max(later - earlier for earlier, later in itertools.pairwise(times))


def _worth(replay):
    """Returns the share of the worth that the users give to answers."""
    worth = {STREAM: (1, 0.3), ORDER: (2, 0.6)}
    gained = sum(
        worth[request.kind][not request.in_time]
        for request in replay.requests
        if request.is_served
    )
    return gained / sum(worth[request.kind][0] for request in replay.requests)


@pytest.mark.parametrize("seed", [1, 2, 3])
class TestOverload:
    def test_orders_are_in_time_and_not_rejected(self, seed):
        on = _replay(ON, seed, ORDERS_PER_S, STREAMS_PER_S).of_kind(ORDER)
        off = _replay(OFF, seed, ORDERS_PER_S, STREAMS_PER_S).of_kind(ORDER)
        assert _share(on, _in_time) >= MIN_IN_TIME
        assert _rejected(on) <= (1 - MIN_IN_TIME) * len(on)
        assert _rejected(on) < _rejected(off)

    # Guards against a queue whose requests are all answered late.
    def test_no_worth_is_lost_to_the_queue(self, seed):
        on = _replay(ON, seed, ORDERS_PER_S, STREAMS_PER_S)
        off = _replay(OFF, seed, ORDERS_PER_S, STREAMS_PER_S)
        assert _worth(on) >= _worth(off)

    # Guards against streams that get no turn because all would be late.
    def test_streams_are_served_when_orders_fill_the_target(self, seed):
        replay = _replay(ON, seed, 60, 20)
        streams = replay.of_kind(STREAM)
        # A stream arrives, has the fourth turn, and is answered in time.
        longest_s = (
            _longest_gap_s([stream.sent_at for stream in streams])
            + 4 * one_target.WORK_S[ORDER]
            + one_target.OBJECTIVE_S[STREAM]
        )
        served = [stream for stream in streams if stream.is_served]
        answered_at = sorted(stream.answered_at for stream in served)
        assert _longest_gap_s(answered_at) <= longest_s

    @pytest.mark.parametrize("slowness", [0.55, 1.0, 1.2, 8.0])
    def test_nothing_is_held_beyond_its_objective(self, seed, slowness):
        replay = _replay(ON, seed, ORDERS_PER_S, STREAMS_PER_S, slowness)
        assert replay.side.counts.by_cause["request_held"] > 0
        assert replay.side.held_request_count == 0
        for request in replay.requests:
            assert request.held_s <= one_target.OBJECTIVE_S[request.kind]

    def test_time_held_is_not_taken_for_service_time(self, seed):
        replay = _replay(ON, seed, ORDERS_PER_S, STREAMS_PER_S)
        service_s = replay.side.workload.estimate.service_s
        works = one_target.WORK_S.values()
        assert min(works) <= service_s <= max(works)


def test_fewer_requests_are_rejected_near_the_capacity():
    rejected_on = rejected_off = 0
    for seed in range(1, 9):
        rejected_on += _rejected(_replay(ON, seed, 10, 30).requests)
        rejected_off += _rejected(_replay(OFF, seed, 10, 30).requests)
    assert rejected_on < rejected_off


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_nothing_is_late_or_rejected_at_half_of_the_capacity(seed):
    replay = _replay(ON, seed, 6, 15)
    assert all(request.in_time for request in replay.requests)
