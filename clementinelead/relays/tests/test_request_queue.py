"""Order and limits of the requests held beside a target."""

import random

import pytest

from clementinelead.relays import formats
from clementinelead.relays import held_requests
from clementinelead.relays import request_queue
from clementinelead.relays import request_releases
from clementinelead.relays import requests_in_progress

Cause = request_releases.Cause
Ending = requests_in_progress.Ending


def _packet(sequence=1, data=b"data"):
    segment = formats.Segment(
        key=b"key",
        opens=False,
        copies=0,
        accepts=False,
        closes=False,
        resets=False,
        returned=False,
        sequence=sequence,
        acknowledgement=0,
        length=10,
    )
    return held_requests.Packet(segment, data)


def _offer(queue, key, priority=2, objective_s=0.2, now=0.0, timeout_s=2.0):
    packet = _packet(data=key)
    return queue.offer(key, packet, priority, objective_s, timeout_s, now)


def _busy_queue(slots=1):
    """Returns a queue whose target has enough to do."""
    queue = request_queue.RequestQueue(slots)
    queue.highest_priority = 1
    for number in range(slots + 1):
        [release] = _offer(queue, b"busy%d" % number)
        assert release.cause is Cause.IN_TURN
    return queue


def _complete_all(queue, first):
    """Completes requests as they are forwarded; returns their keys."""
    keys = []
    ended = [first]
    while ended:
        releases = queue.complete(ended.pop(), 0.0)
        ended += [release.key for release in releases]
        keys += [release.key for release in releases]
    return keys


@pytest.mark.parametrize("slots", [1, 3])
def test_requests_are_held_only_if_one_waits_at_the_target(slots):
    queue = _busy_queue(slots)
    assert _offer(queue, b"held") == []
    [release] = queue.complete(b"busy0", 0.1)
    assert (release.key, release.packets) == (b"held", (b"held",))
    assert release.held_s == pytest.approx(0.1)


def test_higher_priority_then_earlier_deadline_is_first():
    queue = _busy_queue()
    _offer(queue, b"late", priority=1, objective_s=0.3)
    _offer(queue, b"lower", priority=2, objective_s=0.1)
    _offer(queue, b"soon", priority=1, objective_s=0.2)
    assert _complete_all(queue, b"busy0") == [b"soon", b"late", b"lower"]


# Guards against starvation, also of the lowest of several priorities.
def test_each_lower_priority_gets_turns():
    queue = _busy_queue()
    for number in range(48):
        for priority in (0, 1, 2):
            _offer(queue, b"%d %d" % (priority, number), priority)
    keys = _complete_all(queue, b"busy0")[:48]
    for start in range(0, 48, 4):
        lower = [key for key in keys[start : start + 4] if key[:1] != b"0"]
        assert lower
    assert any(key[:1] == b"2" for key in keys)


def test_copies_are_dropped_and_packets_stay_in_order():
    queue = _busy_queue()
    _offer(queue, b"k")
    for sequence in (11, 1, 21, 11):
        data = b"%d" % sequence
        assert queue.append(b"k", _packet(sequence, data), 0.0) == []
    [release] = queue.complete(b"busy0", 0.0)
    assert release.packets == (b"k", b"11", b"21")


def test_request_with_too_many_packets_is_forwarded_whole():
    queue = _busy_queue()
    _offer(queue, b"k")
    limit = request_queue.MAX_PACKETS_PER_REQUEST
    for number in range(1, limit):
        assert queue.append(b"k", _packet(1 + 10 * number), 0.0) == []
    [release] = queue.append(b"k", _packet(1 + 10 * limit), 0.0)
    assert len(release.packets) == limit + 1
    assert release.cause is Cause.NO_SPACE
    assert queue.held_count == 0


def test_no_more_than_the_limit_of_packets_is_held():
    queue = _busy_queue()
    for number in range(request_queue.MAX_PACKETS):
        assert _offer(queue, b"%d" % number) == []
    [release] = _offer(queue, b"beyond")
    assert (release.key, release.cause) == (b"beyond", Cause.NO_SPACE)
    [release] = queue.append(b"7", _packet(11), 0.0)
    assert (release.key, len(release.packets)) == (b"7", 2)


def test_held_request_is_dropped_once_its_caller_has_given_up():
    queue = _busy_queue()
    _offer(queue, b"k", objective_s=3.0, timeout_s=2.0)
    assert queue.on_tick(1.9) == []
    [release] = queue.on_tick(2.0)
    assert (release.packets, release.cause) == ((), Cause.EXPIRED)


def test_silent_target_is_sent_requests_again_after_the_timeout():
    queue = _busy_queue()
    _offer(queue, b"k", objective_s=9.0, timeout_s=9.0)
    assert queue.on_tick(4.9) == []
    [release] = queue.on_tick(requests_in_progress.IN_PROGRESS_TIMEOUT_S)
    assert release.cause is Cause.IN_TURN


def test_flush_returns_everything_by_priority():
    queue = _busy_queue()
    for key, priority in ((b"a", 2), (b"b", 1), (b"c", 2)):
        _offer(queue, key, priority)
    assert [release.key for release in queue.flush(0.0)] == [b"b", b"a", b"c"]
    assert queue.held_count == 0


