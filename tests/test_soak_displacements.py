"""The soak's check of priorities finds requests out of turn, and only those.

Guards against a check that no order of requests can fail, and against one that
takes a lost request for one that waits.
"""

import pytest

from bench.soak import displacements
from clementinelead.platform.standins import packets

_BALANCER = "127.0.0.1"
_DATA = b"request"


class _Path:
    """One target whose callers have one flow for each port."""

    def __init__(self):
        self.steady = True
        self.check = displacements.Displacements(lambda *_: self.steady)

    def send(self, port, urgent, now=0.0, balancer=_BALANCER, known=True):
        flow = (1, port, 2, 443)
        if known:
            self.check.record_answer(flow, _BALANCER, now)
        end = 100 + len(_DATA)
        self.check.record_sent(flow, end, urgent, balancer, now)

    def receive(self, port, data=_DATA, now=0.1):
        """Lets the target get a request, or the acknowledgement after one."""
        seq = 100 + len(_DATA) - len(data)
        packet = packets.Packet(packets.ACK, seq, 1, 1, port, 2, 443, data)
        return self.check.on_packet("t0", packet, now)

    def receive_kinds(self, kinds, first_port=10):
        """Lets it get an urgent (u) or usual (l) request for each letter."""
        found = []
        for port, kind in enumerate(kinds, first_port):
            self.send(port, kind == "u")
            found += self.receive(port)
        return found


@pytest.mark.parametrize(
    ("kinds", "allowed"),
    [
        ("luuuluuul", True),
        ("uuul", True),
        ("ll", False),  # reversed order, or order of arrival
        ("lul", False),  # every second turn
        ("luul", False),  # every third turn
    ],
)
def test_usual_requests_have_one_turn_in_four(kinds, allowed):
    path = _Path()
    path.send(1, urgent=True)
    path.receive(1, b"")
    assert (path.receive_kinds(kinds) == []) == allowed


def test_requests_before_the_acknowledgement_are_not_counted():
    path = _Path()
    path.send(1, urgent=True)
    assert path.receive_kinds("llll") == []
    path.receive(1)
    path.receive(1, b"")
    assert path.receive_kinds("llll", first_port=20) == []


@pytest.mark.parametrize(
    "path_of_flow", [{"known": False}, {"balancer": "127.0.0.2"}]
)
def test_requests_on_an_unknown_path_do_not_count(path_of_flow):
    path = _Path()
    path.send(1, urgent=True, **path_of_flow)
    path.receive(1, b"")
    assert path.receive_kinds("ll") == []


def test_disturbed_wait_does_not_count():
    path = _Path()
    path.send(1, urgent=True)
    path.receive(1, b"")
    path.steady = False
    path.receive_kinds("l")
    path.steady = True
    assert path.receive_kinds("ll", first_port=20) == []


def test_request_at_its_objective_leaves_out_of_turn():
    path = _Path()
    path.send(1, urgent=True, now=0.5)
    path.receive(1, b"", now=0.5)
    for port in (2, 3):
        path.send(port, urgent=False)
        assert path.receive(port, now=displacements.OBJECTIVE_S) == []


def test_no_urgent_request_waits_beyond_its_objective():
    path = _Path()
    path.send(1, urgent=True)
    path.receive(1, b"", now=0.0)
    path.send(2, urgent=False, now=1.0)
    assert path.receive(2, now=1.3) != []
