"""How searches share questions."""

import pytest

from clementinelead.relays import frames
from clementinelead.relays import outcomes
from clementinelead.relays import searching
from clementinelead.relays.tests import network

BEGIN = 100.0
SERVICE = frames.service_number(network.SERVICE)


@pytest.fixture(name="balancer")
def _balancer():
    return network.Network(targets=3).new_balancer()


def _search(balancer, number, now):
    key = network.flow_key(number)
    balancer.on_packet(network.packet(key, length=10), now)
    return key


def _questions(balancer, now):
    """Lets time pass; returns who is asked."""
    asked = []
    for send in balancer.on_tick(now):
        if isinstance(send, outcomes.ToPeer):
            frame = frames.decode(send.data)
            if frame.kind is frames.Kind.ASK_HELD:
                asked.append(send.address)
    return asked


def _deny(balancer, key, address, now):
    denial = frames.encode(frames.Kind.ABSENT, SERVICE, key, key)
    balancer.on_frame(denial, address, now)


def test_next_round_of_questions_waits_for_the_answers_to_the_last(balancer):
    first = _search(balancer, 1, BEGIN)
    asked = _questions(balancer, BEGIN + 0.004)
    assert len(asked) == 3
    _search(balancer, 2, BEGIN + 0.005)
    _search(balancer, 3, BEGIN + 0.006)
    for address in asked:
        assert not _questions(balancer, BEGIN + 0.02)
        _deny(balancer, first, address, BEGIN + 0.02)
    assert len(_questions(balancer, BEGIN + 0.021)) == 3


def test_silent_side_process_does_not_keep_others_from_being_asked(balancer):
    _search(balancer, 1, BEGIN)
    _questions(balancer, BEGIN + 0.004)
    _search(balancer, 2, BEGIN + 0.005)
    late = BEGIN + 0.004 + searching.ANSWER_S
    assert len(_questions(balancer, late)) == 3


def test_search_has_its_time_from_its_question_on(balancer):
    """Waiting for a round does not count as silence of the side processes."""
    _search(balancer, 1, BEGIN)
    asked = _questions(balancer, BEGIN + 0.004)
    key = _search(balancer, 2, BEGIN + 0.005)
    begun = BEGIN + 0.004 + searching.ANSWER_S
    assert len(_questions(balancer, begun)) == 3
    now = begun + 0.9 * searching.ANSWER_S
    _questions(balancer, now)
    for address in asked[:-1]:
        _deny(balancer, key, address, now)
    denial = frames.encode(frames.Kind.ABSENT, SERVICE, key, key)
    sends = balancer.on_frame(denial, asked[-1], now)
    assert any(isinstance(send, outcomes.ToCaller) for send in sends)
