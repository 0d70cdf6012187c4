"""How searches share questions."""

import dataclasses

import pytest

from clementinelead.relays import candidates
from clementinelead.relays import directory
from clementinelead.relays import former_services
from clementinelead.relays import frames
from clementinelead.relays import outcomes
from clementinelead.relays import query_rounds
from clementinelead.relays import routes
from clementinelead.relays import steering
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
    late = BEGIN + 0.004 + query_rounds.ANSWER_S
    assert len(_questions(balancer, late)) == 3


def test_search_has_its_time_from_its_question_on(balancer):
    """Waiting for a round does not count as silence of the side processes."""
    _search(balancer, 1, BEGIN)
    asked = _questions(balancer, BEGIN + 0.004)
    key = _search(balancer, 2, BEGIN + 0.005)
    begun = BEGIN + 0.004 + query_rounds.ANSWER_S
    assert len(_questions(balancer, begun)) == 3
    now = begun + 0.9 * query_rounds.ANSWER_S
    _questions(balancer, now)
    for address in asked[:-1]:
        _deny(balancer, key, address, now)
    denial = frames.encode(frames.Kind.ABSENT, SERVICE, key, key)
    sends = balancer.on_frame(denial, asked[-1], now)
    assert any(isinstance(send, outcomes.ToCaller) for send in sends)


def _starting(balancer, address):
    balancer.set_targets(
        network.SERVICE,
        tuple(
            dataclasses.replace(target, starting=target.address == address)
            for target in balancer._directory.targets(network.SERVICE)
        ),
    )


def _resets_in_vain(balancer, silent, begin):
    """Lets all but one deny a flow; returns whether it is reset."""
    key = _search(balancer, int(begin * 1000), begin)
    asked = set(_questions(balancer, begin + 0.004)) - {silent}
    sends = []
    for address in asked:
        denial = frames.encode(frames.Kind.ABSENT, SERVICE, key, key)
        sends += balancer.on_frame(denial, address, begin + 0.01)
    sends += balancer.on_tick(begin + 0.1)
    return any(isinstance(send, outcomes.ToCaller) for send in sends)


def test_process_that_fell_silent_while_starting_is_not_waited_for(balancer):
    silent = ("side1", 1)
    _starting(balancer, silent)
    assert not _resets_in_vain(balancer, silent, BEGIN)
    assert not _resets_in_vain(balancer, silent, BEGIN + 1.0)
    late = BEGIN + directory.ABANDONED_S + 0.1
    assert _resets_in_vain(balancer, silent, late)


def test_process_that_has_served_is_waited_for(balancer):
    silent = ("side1", 1)
    assert not _resets_in_vain(balancer, silent, BEGIN)
    late = BEGIN + directory.ABANDONED_S + 0.1
    assert not _resets_in_vain(balancer, silent, late)


OTHER = ("other", 1)


def _asked_beside_another_service(former):
    """Lets a balancer search that knows a target of another service too."""
    balancer = steering.Steering(
        network.Format(), lambda decision: None, "z", former
    )
    share = routes.Share(network.SERVICE, 1)
    route = routes.Route("r", network.ROUTE_ADDRESS, (share,))
    table = routes.RoutingTable(1, (route,), 60.0)
    former.note_change(routes.EMPTY, table, BEGIN)
    balancer.set_routes(table)
    for service, address in ((network.SERVICE, ("side", 1)), ("o", OTHER)):
        target = candidates.Target(service, address, "z", True, False)
        balancer.set_targets(service, (target,))
    _search(balancer, 1, BEGIN)
    return _questions(balancer, BEGIN + 0.004)


def test_only_targets_of_the_routes_services_are_asked():
    former = former_services.FormerServices(first_start=True)
    assert _asked_beside_another_service(former) == [("side", 1)]


def test_targets_of_a_former_service_are_asked():
    former = former_services.FormerServices(first_start=True)
    former.learn(
        (former_services.Former(network.ROUTE_ADDRESS, "o"),), BEGIN - 1.0
    )
    assert OTHER in _asked_beside_another_service(former)


def test_all_targets_are_asked_while_former_services_are_not_known():
    former = former_services.FormerServices(first_start=False)
    assert OTHER in _asked_beside_another_service(former)
