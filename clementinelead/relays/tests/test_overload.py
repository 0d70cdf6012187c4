"""Overload of a balancer, from missing replies of side processes."""

import pytest

from clementinelead.relays import overload
from clementinelead.relays.tests import network
from clementinelead.replays import packets

SIDES = [(f"side{number}", 1) for number in range(20)]


def _detector():
    detector = overload.Overload()
    detector.may_leave = True
    return detector


def _feed(detector, begin, seconds, lossy, responding=SIDES, silent=()):
    """Records replies every 0.1 s, and missing ones from some processes."""
    for step in range(round(seconds / 0.1)):
        now = begin + step * 0.1
        for address in responding:
            detector.record_reply(address, now)
        for address in [*lossy, *silent]:
            detector.record_timeout(address, now)
    return begin + seconds


# Guards against an instance with a full link that stays in the rotation while
# others have room: its callers' packets were lost for 20 s after a burst.
def test_balancer_leaves_when_most_side_processes_miss_replies():
    detector = _detector()
    now = _feed(detector, 10.0, 3.2, SIDES[:12])
    assert detector.is_overloaded(now)
    assert detector.leave_count == 1


def test_some_slow_side_processes_do_not_make_a_balancer_leave():
    detector = _detector()
    now = _feed(detector, 10.0, 10.0, SIDES[:9])
    assert not detector.is_overloaded(now)


# Guards against balancers that leave after a restart of all processes, while
# most side processes are still starting.
def test_silent_side_processes_do_not_make_a_balancer_leave():
    detector = _detector()
    now = _feed(detector, 10.0, 10.0, (), SIDES[:8], SIDES[8:])
    assert not detector.is_overloaded(now)


# The same while the others are slow: half of the missing replies are late.
def test_silent_side_processes_do_not_hide_that_other_replies_are_late():
    detector = _detector()
    now = 10.0
    for _ in range(100):
        for _ in SIDES[:10]:
            detector.record_late_reply()
        now = _feed(detector, now, 0.1, SIDES[:10], SIDES[:10], SIDES[10:])
    assert detector.leave_count == 0


def test_short_loss_does_not_make_a_balancer_leave():
    detector = _detector()
    now = _feed(detector, 10.0, 2.0, ())
    now = _feed(detector, now, 0.9, SIDES)
    now = _feed(detector, now, 3.0, ())
    assert detector.leave_count == 0


def test_few_responding_side_processes_prove_nothing():
    detector = _detector()
    now = _feed(detector, 10.0, 10.0, SIDES[:7], SIDES[:7])
    assert not detector.is_overloaded(now)


def test_lossy_windows_far_apart_prove_nothing():
    detector = _detector()
    now = _feed(detector, 10.0, 1.0, SIDES)
    now = _feed(detector, now + 20.0, 1.0, SIDES)
    detector.record_reply(SIDES[0], now)
    assert not detector.is_overloaded(now)


def test_balancer_returns_after_a_time_that_grows_with_each_relapse():
    detector = _detector()
    now = 10.0
    times_away = []
    for _ in range(5):
        while not detector.is_overloaded(now):
            now = _feed(detector, now, 0.1, SIDES)
        left_at = now
        while detector.is_overloaded(now):
            now += 0.1
        times_away.append(round(now - left_at))
    assert times_away == [4, 8, 16, 32, 32]


def test_time_away_is_short_again_after_a_calm_time():
    detector = _detector()
    now = _feed(detector, 10.0, 3.2, SIDES)
    now = _feed(detector, now, 20.0, ())
    now = _feed(detector, now, 3.2, SIDES)
    assert detector.leave_count == 2
    assert not detector.is_overloaded(now + overload.FIRST_LEAVE_S)


def test_balancer_that_must_stay_neither_leaves_nor_counts_it():
    detector = _detector()
    detector.may_leave = False
    now = _feed(detector, 10.0, 5.0, SIDES)
    assert not detector.is_overloaded(now)
    assert detector.leave_count == 0


# Guards against balancers that leave because targets are slow: an opening packet
# is answered by the target, so its delay says nothing about the link.
# With a round trip of 70 ms, as on a busy machine after a restart of all
# processes, all replies are late but none is lost.
@pytest.mark.parametrize(
    ("delay_s", "target_delay_s"), [(0.001, 0.1), (0.035, 0.0)]
)
def test_late_answers_do_not_make_a_balancer_leave(delay_s, target_delay_s):
    net = network.Network(
        targets=20, delay_s=delay_s, target_delay_s=target_delay_s
    )
    [balancer] = net.balancer_by_address.values()
    balancer.overload.may_leave = True
    for number in range(480):
        key = network.flow_key(number)
        net.send(network.packet(key, packets.OPENS))
        net.run(0.01)
    assert balancer.overload.leave_count == 0
