import dataclasses

from clementinelead.relays import frames
from clementinelead.relays import held_flows
from clementinelead.relays.tests import network
from clementinelead.replays import packets

BALANCER = ("balancer0", 1)
NUMBER = frames.service_number(network.SERVICE)


def _side(net):
    return net.side_by_address[("side0", 1)]


def _opened(net, key):
    side = _side(net)
    data = frames.encode(
        frames.Kind.PLACE, NUMBER, key, network.packet(key, packets.OPENS)
    )
    side.on_frame(data, BALANCER, net.now)
    side.on_target_packet(network.packet(key, packets.ACCEPTS, 500), net.now)
    return side


def _opened_all(count):
    """Opens some flows at one target."""
    net = network.Network(targets=1)
    keys = [network.flow_key(number) for number in range(1, count + 1)]
    for key in keys:
        _opened(net, key)
    return net, _side(net), keys


def _request(side, key, now, sequence=1):
    data = network.packet(
        key, sequence=sequence, acknowledgement=501, length=10
    )
    frame = frames.encode(frames.Kind.PACKET, NUMBER, key, data)
    return side.on_frame(frame, BALANCER, now)


def _answer(side, key, now, flags=0):
    data = network.packet(key, flags, sequence=501, length=20)
    return side.on_target_packet(data, now)


def test_work_lasts_from_request_to_answer():
    net = network.Network(targets=1)
    key = network.flow_key(1)
    side = _opened(net, key)
    _request(side, key, net.now)
    assert side.work_under_way == 1
    _answer(side, key, net.now + 0.05)
    assert side.work_under_way == 0


def test_data_sent_again_after_the_answer_is_no_new_work():
    net = network.Network(targets=1)
    key = network.flow_key(1)
    side = _opened(net, key)
    _request(side, key, net.now)
    _answer(side, key, net.now + 0.25)
    _request(side, key, net.now + 0.26)
    assert side.work_under_way == 0


def test_next_request_of_a_flow_is_new_work():
    net = network.Network(targets=1)
    key = network.flow_key(1)
    side = _opened(net, key)
    _request(side, key, net.now)
    _answer(side, key, net.now + 0.05)
    _request(side, key, net.now + 1.0, sequence=11)
    assert side.work_under_way == 1


def test_opened_flow_without_request_stops_counting():
    net = network.Network(targets=1)
    side = _opened(net, network.flow_key(1))
    assert side.work_under_way == 1
    side.on_tick(net.now + held_flows.FIRST_REQUEST_TIMEOUT_S + 0.01)
    assert side.work_under_way == 0


def test_flows_of_callers_that_have_given_up_do_not_make_a_target_busy():
    # After an outage most opening packets are of attempts that have ended.
    net = network.Network(targets=1)
    side = _side(net)
    for number in range(40):
        side = _opened(net, network.flow_key(number))
        net.now += 0.01
        side.on_tick(net.now)
    side.on_tick(net.now + 0.04)
    question = frames.encode(
        frames.Kind.QUERY_LOAD, NUMBER, b"newkey", value=100
    )
    [answer] = side.on_frame(question, BALANCER, net.now + 0.04)
    assert frames.decode(answer.data).kind is frames.Kind.LOAD


def test_reset_by_the_target_ends_work():
    net = network.Network(targets=1)
    key = network.flow_key(1)
    side = _opened(net, key)
    _request(side, key, net.now)
    side.on_target_packet(network.packet(key, packets.RESETS), net.now)
    assert side.work_under_way == 0


def test_answer_without_work_teaches_no_service_time():
    net = network.Network(targets=1)
    key = network.flow_key(1)
    side = _opened(net, key)
    before = side.workload.estimate.service_s
    _request(side, key, net.now)
    _answer(side, key, net.now + 0.0005)
    assert side.workload.estimate.service_s == before


def test_queue_beyond_the_objective_is_told_to_the_balancer():
    net = network.Network(targets=1)
    for number in range(5):
        key = network.flow_key(number)
        _request(_opened(net, key), key, net.now)
    side = _side(net)
    kind_by_objective = {}
    for objective_ms in (100, 1_000):
        question = frames.encode(
            frames.Kind.QUERY_LOAD, NUMBER, b"newkey", value=objective_ms
        )
        [answer] = side.on_frame(question, BALANCER, net.now)
        kind_by_objective[objective_ms] = frames.decode(answer.data).kind
    assert kind_by_objective == {
        100: frames.Kind.BUSY,
        1_000: frames.Kind.LOAD,
    }


def test_free_slot_is_never_busy():
    net = network.Network(targets=1)
    question = frames.encode(frames.Kind.QUERY_LOAD, NUMBER, b"newkey", value=1)
    [answer] = _side(net).on_frame(question, BALANCER, net.now)
    assert frames.decode(answer.data).kind is frames.Kind.LOAD


def _reborn(side, now):
    current = side.lifecycle.last_heartbeat
    return side.on_heartbeat(
        dataclasses.replace(
            current, started_ms=current.started_ms + 5, sequence=1
        ),
        now,
    )


def _kind_of_answer(side, key, now):
    question = frames.encode(frames.Kind.QUERY_HELD, NUMBER, key, key)
    [answer] = side.on_frame(question, BALANCER, now)
    return frames.decode(answer.data).kind


