"""The order of processing when datagrams arrive faster than handled."""

import collections

import pytest

from clementinelead.relays import former_services
from clementinelead.relays import intake
from clementinelead.relays import steering
from clementinelead.relays.tests import network
from clementinelead.replays import packets

NOW = 100.0
SIDE = ("side0", 1)


class _Source:
    def __init__(self):
        self.datagrams = collections.deque()

    def receive(self):
        return self.datagrams.popleft() if self.datagrams else None


class _RecordingSteering(steering.Steering):
    """Records the datagrams and ticks that it receives."""

    def __init__(self):
        former = former_services.FormerServices(first_start=True)
        super().__init__(network.Format(), lambda _: None, "z", former)
        self.processed = []
        self.needs_ticks = False
        self.behind_changes = []

    busy = property(lambda self: self.needs_ticks)

    def on_segment(self, segment, data, now):
        self.processed.append(data)
        return []

    def on_frame(self, data, source, now):
        self.processed.append(data)
        return []

    def on_tick(self, now):
        self.processed.append("tick")
        return []

    def set_backlogged(self, behind):
        self.behind_changes.append(behind)


@pytest.fixture(name="decisions")
def _decisions():
    return _RecordingSteering()


@pytest.fixture(name="peers")
def _peers():
    return _Source()


@pytest.fixture(name="callers")
def _callers():
    return _Source()


@pytest.fixture(name="scheduler")
def _scheduler(decisions, peers, callers):
    return intake.Intake(decisions, network.Format(), peers, callers)


def _opening_packet(number, copies=0):
    return packets.build_packet(
        network.flow_key(number), packets.OPENS, acknowledgement=copies
    )


def _data_packet(number):
    return packets.build_packet(network.flow_key(number), length=10)


def _process_all(scheduler, now):
    """Processes everything that is due at a time."""
    while scheduler.process_next(now) is not None:
        pass


def test_replies_are_processed_before_ticks_and_ticks_before_packets(
    scheduler, decisions, peers, callers
):
    decisions.needs_ticks = True
    callers.datagrams.append((_data_packet(1), packets.CALLER_ADDRESS))
    peers.datagrams.extend([(b"first", SIDE), (b"second", SIDE)])
    for _ in range(4):
        scheduler.process_next(NOW)
    assert decisions.processed == [b"first", b"second", "tick", _data_packet(1)]


def test_packets_of_open_flows_are_processed_before_opening_packets(
    scheduler, decisions, callers
):
    for data in (
        _opening_packet(1),
        _data_packet(2),
        _opening_packet(3),
        _data_packet(4),
    ):
        callers.datagrams.append((data, packets.CALLER_ADDRESS))
    _process_all(scheduler, NOW)
    assert decisions.processed == [
        _data_packet(2),
        _data_packet(4),
        _opening_packet(1),
        _opening_packet(3),
    ]


def _queue_opening_packets(scheduler, callers, numbers):
    """Queues opening packets and processes only the first of them."""
    for number in numbers:
        callers.datagrams.append(
            (_opening_packet(number), packets.CALLER_ADDRESS)
        )
    scheduler.process_next(NOW)


def test_newest_opening_packet_is_processed_first_when_behind(
    scheduler, decisions, callers
):
    _queue_opening_packets(scheduler, callers, (1, 2, 3))
    later = NOW + intake.BEHIND_AFTER_S + 0.01
    callers.datagrams.append((_opening_packet(4), packets.CALLER_ADDRESS))
    scheduler.on_readable()
    _process_all(scheduler, later)
    assert decisions.processed == [
        _opening_packet(number) for number in (1, 4, 3, 2)
    ]
    assert decisions.behind_changes == [True, False]


def test_retransmitted_packets_are_processed_last_when_behind(
    scheduler, decisions, callers
):
    for data in (
        _opening_packet(1),
        _opening_packet(2, copies=1),
        _opening_packet(3, copies=2),
    ):
        callers.datagrams.append((data, packets.CALLER_ADDRESS))
    scheduler.process_next(NOW)
    callers.datagrams.append((_opening_packet(4), packets.CALLER_ADDRESS))
    scheduler.on_readable()
    _process_all(scheduler, NOW + intake.BEHIND_AFTER_S + 0.01)
    assert decisions.processed == [
        _opening_packet(1),
        _opening_packet(4),
        _opening_packet(3, copies=2),
        _opening_packet(2, copies=1),
    ]


def test_opening_packet_is_dropped_when_its_retransmission_is_due(
    scheduler, decisions, callers
):
    _queue_opening_packets(scheduler, callers, (1, 2))
    later = NOW + intake.MAX_OPENING_WAIT_S + 0.01
    callers.datagrams.append(
        (_opening_packet(2, copies=1), packets.CALLER_ADDRESS)
    )
    scheduler.on_readable()
    _process_all(scheduler, later)
    assert decisions.processed == [
        _opening_packet(1),
        _opening_packet(2, copies=1),
    ]
    assert scheduler.counts.by_cause["opening_dropped_old"] == 1


def test_backlog_is_bounded_and_keeps_packets_of_open_flows(
    scheduler, decisions, callers
):
    packet_count = 2 * intake.MAX_QUEUED_PACKETS
    for number in range(packet_count):
        callers.datagrams.append(
            (_opening_packet(number), packets.CALLER_ADDRESS)
        )
    callers.datagrams.append((_data_packet(1), packets.CALLER_ADDRESS))
    max_backlog = 0
    for _ in range(packet_count):
        if scheduler.process_next(NOW) is None:
            break
        max_backlog = max(max_backlog, scheduler.backlog)
        scheduler.on_readable()
    assert max_backlog <= 2 * intake.MAX_QUEUED_PACKETS
    assert _data_packet(1) in decisions.processed


def test_backlog_is_bounded_when_packets_arrive_in_small_batches(
    scheduler, callers
):
    # Every batch is smaller than the limit of one read of the source.
    for step in range(40):
        for number in range(100):
            opening = _opening_packet(step * 100 + number)
            callers.datagrams.append((opening, packets.CALLER_ADDRESS))
        scheduler.on_readable()
        scheduler.process_next(NOW)
    assert scheduler.backlog <= intake.MAX_QUEUED_PACKETS


def test_backlog_of_opening_packets_is_reported_while_open_flows_are_served(
    scheduler, decisions, callers
):
    callers.datagrams.append((_opening_packet(1), packets.CALLER_ADDRESS))
    for number in range(2, 12):
        callers.datagrams.append((_data_packet(number), packets.CALLER_ADDRESS))
    scheduler.process_next(NOW)
    scheduler.process_next(NOW + intake.BEHIND_AFTER_S + 0.01)
    assert decisions.behind_changes == [True]


def test_malformed_packets_are_passed_on_to_be_counted(
    scheduler, decisions, callers
):
    for data in (b"", b"x", b"\xff" * 300):
        callers.datagrams.append((data, packets.CALLER_ADDRESS))
    _process_all(scheduler, NOW)
    assert len(decisions.processed) == 3


def test_empty_source_is_not_read_again_before_the_poll_interval(
    scheduler, callers
):
    reads = []
    original = callers.receive
    callers.receive = lambda: reads.append(1) or original()
    for number in range(5):
        callers.datagrams.append((_data_packet(number), packets.CALLER_ADDRESS))
    _process_all(scheduler, NOW)
    _process_all(scheduler, NOW)
    assert len(reads) == 6
    _process_all(scheduler, NOW + intake.POLL_INTERVAL_S)
    assert len(reads) == 7
