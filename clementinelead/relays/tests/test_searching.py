"""Searches for the owners of flows: batching, retries and resets."""

import dataclasses
import tracemalloc

import pytest

from clementinelead.relays import active_searches
from clementinelead.relays import address_sets
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


def _queried_sides(balancer, now):
    """Advances the time; returns the side processes that are queried."""
    queried = []
    for send in balancer.on_tick(now):
        if isinstance(send, outcomes.ToPeer):
            frame = frames.decode(send.data)
            if frame.kind is frames.Kind.QUERY_HELD:
                queried.append(send.address)
    return queried


def _deny(balancer, key, address, now):
    denial = frames.encode(frames.Kind.ABSENT, SERVICE, key, key)
    balancer.on_frame(denial, address, now)


def test_next_query_round_waits_for_the_replies_to_the_last(balancer):
    first = _search(balancer, 1, BEGIN)
    queried = _queried_sides(balancer, BEGIN + 0.004)
    assert len(queried) == 3
    _search(balancer, 2, BEGIN + 0.005)
    _search(balancer, 3, BEGIN + 0.006)
    for address in queried:
        assert not _queried_sides(balancer, BEGIN + 0.02)
        _deny(balancer, first, address, BEGIN + 0.02)
    assert len(_queried_sides(balancer, BEGIN + 0.021)) == 3


def test_next_query_round_starts_after_the_reply_timeout(balancer):
    _search(balancer, 1, BEGIN)
    _queried_sides(balancer, BEGIN + 0.004)
    _search(balancer, 2, BEGIN + 0.005)
    late = BEGIN + 0.004 + query_rounds.QUERY_REPLY_TIMEOUT_S
    assert len(_queried_sides(balancer, late)) == 3


def test_search_deadline_counts_from_the_sending_of_its_query(balancer):
    """The wait for a round does not count towards the reply timeout."""
    _search(balancer, 1, BEGIN)
    queried = _queried_sides(balancer, BEGIN + 0.004)
    key = _search(balancer, 2, BEGIN + 0.005)
    sent_at = BEGIN + 0.004 + query_rounds.QUERY_REPLY_TIMEOUT_S
    assert len(_queried_sides(balancer, sent_at)) == 3
    now = sent_at + 0.9 * query_rounds.QUERY_REPLY_TIMEOUT_S
    _queried_sides(balancer, now)
    for address in queried[:-1]:
        _deny(balancer, key, address, now)
    denial = frames.encode(frames.Kind.ABSENT, SERVICE, key, key)
    sends = balancer.on_frame(denial, queried[-1], now)
    assert any(isinstance(send, outcomes.ToCaller) for send in sends)


def _starting(balancer, address):
    balancer.set_targets(
        network.SERVICE,
        tuple(
            dataclasses.replace(target, starting=target.address == address)
            for target in balancer._directory.targets(network.SERVICE)
        ),
    )


def _is_reset_without(balancer, unresponsive, begin):
    """Sends the denials of all but one; returns whether the flow is reset."""
    key = _search(balancer, int(begin * 1000), begin)
    queried = set(_queried_sides(balancer, begin + 0.004)) - {unresponsive}
    sends = []
    for address in queried:
        denial = frames.encode(frames.Kind.ABSENT, SERVICE, key, key)
        sends += balancer.on_frame(denial, address, begin + 0.01)
    sends += balancer.on_tick(begin + 0.1)
    return any(isinstance(send, outcomes.ToCaller) for send in sends)


def test_starting_process_without_reply_is_abandoned(balancer):
    unresponsive = ("side1", 1)
    _starting(balancer, unresponsive)
    assert not _is_reset_without(balancer, unresponsive, BEGIN)
    assert not _is_reset_without(balancer, unresponsive, BEGIN + 0.2)
    late = BEGIN + directory.SURPLUS_ABANDON_AFTER_S + 0.1
    assert _is_reset_without(balancer, unresponsive, late)


