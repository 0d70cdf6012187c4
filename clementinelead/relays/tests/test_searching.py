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
from clementinelead.relays import unresolved_flows
from clementinelead.relays.tests import network
from clementinelead.replays import packets

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
    late = BEGIN + 0.004 + query_rounds.QUERY_REPLY_TIMEOUT_S
    assert len(_questions(balancer, late)) == 3


def test_search_has_its_time_from_its_question_on(balancer):
    """Waiting for a round does not count as silence of the side processes."""
    _search(balancer, 1, BEGIN)
    asked = _questions(balancer, BEGIN + 0.004)
    key = _search(balancer, 2, BEGIN + 0.005)
    begun = BEGIN + 0.004 + query_rounds.QUERY_REPLY_TIMEOUT_S
    assert len(_questions(balancer, begun)) == 3
    now = begun + 0.9 * query_rounds.QUERY_REPLY_TIMEOUT_S
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
    assert not _resets_in_vain(balancer, silent, BEGIN + 0.2)
    late = BEGIN + directory.SURPLUS_ABANDON_AFTER_S + 0.1
    assert _resets_in_vain(balancer, silent, late)


def test_silent_process_is_waited_for_longer_while_others_may_be_missing():
    known = directory.Directory("z")
    address = ("side", 1)
    starting = candidates.Target("s", address, "z", False, True)
    known.set_targets(network.SERVICE, (starting,))
    known.responsiveness.record_query(address, BEGIN)
    for late, complete, abandoned in (
        (0.2, True, False),
        (0.3, True, True),
        (0.3, False, False),
        (0.9, False, False),
        (1.1, False, True),
    ):
        known.complete_from = BEGIN if complete else float("inf")
        assert known.is_abandoned(address, BEGIN + late) is abandoned


def test_process_that_has_served_is_waited_for(balancer):
    silent = ("side1", 1)
    assert not _resets_in_vain(balancer, silent, BEGIN)
    late = BEGIN + directory.ABANDON_AFTER_S + 0.1
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
    former.record_change(routes.EMPTY, table, BEGIN)
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
    former.merge(
        (former_services.FormerService(network.ROUTE_ADDRESS, "o"),),
        BEGIN - 1.0,
    )
    assert OTHER in _asked_beside_another_service(former)


def test_all_targets_are_asked_while_former_services_are_not_known():
    former = former_services.FormerServices(first_start=False)
    assert OTHER in _asked_beside_another_service(former)


def _deny_all(balancer, asked, key, now):
    """Lets all who were asked deny a flow; returns how often it is reset."""
    sends = []
    for address in asked:
        denial = frames.encode(frames.Kind.ABSENT, SERVICE, key, key)
        sends += balancer.on_frame(denial, address, now)
    return sum(isinstance(send, outcomes.ToCaller) for send in sends)


def test_lost_flow_is_reset_as_soon_as_nobody_can_be_missing(balancer):
    # After a loss of all: the caller's next packet comes 1.6 s later.
    balancer.set_complete_from(float("inf"))
    key = _search(balancer, 1, BEGIN)
    asked = _questions(balancer, BEGIN + 0.004)
    assert not _deny_all(balancer, asked, key, BEGIN + 0.01)
    assert not _questions(balancer, BEGIN + 0.05)
    balancer.set_complete_from(BEGIN + 0.1)
    balancer.on_tick(BEGIN + 0.1)
    asked = _questions(balancer, BEGIN + 0.104)
    assert len(asked) == 3
    assert _deny_all(balancer, asked, key, BEGIN + 0.11) == 1


def test_flow_is_searched_for_again_while_somebody_is_silent(balancer):
    key = _search(balancer, 1, BEGIN)
    asked = _questions(balancer, BEGIN + 0.004)
    assert not _deny_all(balancer, asked[1:], key, BEGIN + 0.01)
    ended = BEGIN + 0.1
    balancer.on_tick(ended)
    balancer.on_tick(ended + unresolved_flows.FIRST_RETRY_DELAY_S)
    asked = _questions(
        balancer, ended + unresolved_flows.FIRST_RETRY_DELAY_S + 0.004
    )
    now = ended + unresolved_flows.FIRST_RETRY_DELAY_S + 0.01
    assert _deny_all(balancer, asked, key, now) == 1


def test_searches_in_vain_get_rarer_and_end(balancer):
    balancer.set_complete_from(float("inf"))
    key = _search(balancer, 1, BEGIN)
    rounds = 0
    for step in range(1, 2_000):
        now = BEGIN + 0.004 * step
        asked = _questions(balancer, now)
        rounds += bool(asked)
        _deny_all(balancer, asked, key, now)
    assert 3 <= rounds <= 6
    balancer.on_tick(now + 1.0)
    assert balancer._searcher._unresolved.get(key) is None


def _return_probe(balancer, key, probe, now):
    """Lets a target return the packet that it has been handed."""
    packet = network.packet(key, length=10)
    frame = frames.encode(frames.Kind.NOT_HELD, SERVICE, key, packet)
    return balancer.on_frame(frame, probe.address, now)


