import json
import time

import pytest

from clementinelead.platform import heartbeats
from clementinelead.platform import side_program
from clementinelead.platform.tests import settings_files
from clementinelead.processes import http_site
from clementinelead.processes import sockets

HEARTBEAT = {
    "service": "whois",
    "address": settings_files.CONTENT["app"],
    "zone": settings_files.CONTENT["zone"],
    "version": "v1",
    "capacity": 2,
    "state": "ready",
    "warmup_left_ms": 1500,
    "sequence": 4,
    "born": 1_700_000_000_000,
}


@pytest.fixture(name="respond")
def _respond():
    side, [(site, _)] = side_program.build(
        settings_files.side(service="whois"), sockets.PreboundSockets()
    )

    def call(method, identifier, content):
        body = content if isinstance(content, bytes) else _body(content)
        path = f"{heartbeats.INSTANCES_PREFIX}{identifier}"
        request = http_site.Request(method, path, {}, body)
        return site.respond(request).status

    call.side = side
    return call


def _body(content):
    return json.dumps(content).encode()


def test_heartbeat_is_decoded():
    place = heartbeats.TargetPlace(("127.0.0.1", 8165), "a")
    heartbeat = heartbeats.decode("i-1", _body(HEARTBEAT), place)
    assert heartbeat.id == "i-1"
    assert heartbeat.slots == 2
    assert heartbeat.warmup_s == 1.5
    assert not heartbeat.draining


def test_ready_heartbeat_is_acknowledged_and_starts_acceptance(respond):
    assert respond("PUT", "i-1", HEARTBEAT) == 200
    assert respond.side.target_relay.accepting


def test_draining_heartbeat_is_acknowledged_and_ends_acceptance(respond):
    respond("PUT", "i-1", HEARTBEAT)
    draining = {**HEARTBEAT, "state": "draining", "sequence": 5}
    assert respond("PUT", "i-1", draining) == 200
    assert not respond.side.target_relay.accepting


def test_departure_is_acknowledged_and_ends_acceptance(respond):
    respond("PUT", "i-1", HEARTBEAT)
    assert respond("DELETE", "i-1", b"") == 200
    assert not respond.side.target_relay.accepting


def test_delayed_requests_of_a_former_target_are_rejected(respond):
    respond("PUT", "i-2", {**HEARTBEAT, "born": HEARTBEAT["born"] + 10})
    delayed = {**HEARTBEAT, "state": "draining", "sequence": 90}
    assert respond("PUT", "i-1", delayed) == 409
    assert respond("DELETE", "i-1", b"") == 409
    assert respond.side.target_relay.accepting


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        {**HEARTBEAT, "state": "lost"},
        {**HEARTBEAT, "capacity": "2"},
        {**HEARTBEAT, "capacity": 0},
        {**HEARTBEAT, "sequence": None},
        {key: value for key, value in HEARTBEAT.items() if key != "born"},
    ],
)
def test_malformed_heartbeat_is_rejected(respond, content):
    assert respond("PUT", "i-1", content) == 400
    assert not respond.side.target_relay.accepting


def test_heartbeat_for_another_service_is_rejected(respond):
    assert respond("PUT", "i-1", {**HEARTBEAT, "service": "export"}) == 409
    assert not respond.side.target_relay.accepting


def test_target_that_cools_down_without_a_restart_is_slower(respond):
    workload = respond.side.target_relay.workload
    warm = {**HEARTBEAT, "warmup_left_ms": 0}
    respond("PUT", "i-1", warm)
    warm_ms = workload.completion_ms(time.monotonic())
    respond("PUT", "i-1", {**HEARTBEAT, "sequence": 5})
    assert workload.completion_ms(time.monotonic()) > warm_ms
    respond("PUT", "i-1", {**warm, "sequence": 6})
    assert workload.completion_ms(time.monotonic()) == warm_ms


def _without(field):
    return {name: HEARTBEAT[name] for name in HEARTBEAT if name != field}


def _deeply_nested():
    nested = b"[" * 20_000 + b"]" * 20_000
    return _body(HEARTBEAT)[:-1] + b',"unknown":' + nested + b"}"


# Guards against a request of another writer that takes back an acknowledged
# drain, or puts the target out of use (DRAIN, review/3).
@pytest.mark.parametrize(
    "content",
    [
        *(_without(field) for field in HEARTBEAT),
        {**HEARTBEAT, "address": "127.0.0.2:8165"},
        {**HEARTBEAT, "address": "127.0.0.1:99999"},
        {**HEARTBEAT, "address": 8165},
        {**HEARTBEAT, "zone": "b"},
        {**HEARTBEAT, "version": 1},
        {**HEARTBEAT, "born": 2**70},
        {**HEARTBEAT, "born": -1},
        {**HEARTBEAT, "born": 1.5},
        {**HEARTBEAT, "sequence": 2**70},
        {**HEARTBEAT, "sequence": -1},
        {**HEARTBEAT, "capacity": 2**70},
        {**HEARTBEAT, "warmup_left_ms": 1e300},
        {**HEARTBEAT, "warmup_left_ms": None},
        _deeply_nested(),
    ],
)
def test_request_of_another_writer_does_not_end_a_drain(respond, content):
    respond("PUT", "i-1", {**HEARTBEAT, "sequence": 5, "state": "draining"})
    if isinstance(content, dict) and content.get("born") == HEARTBEAT["born"]:
        content = {**content, "born": HEARTBEAT["born"] + 60_000}
    assert respond("PUT", "i-other", content) == 400
    assert not respond.side.target_relay.accepting
    own = {**HEARTBEAT, "sequence": 6, "state": "draining"}
    assert respond("PUT", "i-1", own) == 200


def test_malformed_departure_is_rejected(respond):
    respond("PUT", "i-1", HEARTBEAT)
    for body in (_deeply_nested(), {"born": 2**70}, b"{"):
        assert respond("DELETE", "i-1", body) == 400
    assert respond.side.target_relay.accepting