def test_end_of_a_flow_drops_its_held_request_only():
    queue = _busy_queue()
    _offer(queue, b"a")
    _offer(queue, b"b")
    [dropped] = queue.complete(b"a", 0.0)
    assert (dropped.packets, dropped.cause) == ((), Cause.DISCARDED)
    assert [r.key for r in queue.complete(b"busy0", 0.0)] == [b"b"]


# Guards against memory that grows with flows that end while they are held.
def test_ended_flows_leave_no_entries():
    requests = held_requests.HeldRequests()
    for number in range(5_000):
        request = held_requests.HeldRequest(b"k", number % 3, 9.0, 9.0, 0.0, {})
        requests.add(request)
        requests.remove(request)
    entries = sum(len(heap) for heap in requests._heap_by_priority.values())
    assert entries <= held_requests.MAX_OUTDATED_ENTRIES + 1


def _fill(queue, capacity):
    """Fills a target that rejects; returns the keys in progress."""
    queue.in_progress.service_s = 0.02
    keys = [b"busy0", b"busy1"]
    for number in range(60):
        for release in _offer(queue, b"%d" % number, now=number * 1e-4):
            keys.append(release.key)
            if len(keys) > capacity:
                queue.complete(keys.pop(), 0.01, ending=Ending.REJECTED)
    return keys


# Guards against late answers to all: held until their objective, requests
# would fill the target's queue when they can no longer be in time.
def test_requests_overflow_to_the_target_before_they_are_late():
    queue = _busy_queue()
    keys = _fill(queue, capacity=6)
    assert len(queue.in_progress) == len(keys) == 6
    assert 0 < queue.held_count * 0.02 < 0.2


def test_request_that_would_be_late_goes_to_the_full_target_at_once():
    queue = _busy_queue()
    _fill(queue, capacity=6)
    [release] = _offer(queue, b"k", now=0.02)
    assert (release.key, release.cause) == (b"k", Cause.OVERFLOW)
    # The next place is for a request of the highest priority.
    queue.complete(b"k", 0.02, ending=Ending.REJECTED)
    assert _offer(queue, b"order", priority=1, objective_s=0.3, now=0.02) == []
    assert queue.complete(b"busy0", 0.03)[0].key == b"order"


# Guards against late answers to all: the earliest deadlines are those that can
# no longer be met.
def test_overdue_request_waits_behind_one_that_can_be_in_time():
    queue = _busy_queue()
    _fill(queue, capacity=6)
    queue.flush(0.02)
    for key in (b"a", b"b"):
        _offer(queue, key, now=0.02)
    _offer(queue, b"in time", objective_s=0.9, now=0.02)
    _offer(queue, b"other", objective_s=0.9, now=0.02)
    [release] = _offer(queue, b"overdue", objective_s=0.05, now=0.02)
    assert release.key == b"in time"
    assert queue.is_held(b"overdue")
    queue.complete(b"a", 0.03)
    queue.complete(b"b", 0.03)
    assert queue.is_held(b"overdue") is queue.is_held(b"other") is False


# Guards against starvation of a priority whose requests never fit.
def test_refused_lower_priority_gets_the_fourth_turn():
    queue = _busy_queue()
    keys = _fill(queue, capacity=9)
    forwarded = []
    for number in range(40):
        now = 0.1 + number * 0.02
        for key, priority in ((b"high", 1), (b"low", 2)):
            _offer(queue, b"%s%d" % (key, number), priority, 0.25, now)
        while len(queue.in_progress) > 9:  # the target rejects the newest
            newest = list(queue.in_progress._deadline_by_key)[-1]
            queue.complete(newest, now, ending=Ending.REJECTED)
        for release in queue.complete(keys.pop(0), now):
            keys.append(release.key)
            forwarded.append(release.key.startswith(b"high"))
    assert len(forwarded) >= 40
    for start in range(len(forwarded) - 3):
        assert not all(forwarded[start : start + 4])


def _check(queue, held, forwarded, releases, now):
    for release in releases:
        arrived_at, objective_s, sent = held.pop(release.key, (now, 0.0, None))
        assert now - arrived_at <= objective_s
        if release.packets:
            assert sent is None or list(release.packets) == sent
            forwarded[release.key] = None
    assert queue.held_count == len(held)
    if held:
        assert len(queue.in_progress) >= 2


@pytest.mark.parametrize("seed", range(5))
def test_random_load_loses_nothing_and_holds_nothing_too_long(seed):
    draw = random.Random(seed)
    queue = request_queue.RequestQueue(1)
    queue.in_progress.service_s = 0.02
    held, forwarded, now = {}, {}, 0.0
    for number in range(3_000):
        now += 0.01
        action = draw.random()
        if action < 0.55:
            key = b"%d" % number
            objective_s = draw.choice((0.1, 0.25, 0.9))
            priority = draw.randrange(4)
            held[key] = (now, objective_s, [key])
            releases = _offer(queue, key, priority, objective_s, now)
        elif action < 0.7 and held:
            key = draw.choice(list(held))
            data = b"%d" % number
            held[key][2].append(data)
            releases = queue.append(key, _packet(number * 10, data), now)
        elif action < 0.75 and held:
            releases = queue.complete(draw.choice(list(held)), now)
        elif forwarded:
            key = draw.choice(list(forwarded)[:3])
            del forwarded[key]
            ending = Ending.REJECTED if draw.random() < 0.3 else Ending.SERVED
            releases = queue.complete(key, now, ending)
        else:
            releases = []
        _check(queue, held, forwarded, releases, now)
        _check(queue, held, forwarded, queue.on_tick(now), now)