def test_target_that_has_returned_a_packet_is_not_handed_it_again(balancer):
    balancer.set_complete_from(float("inf"))
    key = _search(balancer, 1, BEGIN)
    asked = _questions(balancer, BEGIN + 0.004)
    now = BEGIN + 0.01
    sends = []
    for address in asked:
        unsure = frames.encode(frames.Kind.UNSURE, SERVICE, key, key)
        sends += balancer.on_frame(unsure, address, now)
    handed = []
    while sends:
        [probe] = sends
        handed.append(probe.address)
        sends = _return_probe(balancer, key, probe, now)
    assert sorted(handed) == sorted(asked)
    balancer.set_complete_from(now + 0.1)
    balancer.on_tick(now + 0.1)
    again = _questions(balancer, now + 0.104)
    assert sorted(again) == sorted(asked)
    sends = []
    for address in again:
        unsure = frames.encode(frames.Kind.UNSURE, SERVICE, key, key)
        sends += balancer.on_frame(unsure, address, now + 0.11)
    assert [type(send) for send in sends] == [outcomes.ToCaller]


def test_denials_of_all_that_have_started_anew_are_enough(balancer):
    balancer.set_complete_from(float("inf"))
    balancer.set_denials_conclusive_from(BEGIN)
    key = _search(balancer, 1, BEGIN)
    asked = _questions(balancer, BEGIN + 0.004)
    assert _deny_all(balancer, asked, key, BEGIN + 0.01) == 1


def test_returned_packet_is_no_denial_of_a_process_that_knows(balancer):
    # Targets that live on have flows of before, and one may be missing.
    balancer.set_complete_from(float("inf"))
    balancer.set_denials_conclusive_from(BEGIN)
    key = _search(balancer, 1, BEGIN)
    first, *others = _questions(balancer, BEGIN + 0.004)
    now = BEGIN + 0.01
    unsure = frames.encode(frames.Kind.UNSURE, SERVICE, key, key)
    balancer.on_frame(unsure, first, now)
    assert _deny_all(balancer, others, key, now) == 0
    probe = outcomes.ToPeer(first, b"")
    assert not _return_probe(balancer, key, probe, now)


def test_denials_count_after_an_earlier_search_met_doubt(balancer):
    # Side processes that have just started can't deny before their targets
    # announce themselves.
    balancer.set_complete_from(float("inf"))
    key = _search(balancer, 1, BEGIN)
    asked = _questions(balancer, BEGIN + 0.004)
    sends = []
    for address in asked:
        unsure = frames.encode(frames.Kind.UNSURE, SERVICE, key, key)
        sends += balancer.on_frame(unsure, address, BEGIN + 0.01)
    while sends:
        [probe] = sends
        sends = _return_probe(balancer, key, probe, BEGIN + 0.02)
    balancer.set_denials_conclusive_from(BEGIN + 0.1)
    balancer.on_tick(BEGIN + 0.1)
    again = _questions(balancer, BEGIN + 0.104)
    assert _deny_all(balancer, again, key, BEGIN + 0.11) == 1


def test_flood_of_unknown_flows_is_bounded(balancer, monkeypatch):
    monkeypatch.setattr(unresolved_flows, "MAX_FLOWS", 10)
    balancer.set_complete_from(float("inf"))
    keys = [_search(balancer, number, BEGIN) for number in range(50)]
    asked = _questions(balancer, BEGIN + 0.004)
    for key in keys:
        _deny_all(balancer, asked, key, BEGIN + 0.01)
    assert balancer.counts.by_cause["unresolved_full"] == 40
    kept = sum(
        balancer._searcher._unresolved.get(key) is not None for key in keys
    )
    assert kept == 10


def _place(balancer, key, address, now):
    """Lets a caller open a flow, and a target accept it."""
    opening = network.packet(key, packets.OPENS, acknowledgement=1)
    balancer.on_packet(opening, now)
    accepted = frames.encode(frames.Kind.ACCEPTED, SERVICE, key, value=500)
    balancer.on_frame(accepted, address, now)


def test_flow_that_opens_during_a_search_is_not_reset(balancer):
    # The denials were true when they were sent.
    key = _search(balancer, 1, BEGIN)
    asked = _questions(balancer, BEGIN + 0.004)
    _place(balancer, key, asked[0], BEGIN + 0.005)
    assert _deny_all(balancer, asked, key, BEGIN + 0.006) == 0


def test_flow_that_opens_between_searches_is_not_searched_for(balancer):
    balancer.set_complete_from(float("inf"))
    key = _search(balancer, 1, BEGIN)
    asked = _questions(balancer, BEGIN + 0.004)
    _deny_all(balancer, asked, key, BEGIN + 0.01)
    _place(balancer, key, asked[0], BEGIN + 0.02)
    balancer.set_complete_from(BEGIN + 0.1)
    balancer.on_tick(BEGIN + 0.1)
    assert not _questions(balancer, BEGIN + 0.104)
