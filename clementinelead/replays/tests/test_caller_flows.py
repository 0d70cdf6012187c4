"""Behaviour of callers: sessions, retransmissions and retries."""

import pytest

from clementinelead.replays import caller_flows
from clementinelead.replays import calls
from clementinelead.replays import competing_patterns
from clementinelead.replays import event_queues
from clementinelead.replays import loads
from clementinelead.replays import packets
from clementinelead.replays import zoned_loads

STREAM, ORDER = (each.kind for each in competing_patterns.KIND_LOADS)
TARGET_SEQUENCE = 1000


class _Network:
    """Records the packets of callers; answers on demand."""

    def __init__(self, *arrivals):
        self.sent = []
        self.event_queue = event_queues.EventQueue()
        load = loads.Load(
            "x",
            (STREAM, ORDER),
            (),
            arrivals,
            callers=zoned_loads.CALLERS,
        )
        addresses = {STREAM.name: b"S1", ORDER.name: b"S2"}
        self.callers = caller_flows.CallerFlows(
            load, self.event_queue, addresses, self._record
        )
        self.calls = [
            calls.Call(
                number,
                arrival,
                load.kind_by_name[arrival.kind],
                self.event_queue,
                self,
                load.callers.retry_delay_s,
            )
            for number, arrival in enumerate(arrivals)
        ]
        for call in self.calls:
            self.event_queue.schedule(call.arrival.at_s, call.start)

    def open_flow(self, call):
        self.callers.start(call)

    def _record(self, zone, data):
        segment = packets.Format().from_caller(data)
        self.sent.append((round(self.event_queue.now, 6), segment))

    def select(self, wanted):
        return [(at_s, each) for at_s, each in self.sent if wanted(each)]

    def openings(self):
        return self.select(lambda each: each.opens and not each.copies)

    def requests(self):
        return self.select(lambda each: each.length)

    def accept(self, key):
        self.reply(key, packets.ACCEPTS, TARGET_SEQUENCE)

    def answer(self, key):
        self.reply(key, 0, TARGET_SEQUENCE + 1, length=10)

    def reply(self, key, *args, **kwargs):
        self.callers.on_packet(packets.build_packet(key, *args, **kwargs))


def _arrival(kind, at_s=0.0, session=None):
    return loads.Arrival(at_s, "a", kind.name, 0.02, session)


def test_requests_of_a_session_use_one_flow_one_at_a_time():
    network = _Network(
        _arrival(STREAM, 0.0, 1),
        _arrival(STREAM, 0.5, 1),
        _arrival(STREAM, 0.6, 1),
    )
    network.event_queue.run(0.0)
    ((_, opening),) = network.openings()
    network.accept(opening.key)
    network.answer(opening.key)
    network.event_queue.run(0.6)
    assert [each.sequence for _, each in network.requests()] == [1, 11]
    network.answer(opening.key)
    assert [each.sequence for _, each in network.requests()] == [1, 11, 21]
    assert not network.select(lambda each: each.closes)
    network.answer(opening.key)
    assert len(network.select(lambda each: each.closes)) == 1
    assert len(network.openings()) == 1
    assert all(
        call.outcome.result is calls.Result.SERVED for call in network.calls
    )


def test_data_is_repeated_until_it_is_acknowledged():
    network = _Network(_arrival(ORDER))
    network.event_queue.run(0.0)
    key = network.openings()[0][1].key
    network.accept(key)
    network.event_queue.run(1.5)
    assert [at_s for at_s, _ in network.requests()] == [0.0, 0.2, 0.6, 1.4]
    network.reply(key, acknowledgement=11)
    network.event_queue.run(10.0)
    assert len(network.requests()) == 4


def test_abandoned_opening_is_retried_on_a_new_flow():
    network = _Network(_arrival(ORDER))
    network.event_queue.run(2.0)
    openings = network.openings()
    assert [at_s for at_s, _ in openings] == [0.0, 1.7]
    assert len({each.key for _, each in openings}) == 2
    # A late acceptance would leave a flow at the target that nobody uses.
    network.accept(openings[0][1].key)
    assert network.sent[-1][1].resets


@pytest.mark.parametrize(
    ("kind", "result", "attempts"),
    [(STREAM, calls.Result.FAILED, 3), (ORDER, calls.Result.FAILED, 1)],
)
def test_only_idempotent_requests_are_retried_after_a_reset(
    kind, result, attempts
):
    network = _Network(_arrival(kind))
    for end_s in (0.0, 0.4, 0.8):
        network.event_queue.run(end_s)
        key = network.openings()[-1][1].key
        network.accept(key)
        network.reply(key, packets.RESETS)
    outcome = network.calls[0].outcome
    assert (outcome.result, outcome.attempts) == (result, attempts)


def test_refused_request_is_retried_twice():
    network = _Network(_arrival(ORDER))
    for end_s in (0.0, 0.4, 0.8):
        network.event_queue.run(end_s)
        network.reply(network.openings()[-1][1].key, packets.RESETS)
    assert [at_s for at_s, _ in network.openings()] == [0.0, 0.3, 0.6]
    assert network.calls[0].outcome.result is calls.Result.REFUSED


def test_flow_without_an_answer_is_reset_and_the_session_goes_on():
    network = _Network(_arrival(STREAM, 0.0, 1), _arrival(STREAM, 1.0, 1))
    network.event_queue.run(0.0)
    network.accept(network.openings()[0][1].key)
    network.event_queue.run(STREAM.timeout_s)
    assert network.calls[0].outcome.result is calls.Result.UNANSWERED
    assert network.select(lambda each: each.resets)
    assert [at_s for at_s, _ in network.openings()] == [0.0, STREAM.timeout_s]


def test_late_worth_and_priority_are_those_of_the_users():
    assert loads.RequestKind("x", 1.0, 2.0).late_worth == 0.5
    assert {STREAM.late_worth, ORDER.late_worth} == {0.3}
    assert STREAM.priority > ORDER.priority


# Guards against replays that place flows whose callers were told to go.
def test_refused_opening_is_not_repeated():
    network = _Network(_arrival(ORDER))
    network.event_queue.run(0.0)
    network.reply(network.openings()[0][1].key, packets.RESETS)
    network.event_queue.run(0.29)
    assert len(network.select(lambda each: each.opens)) == 1
