"""Requests held by a side process, packet by packet."""

import dataclasses

import pytest

from clementinelead.relays import announcements
from clementinelead.relays import frames
from clementinelead.relays import held_flows
from clementinelead.relays import outcomes
from clementinelead.relays import outstanding_packets
from clementinelead.relays import routes
from clementinelead.relays import target_relay
from clementinelead.replays import one_target
from clementinelead.replays import packets

STREAM, ORDER = one_target.STREAM, one_target.ORDER
SERVICE_NUMBER = frames.service_number(one_target.SERVICE)
BALANCER = one_target.BALANCER
PACKET, PROBE = frames.Kind.PACKET, frames.Kind.PROBE


class _Side:
    """A side process whose target has one slot and enough to do."""

    def __init__(self, priority_by_address=one_target.PRIORITY):
        self.now = 0.0
        self.decisions = []
        self.relay = target_relay.TargetRelay(
            packets.Format(),
            one_target.SERVICE,
            self.decisions.append,
            0.0,
            0,
        )
        self.relay.set_routes(one_target.table(priority_by_address))
        self.relay.startup.no_predecessor = True
        self.heartbeat = announcements.Heartbeat(
            "t", 1, 1, one_target.SERVICE, 1, False, 0.0
        )
        self.relay.on_heartbeat(self.heartbeat, 0.0)
        self.busy = [self.open(number) for number in (1, 2)]
        for key in self.busy:
            assert self.request(key)

    def open(self, number, address=STREAM):
        key = packets.flow_key(number, address)
        self.send(key, packets.OPENS, 0, 0, kind=frames.Kind.PLACE)
        self.answer(key, packets.ACCEPTS, sequence=500, length=0)
        return key

    def send(
        self, key, flags=0, sequence=1, length=10, kind=PACKET, received=501
    ):
        """Returns the packets that the target gets."""
        acknowledgement = 0 if flags & packets.OPENS else received
        data = packets.build_packet(
            key, flags, sequence, acknowledgement, length
        )
        frame = frames.encode(kind, SERVICE_NUMBER, key, data)
        return _to_target(self.relay.on_frame(frame, BALANCER, self.now))

    def request(self, key, sequence=1, kind=PACKET, received=501):
        return self.send(key, sequence=sequence, kind=kind, received=received)

    def answer(self, key, flags=0, sequence=501, length=20, received=11):
        """Returns the packets that the target gets upon one of its own."""
        data = packets.build_packet(key, flags, sequence, received, length)
        return _to_target(self.relay.on_target_packet(data, self.now))

    def tick(self, now):
        self.now = now
        return _to_target(self.relay.on_tick(now))

    def count(self, cause):
        return self.relay.counts.by_cause[cause]


def _to_target(sends):
    """Returns key, flags, sequence of the packets for the target."""
    segments = [
        packets.Format().from_caller(outcome.data)
        for outcome in sends
        if isinstance(outcome, outcomes.ToTarget)
    ]
    return [(segment.key, segment.sequence) for segment in segments]


def test_order_is_forwarded_before_a_stream_in_the_step_of_the_answer():
    side = _Side()
    stream, order = side.open(3), side.open(4, ORDER)
    assert side.request(stream) == side.request(order) == []
    assert side.relay.held_request_count == 2
    assert side.answer(side.busy[0]) == [(order, 1)]
    assert side.answer(side.busy[1]) == [(stream, 1)]


def test_packets_of_a_held_request_follow_in_order_without_copies():
    side = _Side()
    key = side.open(3)
    for sequence in (1, 11, 1, 21, 11):
        assert side.request(key, sequence) == []
    assert side.answer(side.busy[0]) == [(key, 1), (key, 11), (key, 21)]
    assert side.request(key, 31) == [(key, 31)]


def test_acknowledgement_passes_and_end_of_data_stays_behind_held_data():
    side = _Side()
    key = side.open(3)
    side.request(key)
    assert side.send(key, 0, 11, length=0) == [(key, 11)]
    assert side.send(key, packets.CLOSES, 11, length=0) == []
    assert side.answer(side.busy[0]) == [(key, 1), (key, 11)]


def test_reset_of_the_caller_drops_held_data_and_is_forwarded():
    side = _Side()
    key = side.open(3)
    side.request(key)
    before = side.relay.work_under_way
    assert side.send(key, packets.RESETS, 11, length=0) == [(key, 11)]
    assert side.relay.work_under_way == before - 1
    assert side.answer(side.busy[0]) == []
    assert side.count("request_dropped_flow_ended") == 1


# Guards against a queue that is stuck until the timeout because callers have
# given up on the requests in progress.
def test_reset_of_a_request_in_progress_makes_room():
    side = _Side()
    key = side.open(3)
    side.request(key)
    sent = side.send(side.busy[0], packets.RESETS, 11, length=0)
    assert sent == [(side.busy[0], 11), (key, 1)]


def test_retransmission_of_an_earlier_request_is_not_held():
    side = _Side()
    key = side.busy[0]
    side.answer(key)
    side.request(side.open(3))
    assert side.request(key, 11) == []
    assert side.request(key, 1) == [(key, 1)]