def test_abandonment_is_later_while_the_directory_may_be_incomplete():
    targets = directory.Directory("z")
    address = ("side", 1)
    starting = candidates.Target("s", address, "z", False, True)
    targets.set_targets(network.SERVICE, (starting,))
    targets.responsiveness.record_query(address, BEGIN)
    assert not targets.is_abandoned(address, BEGIN + 2.0)  # one lost reply
    targets.responsiveness.record_query(address, BEGIN + 0.1)
    for late, complete, abandoned in (
        (0.2, True, False),
        (0.3, True, True),
        (0.3, False, False),
        (0.9, False, False),
        (1.1, False, True),
    ):
        targets.complete_from = BEGIN if complete else float("inf")
        assert targets.is_abandoned(address, BEGIN + late) is abandoned


# Guards against the reset of an open flow whose side process is the one that
# is missing: it was killed before its target announced itself.
def test_starting_process_may_be_the_missing_one(balancer):
    unresponsive = ("side1", 1)
    _starting(balancer, unresponsive)
    balancer.set_complete_from(BEGIN, some_missing=True)
    assert not _is_reset_without(balancer, unresponsive, BEGIN)
    early = BEGIN + directory.SURPLUS_ABANDON_AFTER_S + 0.1
    assert not _is_reset_without(balancer, unresponsive, early)
    late = BEGIN + directory.ABANDON_AFTER_S + 0.1
    assert _is_reset_without(balancer, unresponsive, late)


# Guards against the reset of an open flow at a target whose side process had
# not replied to others for long, but replies to the search.
def test_target_of_a_process_that_responds_again_is_probed(balancer):
    responding = ("side1", 1)
    _starting(balancer, responding)
    balancer.set_complete_from(BEGIN)
    for queried_at in (BEGIN, BEGIN + 0.1):
        balancer._directory.responsiveness.record_query(responding, queried_at)
    now = BEGIN + directory.ABANDON_AFTER_S + 0.2
    key = _search(balancer, 1, now)
    queried = _queried_sides(balancer, now + 0.004)
    queried.remove(responding)
    unsure = frames.encode(frames.Kind.UNSURE, SERVICE, key, key)
    sends = balancer.on_frame(unsure, responding, now + 0.005)
    denial = frames.encode(frames.Kind.ABSENT, SERVICE, key, key)
    for address in queried:
        sends += balancer.on_frame(denial, address, now + 0.006)
    assert [send.address for send in sends] == [responding]


# Guards against an open flow that is not searched for again while its owner
# restarts, since each late reply of another process postponed the next search.
def test_late_replies_do_not_postpone_the_next_search():
    balancer = network.Network(targets=12).new_balancer()
    key = _search(balancer, 1, BEGIN)
    queried = _queried_sides(balancer, BEGIN + 0.004)
    timeout_s = query_rounds.QUERY_REPLY_TIMEOUT_S
    now = BEGIN + 0.004 + timeout_s
    assert not _queried_sides(balancer, now)  # ends without the replies
    due_at = now + unresolved_flows.FIRST_RETRY_DELAY_S
    searched_at = []
    for address in queried[:6]:
        _deny(balancer, key, address, now)
        now += timeout_s
        _queried_sides(balancer, now)
        if _queried_sides(balancer, now + query_rounds.QUERY_BATCH_DELAY_S):
            searched_at.append(now)
    # The search that the last reply has resumed ends first.
    assert searched_at
    assert due_at <= searched_at[0] <= due_at + 2 * timeout_s


def test_process_that_has_served_is_not_abandoned(balancer):
    unresponsive = ("side1", 1)
    assert not _is_reset_without(balancer, unresponsive, BEGIN)
    late = BEGIN + directory.ABANDON_AFTER_S + 0.1
    assert not _is_reset_without(balancer, unresponsive, late)


OTHER = ("other", 1)


def _balancer_with_other_service(former):
    """Returns a balancer that knows a target of another service, too."""
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
    return balancer


def _queried_with_other_service(former):
    """Starts a search; returns the side processes that are queried first."""
    balancer = _balancer_with_other_service(former)
    _search(balancer, 1, BEGIN)
    return _queried_sides(balancer, BEGIN + 0.004)


