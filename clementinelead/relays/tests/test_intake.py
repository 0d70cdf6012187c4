"""What a balancer handles first when more has come than it can handle."""

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
        self.waiting = collections.deque()

    def receive(self):
        return self.waiting.popleft() if self.waiting else None


class _Recorder(steering.Steering):
    """Notes what it is handed, and has a timer if told so."""

    def __init__(self):
        former = former_services.FormerServices(first_start=True)
        super().__init__(network.Format(), lambda _: None, "z", former)
        self.handed = []
        self.has_timer = False
        self.told_behind = []

    busy = property(lambda self: self.has_timer)

    def on_segment(self, segment, data, now):
        self.handed.append(data)
        return []

    def on_frame(self, data, source, now):
        self.handed.append(data)
        return []

    def on_tick(self, now):
        self.handed.append("tick")
        return []

    def set_behind(self, behind):
        self.told_behind.append(behind)


@pytest.fixture(name="decisions")
def _decisions():
    return _Recorder()


@pytest.fixture(name="peers")
def _peers():
    return _Source()


@pytest.fixture(name="callers")
def _callers():
    return _Source()


@pytest.fixture(name="read")
def _read(decisions, peers, callers):
    return intake.Intake(decisions, network.Format(), peers, callers)


def _opening(number, copies=0):
    return packets.build_packet(
        network.flow_key(number), packets.OPENS, acknowledgement=copies
    )


def _data(number):
    return packets.build_packet(network.flow_key(number), length=10)


def _all(read, now):
    """Handles everything that is due at a time."""
    while read.process_next(now) is not None:
        pass


def test_answers_go_before_the_timer_and_both_before_packets(
    read, decisions, peers, callers
):
    decisions.has_timer = True
    callers.waiting.append((_data(1), packets.CALLER_ADDRESS))
    peers.waiting.extend([(b"first", SIDE), (b"second", SIDE)])
    for _ in range(4):
        read.process_next(NOW)
    assert decisions.handed == [b"first", b"second", "tick", _data(1)]


def test_open_flows_go_before_new_ones(read, decisions, callers):
    for data in (_opening(1), _data(2), _opening(3), _data(4)):
        callers.waiting.append((data, packets.CALLER_ADDRESS))
    _all(read, NOW)
    assert decisions.handed == [_data(2), _data(4), _opening(1), _opening(3)]


def _leave_waiting(read, callers, numbers):
    """Reads opening packets, and handles the first of them only."""
    for number in numbers:
        callers.waiting.append((_opening(number), packets.CALLER_ADDRESS))
    read.process_next(NOW)


def test_newest_opening_packet_goes_first_when_behind(read, decisions, callers):
    _leave_waiting(read, callers, (1, 2, 3))
    later = NOW + intake.BEHIND_AFTER_S + 0.01
    callers.waiting.append((_opening(4), packets.CALLER_ADDRESS))
    read.on_readable()
    _all(read, later)
    assert decisions.handed == [_opening(number) for number in (1, 4, 3, 2)]
    assert decisions.told_behind == [True, False]


def test_copies_go_last_when_behind(read, decisions, callers):
    for data in (_opening(1), _opening(2, copies=1), _opening(3, copies=2)):
        callers.waiting.append((data, packets.CALLER_ADDRESS))
    read.process_next(NOW)
    callers.waiting.append((_opening(4), packets.CALLER_ADDRESS))
    read.on_readable()
    _all(read, NOW + intake.BEHIND_AFTER_S + 0.01)
    assert decisions.handed == [
        _opening(1),
        _opening(4),
        _opening(3, copies=2),
        _opening(2, copies=1),
    ]


def test_opening_packet_whose_copy_has_come_is_dropped(
    read, decisions, callers
):
    _leave_waiting(read, callers, (1, 2))
    later = NOW + intake.MAX_OPENING_WAIT_S + 0.01
    callers.waiting.append((_opening(2, copies=1), packets.CALLER_ADDRESS))
    read.on_readable()
    _all(read, later)
    assert decisions.handed == [_opening(1), _opening(2, copies=1)]
    assert read.counts.by_cause["opening_dropped_old"] == 1


def test_what_waits_is_bounded_and_packets_of_open_flows_are_kept(
    read, decisions, callers
):
    flood = 2 * intake.MAX_QUEUED_PACKETS
    for number in range(flood):
        callers.waiting.append((_opening(number), packets.CALLER_ADDRESS))
    callers.waiting.append((_data(1), packets.CALLER_ADDRESS))
    most = 0
    for _ in range(flood):
        if read.process_next(NOW) is None:
            break
        most = max(most, read.backlog)
        read.on_readable()
    assert most <= 2 * intake.MAX_QUEUED_PACKETS
    assert _data(1) in decisions.handed


def test_what_waits_is_bounded_when_it_comes_little_by_little(read, callers):
    # Each read finds its source empty in the end.
    for step in range(40):
        for number in range(100):
            opening = _opening(step * 100 + number)
            callers.waiting.append((opening, packets.CALLER_ADDRESS))
        read.on_readable()
        read.process_next(NOW)
    assert read.backlog <= intake.MAX_QUEUED_PACKETS


def test_new_flows_wait_behind_open_ones_but_the_delay_is_noticed(
    read, decisions, callers
):
    callers.waiting.append((_opening(1), packets.CALLER_ADDRESS))
    for number in range(2, 12):
        callers.waiting.append((_data(number), packets.CALLER_ADDRESS))
    read.process_next(NOW)
    read.process_next(NOW + intake.BEHIND_AFTER_S + 0.01)
    assert decisions.told_behind == [True]


def test_malformed_packets_are_handed_on_to_be_counted(
    read, decisions, callers
):
    for data in (b"", b"x", b"\xff" * 300):
        callers.waiting.append((data, packets.CALLER_ADDRESS))
    _all(read, NOW)
    assert len(decisions.handed) == 3


def test_source_found_empty_is_not_asked_at_each_step(read, callers):
    asked = []
    original = callers.receive
    callers.receive = lambda: asked.append(1) or original()
    for number in range(5):
        callers.waiting.append((_data(number), packets.CALLER_ADDRESS))
    _all(read, NOW)
    _all(read, NOW)
    assert len(asked) == 6
    _all(read, NOW + intake.POLL_INTERVAL_S)
    assert len(asked) == 7