# Guards against rejections of requests that could have waited: a request that
# ended without an answer was taken for one that the target's queue accepts.
@pytest.mark.parametrize("ended_by", ["reset", "close", "timeout"])
def test_unanswered_request_does_not_raise_the_known_capacity(ended_by):
    side = _Side()
    in_progress = side.relay._gate._queue.in_progress
    side.tick(1.0)
    keys = [side.open(number) for number in range(3, 8)]
    for key in keys[:3]:
        side.request(key, kind=PROBE)  # not held
    side.now += held_flows.MIN_SERVICE_TIME_S / 2
    side.answer(keys[0])  # too soon: it was rejected
    assert (len(in_progress), in_progress.is_full) == (4, True)
    side.request(keys[3], kind=PROBE)
    if ended_by == "reset":
        side.send(side.busy[0], packets.RESETS, 11, length=0)
    elif ended_by == "close":
        side.answer(side.busy[0], packets.CLOSES, length=0)
    else:
        side.tick(held_flows.REQUEST_TIMEOUT_S + 0.01)
        side.request(keys[4], kind=PROBE)
    assert (len(in_progress), in_progress.is_full) == (4, True)


# Guards against further requests for a target that still receives an upload, and
# against a silent target that is kept busy by copies of its requests.
def test_request_times_out_after_its_last_new_data():
    side = _Side()
    in_progress = side.relay._gate._queue.in_progress
    side.tick(3.0)
    assert side.request(side.busy[0], 11) == [(side.busy[0], 11)]
    assert side.request(side.busy[1], 1) == [(side.busy[1], 1)]  # a copy
    counts = []
    for tick_at in (4.9, 5.1, 7.9, 8.1):
        side.tick(tick_at)
        counts.append(len(in_progress))
    assert counts == [2, 1, 1, 0]


# Guards against the loss of a request to a late copy of the answer before it.
def test_copy_of_an_earlier_answer_does_not_end_a_held_request():
    side = _Side()
    key = side.busy[0]
    side.answer(key)
    side.request(side.open(3))
    side.request(key, 11)
    before = side.relay.work_under_way
    assert side.answer(key) == []
    assert side.relay.work_under_way == before
    assert side.answer(side.busy[1]) == [(key, 11)]


# Guards against a request that ends with a retransmission of an earlier answer,
# sent before (11) or after (21) the target had the request: the next request
# would go to a target that is still at work on this one.
@pytest.mark.parametrize("was_held", [False, True])
@pytest.mark.parametrize("received", [11, 21])
def test_copy_of_an_earlier_answer_ends_no_request(received, was_held):
    side = _Side()
    key, other = side.open(3), side.open(4)
    side.answer(side.busy[0])
    if was_held:
        assert side.request(other) == [(other, 1)]
    assert side.request(side.busy[0], 11, received=521) == (
        [] if was_held else [(side.busy[0], 11)]
    )
    if was_held:
        assert side.answer(other) == [(side.busy[0], 11)]
    assert side.request(key) == []
    work = side.relay.work_under_way
    assert side.answer(side.busy[0], received=received) == []
    assert side.relay.work_under_way == work
    answered = side.answer(side.busy[0], sequence=521, received=21)
    assert answered == [(key, 1)]


# Guards against requests that end only at the timeout at targets that don't fill
# the field of acknowledgements.
def test_answer_without_an_acknowledgement_ends_its_request():
    side = _Side()
    key, held = side.open(3), side.open(4)
    side.answer(side.busy[0])
    assert side.request(key, 1 << 30) == [(key, 1 << 30)]
    assert side.request(held) == []
    assert side.answer(key, received=0) == [(held, 1)]


def test_probe_is_not_held_and_takes_held_data_along():
    side = _Side()
    key, other = side.open(3), side.open(4)
    assert side.request(other, kind=PROBE) == [(other, 1)]
    side.request(key)
    assert side.request(key, 11, kind=PROBE) == [(key, 1), (key, 11)]


def test_packet_of_an_unconfirmed_flow_is_not_held():
    side = _Side()
    side.relay.startup.no_predecessor = False  # flows may be unrecorded
    key = packets.flow_key(9, STREAM)
    assert side.request(key) == [(key, 1)]
    assert side.request(key, 11) == [(key, 11)]


# Guards against idle slots after a restart of the side process: until the first
# heartbeat it does not know how many the target has.
def test_nothing_is_held_before_the_slots_are_known():
    side = _Side()
    side.relay = target_relay.TargetRelay(
        packets.Format(), one_target.SERVICE, side.decisions.append, 0.0, 0
    )
    side.relay.set_routes(one_target.table(one_target.PRIORITY))
    for number in range(8):
        key = packets.flow_key(number, STREAM)
        side.answer(key)  # to a request before the restart
        assert side.request(key, 11) == [(key, 11)]