def test_only_targets_of_the_routes_services_are_queried():
    former = former_services.FormerServices(first_start=True)
    assert _queried_with_other_service(former) == [("side", 1)]


def test_targets_of_a_former_service_are_queried():
    former = former_services.FormerServices(first_start=True)
    former.merge(
        (former_services.FormerService(network.ROUTE_ADDRESS, "o"),),
        BEGIN - 1.0,
    )
    assert OTHER in _queried_with_other_service(former)


def test_all_targets_are_queried_while_former_services_are_incomplete():
    # Targets of other services get no packet of the flow before those of its
    # own service have denied it.
    former = former_services.FormerServices(first_start=False)
    balancer = _balancer_with_other_service(former)
    balancer.set_complete_from(BEGIN)
    key = _search(balancer, 1, BEGIN)
    assert _queried_sides(balancer, BEGIN + 0.004) == [("side", 1)]
    assert not _deny_all(balancer, [("side", 1)], key, BEGIN + 0.01)
    assert _queried_sides(balancer, BEGIN + 0.014) == [OTHER]
    assert _deny_all(balancer, [OTHER], key, BEGIN + 0.02) == 1


def test_other_services_are_not_queried_while_the_directory_is_incomplete():
    # The owner may be a process that is missing in the directory.
    former = former_services.FormerServices(first_start=False)
    balancer = _balancer_with_other_service(former)
    key = _search(balancer, 1, BEGIN)
    queried = _queried_sides(balancer, BEGIN + 0.004)
    assert not _deny_all(balancer, queried, key, BEGIN + 0.01)
    assert not _queried_sides(balancer, BEGIN + 0.014)


def _deny_all(balancer, queried, key, now):
    """Sends denials of all queried processes; returns the number of resets."""
    sends = []
    for address in queried:
        denial = frames.encode(frames.Kind.ABSENT, SERVICE, key, key)
        sends += balancer.on_frame(denial, address, now)
    return sum(isinstance(send, outcomes.ToCaller) for send in sends)


def test_lost_flow_is_reset_as_soon_as_the_directory_is_complete(balancer):
    # After a restart of all processes: without a retry, the reset would wait
    # for the caller's retransmission 1.6 s later.
    balancer.set_complete_from(float("inf"))
    key = _search(balancer, 1, BEGIN)
    queried = _queried_sides(balancer, BEGIN + 0.004)
    assert not _deny_all(balancer, queried, key, BEGIN + 0.01)
    assert not _queried_sides(balancer, BEGIN + 0.05)
    balancer.set_complete_from(BEGIN + 0.1)
    balancer.on_tick(BEGIN + 0.1)
    queried = _queried_sides(balancer, BEGIN + 0.104)
    assert len(queried) == 3
    assert _deny_all(balancer, queried, key, BEGIN + 0.11) == 1


def test_search_is_retried_after_a_missing_reply(balancer):
    key = _search(balancer, 1, BEGIN)
    queried = _queried_sides(balancer, BEGIN + 0.004)
    assert not _deny_all(balancer, queried[1:], key, BEGIN + 0.01)
    ended = BEGIN + 0.1
    balancer.on_tick(ended)
    balancer.on_tick(ended + unresolved_flows.FIRST_RETRY_DELAY_S)
    queried = _queried_sides(
        balancer, ended + unresolved_flows.FIRST_RETRY_DELAY_S + 0.004
    )
    now = ended + unresolved_flows.FIRST_RETRY_DELAY_S + 0.01
    assert _deny_all(balancer, queried, key, now) == 1


def test_failed_searches_back_off_and_end(balancer):
    balancer.set_complete_from(float("inf"))
    key = _search(balancer, 1, BEGIN)
    rounds = 0
    for step in range(1, 2_000):
        now = BEGIN + 0.004 * step
        queried = _queried_sides(balancer, now)
        rounds += bool(queried)
        _deny_all(balancer, queried, key, now)
    assert 3 <= rounds <= 6
    balancer.on_tick(now + 1.0)
    assert balancer._searcher._unresolved.get(key) is None


