"""Decisions of a side process about its target's flows and workload."""

import dataclasses

from clementinelead.relays import frames
from clementinelead.relays import held_flows
from clementinelead.relays.tests import network
from clementinelead.replays import packets

BALANCER = ("balancer0", 1)
SERVICE_NUMBER = frames.service_number(network.SERVICE)


def _side(net):
    return net.side_by_address[("side0", 1)]


def _open_flow(net, key):
    side = _side(net)
    data = frames.encode(
        frames.Kind.PLACE,
        SERVICE_NUMBER,
        key,
        network.packet(key, packets.OPENS),
    )
    side.on_frame(data, BALANCER, net.now)
    side.on_target_packet(network.packet(key, packets.ACCEPTS, 500), net.now)
    return side


def _open_flows(count):
    """Opens flows at the only target of a new network."""
    net = network.Network(targets=1)
    keys = [network.flow_key(number) for number in range(1, count + 1)]
    for key in keys:
        _open_flow(net, key)
    return net, _side(net), keys


def _request(side, key, now, sequence=1):
    data = network.packet(
        key, sequence=sequence, acknowledgement=501, length=10
    )
    frame = frames.encode(frames.Kind.PACKET, SERVICE_NUMBER, key, data)
    return side.on_frame(frame, BALANCER, now)


def _answer(side, key, now, flags=0):
    data = network.packet(key, flags, sequence=501, length=20)
    return side.on_target_packet(data, now)


def test_request_counts_as_work_until_its_answer():
    net = network.Network(targets=1)
    key = network.flow_key(1)
    side = _open_flow(net, key)
    _request(side, key, net.now)
    assert side.work_under_way == 1
    _answer(side, key, net.now + 0.05)
    assert side.work_under_way == 0


def test_retransmission_after_the_answer_is_not_counted_as_work():
    net = network.Network(targets=1)
    key = network.flow_key(1)
    side = _open_flow(net, key)
    _request(side, key, net.now)
    _answer(side, key, net.now + 0.25)
    _request(side, key, net.now + 0.26)
    assert side.work_under_way == 0


def test_second_request_of_a_flow_is_counted_as_work():
    net = network.Network(targets=1)
    key = network.flow_key(1)
    side = _open_flow(net, key)
    _request(side, key, net.now)
    _answer(side, key, net.now + 0.05)
    _request(side, key, net.now + 1.0, sequence=11)
    assert side.work_under_way == 1


def test_flow_without_request_counts_as_work_until_the_timeout():
    net = network.Network(targets=1)
    side = _open_flow(net, network.flow_key(1))
    assert side.work_under_way == 1
    side.on_tick(net.now + held_flows.FIRST_REQUEST_TIMEOUT_S + 0.01)
    assert side.work_under_way == 0


def test_flows_without_request_do_not_make_a_target_busy():
    # After an outage most opening packets belong to attempts that have timed
    # out at the caller; their flows are accepted but get no request.
    net = network.Network(targets=1)
    side = _side(net)
    for number in range(40):
        side = _open_flow(net, network.flow_key(number))
        net.now += 0.01
        side.on_tick(net.now)
    side.on_tick(net.now + 0.04)
    query = frames.encode(
        frames.Kind.QUERY_LOAD, SERVICE_NUMBER, b"newkey", value=100
    )
    [reply] = side.on_frame(query, BALANCER, net.now + 0.04)
    assert frames.decode(reply.data).kind is frames.Kind.LOAD


def test_reset_by_the_target_ends_the_request():
    net = network.Network(targets=1)
    key = network.flow_key(1)
    side = _open_flow(net, key)
    _request(side, key, net.now)
    side.on_target_packet(network.packet(key, packets.RESETS), net.now)
    assert side.work_under_way == 0


def test_immediate_answer_does_not_change_the_service_time():
    net = network.Network(targets=1)
    key = network.flow_key(1)
    side = _open_flow(net, key)
    before = side.workload.estimate.service_s
    _request(side, key, net.now)
    _answer(side, key, net.now + 0.0005)
    assert side.workload.estimate.service_s == before