# Guards against a request that stays in progress until the timeout because a
# copy of answered data was forwarded as a new request.
def test_copy_of_the_data_that_found_the_flow_is_no_new_request():
    side = _Side()
    side.relay.startup.no_predecessor = False  # flows may be unrecorded
    key = packets.flow_key(9, STREAM)
    assert side.request(key, kind=PROBE) == [(key, 1)]
    side.tick(outstanding_packets.RETURN_TIMEOUT_S)  # the target keeps it
    assert side.request(key) == [(key, 1)]
    assert side.relay.held_request_count == 0
    assert side.request(key, 11) == []


class _Restarted(_Side):
    """A side process that has restarted and has no routes yet."""

    def __init__(self):
        super().__init__()
        self.relay = target_relay.TargetRelay(
            packets.Format(), one_target.SERVICE, self.decisions.append, 0.0, 0
        )
        self.relay.on_heartbeat(self.heartbeat, 0.0)

    def set_routes(self):
        self.relay.set_routes(one_target.table(one_target.PRIORITY))
        for number in (7, 8):
            assert self.request(self.open(number))


# Guards against a request that is held and then in progress until the timeout,
# because a copy of data that the target has was taken for a new request.
def test_copy_of_data_forwarded_before_the_routes_is_no_new_request():
    side = _Restarted()
    key = side.busy[0]
    assert side.request(key, kind=PROBE) == [(key, 1)]
    side.set_routes()
    side.tick(outstanding_packets.RETURN_TIMEOUT_S)  # the target keeps it
    assert side.request(key) == [(key, 1)]
    assert side.relay.held_request_count == 0
    assert side.request(key, 11) == []


# The same for data that the process before has forwarded.
@pytest.mark.parametrize("length", [0, 20])
def test_copy_of_data_that_the_target_acknowledges_is_no_new_request(length):
    side = _Restarted()
    key = side.busy[0]
    side.answer(key, length=length)
    side.set_routes()
    assert side.request(key) == [(key, 1)]
    assert side.request(key, 11) == []


def test_restart_of_the_target_drops_held_requests():
    side = _Side()
    key = side.open(3)
    side.request(key)
    restarted = dataclasses.replace(side.heartbeat, started_ms=9)
    side.relay.on_heartbeat(restarted, 0.0)
    assert side.relay.held_request_count == side.relay.work_under_way == 0
    assert side.tick(0.01) == []
    # A retransmission goes to the target, which tells who holds the flow.
    assert side.request(key) == [(key, 1)]


def test_held_request_of_a_flow_that_the_target_closes_is_forwarded():
    side = _Side()
    key = side.open(3)
    side.request(key)
    assert side.answer(key, packets.CLOSES, length=0) == [(key, 1)]


def test_planned_stop_forwards_held_requests_and_holds_no_more():
    side = _Side()
    key, order = side.open(3), side.open(4, ORDER)
    side.request(key)
    side.relay.stopping = True
    assert _to_target(side.relay.flush_requests(0.0)) == [(key, 1)]
    side.relay.set_routes(one_target.table(one_target.PRIORITY))
    assert side.request(order) == [(order, 1)]


def test_equal_priorities_forward_what_is_held_at_the_next_tick():
    side = _Side()
    key = side.open(3)
    side.request(key)
    assert side.relay.needs_fast_ticks
    side.relay.set_routes(one_target.table({STREAM: 2, ORDER: 2}))
    assert side.request(key, 11) == []
    assert side.tick(0.01) == [(key, 1), (key, 11)]
    assert side.request(side.open(4)) != []


def test_request_held_to_its_limit_is_forwarded_counted_and_logged():
    side = _Side()
    key = side.open(3)
    side.request(key)
    held_until = next(
        tick / 100 for tick in range(1, 100) if side.tick(tick / 100)
    )
    assert held_until <= one_target.OBJECTIVE_S[STREAM]
    assert side.count("request_passed_at_limit") == 1
    [decision] = [d for d in side.decisions if d.event == "request"]
    assert (decision.outcome, decision.key) == ("passed", key)


def test_held_request_counts_as_load_but_not_as_service_time():
    side = _Side()
    key = side.open(3)
    assert side.relay.work_under_way == 3
    side.request(key)
    side.tick(held_flows.FIRST_REQUEST_TIMEOUT_S)  # it is no longer expected
    assert side.relay.held_request_count == 1
    assert side.relay.work_under_way == 3
    side.now = 0.0
    for number, answered in enumerate((*side.busy, key), start=1):
        side.now = 0.02 * number
        side.answer(answered)
    assert side.relay.workload.estimate.service_s == pytest.approx(0.02)


def _all_sends(routing_table):
    replay = one_target.Replay(routing_table)
    replay.run(orders_per_s=20, streams_per_s=40, seed=3)
    return replay


# Guards against changes of what is sent where no priorities are set.
@pytest.mark.parametrize("priority", [0, 2, routes.LOWEST_PRIORITY])
def test_equal_priorities_change_no_packet(priority):
    without = _all_sends(routes.EMPTY)
    equal = _all_sends(one_target.table({STREAM: priority, ORDER: priority}))
    assert equal.sends == without.sends
    assert equal.side.counts.by_cause == without.side.counts.by_cause
    differing = _all_sends(one_target.table(one_target.PRIORITY))
    assert differing.sends != without.sends