def _return_probe(balancer, key, probe, now):
    """Sends the packet that a probed target returns."""
    packet = network.packet(key, length=10)
    frame = frames.encode(frames.Kind.NOT_HELD, SERVICE, key, packet)
    return balancer.on_frame(frame, probe.address, now)


def _return_all_probes(balancer, key, sends, now):
    """Returns all probes; returns the addresses that were probed."""
    probes = [send for send in sends if isinstance(send, outcomes.ToPeer)]
    probed = []
    while probes:
        probe = probes.pop(0)
        probed.append(probe.address)
        probes.extend(_return_probe(balancer, key, probe, now))
    return probed


def test_target_that_returned_a_packet_is_not_probed_again(balancer):
    balancer.set_complete_from(float("inf"))
    key = _search(balancer, 1, BEGIN)
    queried = _queried_sides(balancer, BEGIN + 0.004)
    now = BEGIN + 0.01
    sends = []
    for address in queried:
        unsure = frames.encode(frames.Kind.UNSURE, SERVICE, key, key)
        sends += balancer.on_frame(unsure, address, now)
    probed = _return_all_probes(balancer, key, sends, now)
    assert sorted(probed) == sorted(queried)
    balancer.set_complete_from(now + 0.1)
    balancer.on_tick(now + 0.1)
    again = _queried_sides(balancer, now + 0.104)
    assert sorted(again) == sorted(queried)
    sends = []
    for address in again:
        unsure = frames.encode(frames.Kind.UNSURE, SERVICE, key, key)
        sends += balancer.on_frame(unsure, address, now + 0.11)
    assert [type(send) for send in sends] == [outcomes.ToCaller]


def test_denials_of_all_restarted_processes_prove_a_flow_lost(balancer):
    balancer.set_complete_from(float("inf"))
    balancer.set_denials_conclusive_from(BEGIN)
    key = _search(balancer, 1, BEGIN)
    queried = _queried_sides(balancer, BEGIN + 0.004)
    assert _deny_all(balancer, queried, key, BEGIN + 0.01) == 1


def test_returned_packet_does_not_count_as_a_certain_denial(balancer):
    # Targets that kept running may hold earlier flows, and one may be missing.
    balancer.set_complete_from(float("inf"))
    balancer.set_denials_conclusive_from(BEGIN)
    key = _search(balancer, 1, BEGIN)
    first, *others = _queried_sides(balancer, BEGIN + 0.004)
    now = BEGIN + 0.01
    unsure = frames.encode(frames.Kind.UNSURE, SERVICE, key, key)
    balancer.on_frame(unsure, first, now)
    assert _deny_all(balancer, others, key, now) == 0
    probe = outcomes.ToPeer(first, b"")
    assert not _return_probe(balancer, key, probe, now)


def test_denials_count_although_an_earlier_search_was_unsure(balancer):
    # Side processes that have just started are unsure until their targets
    # announce themselves.
    balancer.set_complete_from(float("inf"))
    key = _search(balancer, 1, BEGIN)
    queried = _queried_sides(balancer, BEGIN + 0.004)
    sends = []
    for address in queried:
        unsure = frames.encode(frames.Kind.UNSURE, SERVICE, key, key)
        sends += balancer.on_frame(unsure, address, BEGIN + 0.01)
    _return_all_probes(balancer, key, sends, BEGIN + 0.02)
    balancer.set_denials_conclusive_from(BEGIN + 0.1)
    balancer.on_tick(BEGIN + 0.1)
    again = _queried_sides(balancer, BEGIN + 0.104)
    assert _deny_all(balancer, again, key, BEGIN + 0.11) == 1


def test_number_of_scheduled_retries_is_bounded(balancer, monkeypatch):
    monkeypatch.setattr(unresolved_flows, "MAX_FLOWS", 10)
    balancer.set_complete_from(float("inf"))
    keys = [_search(balancer, number, BEGIN) for number in range(50)]
    queried = _queried_sides(balancer, BEGIN + 0.004)
    for key in keys:
        _deny_all(balancer, queried, key, BEGIN + 0.01)
    assert balancer.counts.by_cause["unresolved_full"] == 40
    kept = sum(
        balancer._searcher._unresolved.get(key) is not None for key in keys
    )
    assert kept == 10