def test_load_reply_is_busy_if_the_queue_exceeds_the_objective():
    net = network.Network(targets=1)
    for number in range(5):
        key = network.flow_key(number)
        _request(_open_flow(net, key), key, net.now)
    side = _side(net)
    kind_by_objective = {}
    for objective_ms in (100, 1_000):
        query = frames.encode(
            frames.Kind.QUERY_LOAD,
            SERVICE_NUMBER,
            b"newkey",
            value=objective_ms,
        )
        [reply] = side.on_frame(query, BALANCER, net.now)
        kind_by_objective[objective_ms] = frames.decode(reply.data).kind
    assert kind_by_objective == {
        100: frames.Kind.BUSY,
        1_000: frames.Kind.LOAD,
    }


def test_target_with_a_free_slot_is_not_busy():
    net = network.Network(targets=1)
    query = frames.encode(
        frames.Kind.QUERY_LOAD, SERVICE_NUMBER, b"newkey", value=1
    )
    [reply] = _side(net).on_frame(query, BALANCER, net.now)
    assert frames.decode(reply.data).kind is frames.Kind.LOAD


def _restart_target(side, now):
    """Sends the first heartbeat of a new incarnation."""
    heartbeat = side.lifecycle.last_heartbeat
    return side.on_heartbeat(
        dataclasses.replace(
            heartbeat, started_ms=heartbeat.started_ms + 5, sequence=1
        ),
        now,
    )


def _holding_status(side, key, now):
    query = frames.encode(frames.Kind.QUERY_HELD, SERVICE_NUMBER, key, key)
    [reply] = side.on_frame(query, BALANCER, now)
    return frames.decode(reply.data).kind


def test_flow_returned_by_a_new_incarnation_is_removed():
    net = network.Network(targets=1)
    key = network.flow_key(1)
    side = _open_flow(net, key)
    _request(side, key, net.now)
    _restart_target(side, net.now)
    assert side.work_under_way == 0
    assert _holding_status(side, key, net.now) is frames.Kind.UNSURE
    _request(side, key, net.now, sequence=11)
    returned = network.packet(key, packets.RETURNED, length=10)
    [reply] = side.on_target_packet(returned, net.now)
    assert frames.decode(reply.data).kind is frames.Kind.NOT_HELD
    assert side.work_under_way == 0
    assert _holding_status(side, key, net.now) is frames.Kind.ABSENT


def test_flow_opened_before_the_first_heartbeat_is_not_reported_absent():
    # A restarted target accepts flows before its first heartbeat.
    net = network.Network(targets=1)
    key = network.flow_key(1)
    side = _open_flow(net, key)
    _restart_target(side, net.now)
    assert _holding_status(side, key, net.now) is not frames.Kind.ABSENT
    _answer(side, key, net.now)
    assert _holding_status(side, key, net.now) is frames.Kind.HELD


def test_flow_accepted_by_a_new_incarnation_replaces_the_earlier_one():
    # A restarted target accepts a copy of the opening packet before its first
    # heartbeat.
    net = network.Network(targets=1)
    key = network.flow_key(1)
    side = _open_flow(net, key)
    second_accept = network.packet(key, packets.ACCEPTS, 900)
    side.on_target_packet(second_accept, net.now)
    # The request acknowledges the answer of the earlier incarnation.
    [reply] = _request(side, key, net.now)
    assert frames.decode(reply.data).kind is frames.Kind.NOT_HELD


def test_malformed_datagrams_are_counted_and_dropped():
    net = network.Network(targets=1)
    side = _side(net)
    for data in (b"", b"\xc1", b"x" * 40, b"\xc1\x01\x00\xff" + bytes(12)):
        assert side.on_frame(data, BALANCER, net.now) == []
    assert side.counts.by_cause["malformed_frame"] == 4
    assert side.on_target_packet(b"short", net.now) == []


def test_unmeasured_target_reports_no_higher_load_than_a_fast_one():
    net = network.Network(targets=2)
    key = network.flow_key(1)
    quick = _open_flow(net, key)
    _request(quick, key, net.now)
    _answer(quick, key, net.now + 0.006)
    idle = net.side_by_address[("side1", 1)]
    later = net.now + 10.0
    assert idle.workload.load_ms(later) <= quick.workload.load_ms(later)


