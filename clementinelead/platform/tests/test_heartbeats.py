import json

import pytest

from clementinelead.platform import heartbeats
from clementinelead.platform import side_program
from clementinelead.platform.tests import settings_files
from clementinelead.processes import http_site
from clementinelead.processes import sockets

BEAT = {
    "service": "whois",
    "address": "10.128.0.9:8080",
    "zone": "muscat-a",
    "version": "v1",
    "capacity": 2,
    "state": "ready",
    "warmup_left_ms": 1500,
    "sequence": 4,
    "born": 1_700_000_000_000,
}


@pytest.fixture(name="respond")
def _respond():
    side, _ = side_program.build(
        settings_files.side(service="whois"), sockets.PreboundSockets()
    )
    handlers = heartbeats.HeartbeatHandlers(side)
    site = http_site.HttpSite()
    handlers.add_to(site)

    def call(method, identifier, content):
        body = content if isinstance(content, bytes) else _body(content)
        path = f"{heartbeats.PREFIX}{identifier}"
        request = http_site.Request(method, path, {}, body)
        return site.respond(request).status

    call.side = side
    return call


def _body(content):
    return json.dumps(content).encode()


def test_heartbeat_is_translated():
    announcement = heartbeats.decode("i-1", _body(BEAT))
    assert announcement.id == "i-1"
    assert announcement.slots == 2
    assert announcement.warmup_s == 1.5
    assert not announcement.draining


def test_heartbeat_is_acknowledged_and_makes_ready(respond):
    assert respond("PUT", "i-1", BEAT) == 200
    assert respond.side.holding.accepting


def test_draining_is_acknowledged_and_ends_acceptance(respond):
    respond("PUT", "i-1", BEAT)
    draining = {**BEAT, "state": "draining", "sequence": 5}
    assert respond("PUT", "i-1", draining) == 200
    assert not respond.side.holding.accepting


def test_leaving_is_acknowledged(respond):
    respond("PUT", "i-1", BEAT)
    assert respond("DELETE", "i-1", b"") == 200
    assert not respond.side.holding.accepting


def test_late_heartbeat_of_a_former_target_changes_nothing(respond):
    respond("PUT", "i-2", {**BEAT, "born": BEAT["born"] + 10})
    late = {**BEAT, "state": "draining", "sequence": 90}
    assert respond("PUT", "i-1", late) == 409
    assert respond("DELETE", "i-1", b"") == 409
    assert respond.side.holding.accepting


@pytest.mark.parametrize(
    "content",
    [
        b"",
        b"\xff\xfe",
        b"[]",
        {**BEAT, "state": "lost"},
        {**BEAT, "capacity": "2"},
        {**BEAT, "capacity": 0},
        {**BEAT, "sequence": None},
        {key: value for key, value in BEAT.items() if key != "born"},
    ],
)
def test_other_content_names_no_target(respond, content):
    assert respond("PUT", "i-1", content) == 400
    assert not respond.side.holding.accepting


def test_other_service_names_no_target_here(respond):
    assert respond("PUT", "i-1", {**BEAT, "service": "export"}) == 409
    assert not respond.side.holding.accepting