def _place(balancer, key, address, now):
    """Opens a flow that the target at the address accepts."""
    opening = network.packet(key, packets.OPENS, acknowledgement=1)
    balancer.on_packet(opening, now)
    accepted = frames.encode(frames.Kind.ACCEPTED, SERVICE, key, value=500)
    balancer.on_frame(accepted, address, now)


def test_flow_that_opens_during_a_search_is_not_reset(balancer):
    # The denials were sent before the flow opened.
    key = _search(balancer, 1, BEGIN)
    queried = _queried_sides(balancer, BEGIN + 0.004)
    _place(balancer, key, queried[0], BEGIN + 0.005)
    assert _deny_all(balancer, queried, key, BEGIN + 0.006) == 0


def test_flow_that_opens_between_searches_is_not_searched_for(balancer):
    balancer.set_complete_from(float("inf"))
    key = _search(balancer, 1, BEGIN)
    queried = _queried_sides(balancer, BEGIN + 0.004)
    _deny_all(balancer, queried, key, BEGIN + 0.01)
    _place(balancer, key, queried[0], BEGIN + 0.02)
    balancer.set_complete_from(BEGIN + 0.1)
    balancer.on_tick(BEGIN + 0.1)
    assert not _queried_sides(balancer, BEGIN + 0.104)


# Guards against searches that need more memory than a process has: each kept
# its own sets of all targets.
def test_memory_of_many_searches_is_bounded_for_many_targets(balancer):
    searches = active_searches.MAX_SEARCHES // 8
    _list_targets(balancer, 1_000)
    tracemalloc.start()
    for number in range(searches):
        _search(balancer, number, BEGIN)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(balancer._searcher._active.by_key) == searches
    assert used < 64e6 / 8


# Guards against the same after a restart of all side processes: each search
# kept its own record of each process that is unsure.
def test_memory_of_searches_is_bounded_for_many_unsure_processes(balancer):
    searches = active_searches.MAX_SEARCHES // 32
    _list_targets(balancer, 1_000)
    tracemalloc.start()
    for number in range(searches):
        _search(balancer, number, BEGIN)
    queries = balancer.on_tick(BEGIN + 0.004)
    while queries:
        query = queries.pop()
        if query.address == ("s0", 1):  # its replies are missing
            continue
        keys = frames.decode(query.data)
        unsure = frames.encode(
            frames.Kind.UNSURE, SERVICE, keys.key, keys.payload
        )
        balancer.on_frame(unsure, query.address, BEGIN + 0.01)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(balancer._searcher._active.by_key) == searches
    assert used < 64e6 / 32


# Guards against the same by the queries of a round, which named each flow once
# for each process.
def test_memory_of_query_rounds_is_bounded_for_many_targets(balancer):
    searches = active_searches.MAX_SEARCHES // 8
    _list_targets(balancer, 1_000)
    tracemalloc.start()
    for number in range(searches):
        _search(balancer, number, BEGIN)
    sends = balancer.on_tick(BEGIN + 0.004)
    _, used = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(sends) == 1_000 * searches // frames.MAX_KEYS_PER_FRAME
    assert used < 32e6 / 8


def _list_targets(balancer, count):
    balancer.set_targets(
        network.SERVICE,
        tuple(
            candidates.Target(f"s{n}", (f"s{n}", 1), "z", True, False)
            for n in range(count)
        ),
    )


# Guards against a table that grows with every replaced process, for weeks.
def test_addresses_of_processes_that_have_gone_are_dropped(balancer):
    for number in range(2 * address_sets.MAX_SURPLUS):
        address = (f"s{number}", 1)
        target = candidates.Target("s", address, "z", True, False)
        balancer.set_targets(network.SERVICE, (target,))
        _search(balancer, number, BEGIN)
    balancer._searcher.expire(BEGIN)
    assert not balancer._searcher._addresses.addresses
