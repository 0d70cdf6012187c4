"""Opening packets beside side processes that are unsure after a restart."""

import pytest

from clementinelead.relays import frames
from clementinelead.relays import searches
from clementinelead.relays.tests import network
from clementinelead.replays import packets

LATER_S = searches.OPENING_AGE_S + 0.5


def _drain_after_restart(net, run_s):
    """Restarts all side processes beside targets that take no new flows."""
    for number in range(net.targets):
        net.restart_side(number)
        net.send_heartbeat(number, sequence=50, draining=True)
    net.run(run_s)


def _resets_of_copy(net, key):
    """Sends a copy of an opening packet; returns the number of resets."""
    before = len(net.to_caller)
    net.send(network.packet(key, packets.OPENS, acknowledgement=1))
    net.run(0.2)
    answers = map(network.Format().from_target, net.to_caller[before:])
    return sum(answer.resets for answer in answers)


# Guards against callers that hear nothing until they give up: for 60 s after a
# restart its reply prevented each refusal.
def test_flow_is_refused_beside_a_process_older_than_its_opening_packet():
    net = network.Network(targets=3)
    _drain_after_restart(net, LATER_S)
    assert _resets_of_copy(net, network.flow_key(1)) == 1


# The guards below keep a flow that another balancer has opened from a reset.
def test_flow_is_not_refused_beside_a_process_that_has_just_started():
    net = network.Network(targets=3, balancers=2)
    key = network.flow_key(1)
    net.run(LATER_S)
    net.open_flow(key, balancer=1)
    _drain_after_restart(net, 1.0)
    assert not _resets_of_copy(net, key)


def test_flow_is_not_refused_if_a_process_of_an_earlier_build_is_unsure():
    net = network.Network(targets=3)
    _drain_after_restart(net, LATER_S)
    net.side_by_address[("side1", 1)].startup.age_ms = lambda _: 0
    assert not _resets_of_copy(net, network.flow_key(1))


def test_reply_names_no_age_for_a_flow_that_is_recorded():
    net = network.Network(targets=1)
    opened, opening, unknown = map(network.flow_key, (1, 2, 3))
    net.restart_side(0)
    net.send_heartbeat(0, sequence=50)
    net.run(LATER_S)
    net.open_flow(opened)
    side = net.side_by_address[("side0", 1)]
    side._flows.on_new_incarnation(net.now)
    side._outstanding.add_opening(opening, ("balancer0", 1), net.now)
    query = frames.encode(
        frames.Kind.QUERY_HELD,
        frames.service_number(network.SERVICE),
        opened,
        frames.join_keys([opened, opening, unknown]),
    )
    replies = [
        frames.decode(send.data)
        for send in side.on_frame(query, ("balancer0", 1), net.now)
    ]
    assert {reply.kind for reply in replies} == {frames.Kind.UNSURE}
    assert [reply.payload for reply in replies if not reply.value] == [
        frames.join_keys([opened, opening])
    ]
    assert [reply.payload for reply in replies if reply.value] == [unknown]


@pytest.mark.parametrize("pause_s", [0.0, 0.1])
def test_opening_packet_that_was_queued_during_a_pause_is_not_refused(pause_s):
    net = network.Network(targets=3, balancers=2)
    key = network.flow_key(1)
    net.open_flow(key, balancer=1)
    paused = net.balancer_by_address.pop(("balancer0", 1))
    _drain_after_restart(net, LATER_S)
    net.balancer_by_address["balancer0", 1] = paused
    if pause_s:
        net.run(pause_s)
    assert not _resets_of_copy(net, key)