def test_old_flows_of_a_new_incarnation_are_given_up_when_returned():
    net = network.Network(targets=1)
    key = network.flow_key(1)
    side = _opened(net, key)
    _request(side, key, net.now)
    _reborn(side, net.now)
    assert side.work_under_way == 0
    assert _kind_of_answer(side, key, net.now) is frames.Kind.UNSURE
    _request(side, key, net.now, sequence=11)
    returned = network.packet(key, packets.RETURNED, length=10)
    [answer] = side.on_target_packet(returned, net.now)
    assert frames.decode(answer.data).kind is frames.Kind.NOT_HELD
    assert side.work_under_way == 0
    assert _kind_of_answer(side, key, net.now) is frames.Kind.ABSENT


def test_flow_opened_before_the_first_heartbeat_is_not_denied():
    # A target that has crashed takes flows before it announces itself anew.
    net = network.Network(targets=1)
    key = network.flow_key(1)
    side = _opened(net, key)
    _reborn(side, net.now)
    assert _kind_of_answer(side, key, net.now) is not frames.Kind.ABSENT
    _answer(side, key, net.now)
    assert _kind_of_answer(side, key, net.now) is frames.Kind.HELD


def test_flow_accepted_by_a_new_incarnation_is_no_longer_the_old_one():
    # It accepts a copy of the opening packet before it announces itself.
    net = network.Network(targets=1)
    key = network.flow_key(1)
    side = _opened(net, key)
    again = network.packet(key, packets.ACCEPTS, 900)
    side.on_target_packet(again, net.now)
    [denial] = _request(side, key, net.now)  # acknowledges the old one's answer
    assert frames.decode(denial.data).kind is frames.Kind.NOT_HELD


def test_malformed_datagrams_are_counted_and_dropped():
    net = network.Network(targets=1)
    side = _side(net)
    for data in (b"", b"\xc1", b"x" * 40, b"\xc1\x01\x00\xff" + bytes(12)):
        assert side.on_frame(data, BALANCER, net.now) == []
    assert side.counts.by_cause["malformed_frame"] == 4
    assert side.on_target_packet(b"short", net.now) == []


def test_target_without_work_is_not_dearer_than_one_that_is_quick():
    net = network.Network(targets=2)
    key = network.flow_key(1)
    quick = _opened(net, key)
    _request(quick, key, net.now)
    _answer(quick, key, net.now + 0.006)
    idle = net.side_by_address[("side1", 1)]
    later = net.now + 10.0
    assert idle.workload.load_ms(later) <= quick.workload.load_ms(later)


def test_answers_out_of_turn_do_not_make_a_target_look_quick():
    # A target with two slots works on two requests for 0.1 s and turns others
    # away after 0.02 s in its queue.
    net, side, keys = _opened_all(11)
    begun = net.now
    for key in keys:
        _request(side, key, begun)
    for key in keys[2:]:
        _answer(side, key, begun + 0.02)
    for key in keys[:2]:
        _answer(side, key, begun + 0.1)
    assert side.work_under_way == 0
    assert side.workload.estimate.service_s >= 0.09


def test_queued_requests_that_are_answered_in_turn_are_learned_from():
    net, side, keys = _opened_all(6)
    begun = net.now
    for key in keys:
        _request(side, key, begun)
    for number, key in enumerate(keys):
        _answer(side, key, begun + 0.1 * (1 + number // 2))
    assert side.workload.estimate.service_s > 0.09
    assert side.workload.estimate.service_s < 0.12


def test_requests_that_are_given_up_do_not_put_later_ones_out_of_turn():
    net, side, keys = _opened_all(5)
    for key in keys[:4]:
        _request(side, key, net.now)
    for key in keys[:4]:
        side._flows.remove(key, net.now + 0.01)
    _request(side, keys[4], net.now + 0.02)
    _answer(side, keys[4], net.now + 0.08)
    assert side.workload.estimate.has_samples


def test_process_without_a_target_denies_flows_at_once():
    side = network.Network(targets=1).new_side(machine_booted=True)
    key = network.flow_key(1)
    now = 100.0
    assert _kind_of_answer(side, key, now) is frames.Kind.UNSURE
    assert side.on_target_absent(now)
    assert _kind_of_answer(side, key, now) is frames.Kind.ABSENT


def test_target_that_was_heard_is_not_taken_for_absent():
    side = network.Network(targets=1).new_side(machine_booted=True)
    key = network.flow_key(1)
    side.on_target_packet(network.packet(key, sequence=501, length=20), 100.0)
    assert not side.on_target_absent(100.0)
    other = network.flow_key(2)
    assert _kind_of_answer(side, other, 100.0) is frames.Kind.UNSURE


def test_returned_packets_are_no_sign_of_a_target():
    # A machine whose target has left may still return packets.
    side = network.Network(targets=1).new_side(machine_booted=True)
    packet = network.packet(network.flow_key(1), length=10)
    side.on_target_packet(packets.mark_returned(packet), 100.0)
    assert side.on_target_absent(100.0)
    assert side.startup.target_absent
    side.on_target_packet(
        network.packet(network.flow_key(2), sequence=501, length=20), 100.1
    )
    assert not side.startup.target_absent