def test_rejections_out_of_order_do_not_lower_the_service_time():
    # A target with two slots serves two requests in 0.1 s and rejects the
    # others after 0.02 s in its queue.
    net, side, keys = _open_flows(11)
    started_at = net.now
    for key in keys:
        _request(side, key, started_at)
    for key in keys[2:]:
        _answer(side, key, started_at + 0.02)
    for key in keys[:2]:
        _answer(side, key, started_at + 0.1)
    assert side.work_under_way == 0
    assert side.workload.estimate.service_s >= 0.09


def test_requests_answered_in_order_update_the_service_time():
    net, side, keys = _open_flows(6)
    started_at = net.now
    for key in keys:
        _request(side, key, started_at)
    for number, key in enumerate(keys):
        _answer(side, key, started_at + 0.1 * (1 + number // 2))
    assert side.workload.estimate.service_s > 0.09
    assert side.workload.estimate.service_s < 0.12


def test_abandoned_requests_do_not_put_later_ones_out_of_order():
    net, side, keys = _open_flows(5)
    for key in keys[:4]:
        _request(side, key, net.now)
    for key in keys[:4]:
        side._flows.remove(key, net.now + 0.01)
    _request(side, keys[4], net.now + 0.02)
    _answer(side, keys[4], net.now + 0.08)
    assert side.workload.estimate.has_samples


def test_process_without_a_target_reports_flows_absent_at_once():
    side = network.Network(targets=1).new_side(machine_booted=True)
    key = network.flow_key(1)
    now = 100.0
    assert _holding_status(side, key, now) is frames.Kind.UNSURE
    assert side.on_target_absent(now)
    assert _holding_status(side, key, now) is frames.Kind.ABSENT


def test_target_that_has_sent_a_packet_is_not_marked_absent():
    side = network.Network(targets=1).new_side(machine_booted=True)
    key = network.flow_key(1)
    side.on_target_packet(network.packet(key, sequence=501, length=20), 100.0)
    assert not side.on_target_absent(100.0)
    other = network.flow_key(2)
    assert _holding_status(side, other, 100.0) is frames.Kind.UNSURE


def test_returned_packets_do_not_count_as_a_running_target():
    # A machine whose target has ended may still return packets.
    side = network.Network(targets=1).new_side(machine_booted=True)
    packet = network.packet(network.flow_key(1), length=10)
    side.on_target_packet(packets.mark_returned(packet), 100.0)
    assert side.on_target_absent(100.0)
    assert side.startup.target_absent
    side.on_target_packet(
        network.packet(network.flow_key(2), sequence=501, length=20), 100.1
    )
    assert not side.startup.target_absent


# Guards against resets of open flows after a heartbeat of another writer: a
# restarted process would take its target's earlier flows for recorded ones.
def test_single_heartbeat_of_another_does_not_deny_unrecorded_flows():
    net = network.Network(targets=1)
    net.restart_side(0)
    side = _side(net)
    net.send_heartbeat(0, sequence=50, started_ms=1)
    key = network.flow_key(1)
    assert _holding_status(side, key, net.now) is frames.Kind.UNSURE
    net.send_heartbeat(0, sequence=2, started_ms=60_000)
    assert _holding_status(side, key, net.now) is frames.Kind.UNSURE
    for sequence in (51, 52, 53):
        net.now += 0.8
        net.send_heartbeat(0, sequence=sequence, started_ms=1)
    assert side.lifecycle.last_heartbeat.started_ms == 1
    assert _holding_status(side, key, net.now) is frames.Kind.UNSURE


def test_flows_are_recorded_once_a_new_incarnation_goes_on():
    net = network.Network(targets=1)
    net.restart_side(0)
    side = _side(net)
    key = network.flow_key(1)
    net.send_heartbeat(0, sequence=50, started_ms=1)
    net.send_heartbeat(0, sequence=1, started_ms=60_000)
    net.send_heartbeat(0, sequence=2, started_ms=60_000)
    assert _holding_status(side, key, net.now) is frames.Kind.ABSENT
