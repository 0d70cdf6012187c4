import pytest

from clementinelead.replays import loads
from clementinelead.replays import servers

SPEC = loads.TargetSpec("t", "a", slots=2, queue=1, slowness=2.0)
NO_FAULT_DRAW = 0.999


@pytest.fixture(name="server")
def _server():
    return servers.Server(SPEC)


def test_slots_serve_in_parallel_and_the_queue_is_bounded(server):
    answers = [server.serve(0.1, NO_FAULT_DRAW, 0.0) for _ in range(4)]
    assert [answer.at_s for answer in answers[:3]] == pytest.approx(
        [0.2, 0.2, 0.4]
    )
    assert answers[3].status is servers.Status.SHED
    assert server.served_requests == 3


def test_queue_drains_over_time(server):
    for _ in range(3):
        server.serve(0.1, NO_FAULT_DRAW, 0.0)
    assert server.serve(0.1, NO_FAULT_DRAW, 0.25).status is servers.Status.OK


def test_conditions_change_service_time_and_answers(server):
    server.condition = loads.Condition(slowness=3.0)
    assert server.serve(0.1, NO_FAULT_DRAW, 0.0).at_s == pytest.approx(0.6)
    server.condition = loads.Condition(failing=0.5)
    assert server.serve(0.1, 0.4, 0.0).status is servers.Status.FAILED
    assert server.serve(0.1, 0.6, 0.0).status is servers.Status.OK
    server.condition = loads.Condition(mute=0.5)
    assert server.serve(0.1, 0.4, 0.0) is None
    server.condition = loads.Condition(up=False)
    assert server.serve(0.1, NO_FAULT_DRAW, 0.0) is None
    assert server.completion_time_s(0.1, 0.0) == float("inf")
