"""Settings without a usable bandwidth: the process starts with the default."""

import asyncio

import loguru
import pytest

from clementinelead.memberships import capacities
from clementinelead.memberships import records
from clementinelead.platform import programs
from clementinelead.platform.tests import settings_files

UNUSABLE = ["fast", "", True, [], {}, 0, -5.0, 10**400, 1e30, float("nan")]


def _balancer(**fields):
    return settings_files.side(app="", **fields)


# Guards against a process that does not start because of a hint of its weight.
@pytest.mark.parametrize(
    "limits",
    [{}, {"rate": 1}, 5, "text", [], *({"link_mbps": v} for v in UNUSABLE)],
)
def test_unusable_bandwidth_is_unknown_and_named(limits):
    node_settings = _balancer(limits=limits)
    link_mbps = node_settings.relay.link_mbps
    assert capacities.weight(records.Role.BALANCER, link_mbps) == 1.0
    [warning] = node_settings.warnings
    assert warning.startswith("limits")
    assert len(warning) < 120


def test_usable_bandwidth_is_the_weight_without_a_warning():
    node_settings = _balancer(limits={"link_mbps": 8})
    assert node_settings.relay.link_mbps == 8.0
    assert node_settings.warnings == ()


def test_side_process_needs_no_bandwidth():
    assert settings_files.side().warnings == ()


class _Program:
    async def run(self, stopping):
        loguru.logger.info("runs")


def test_warnings_are_logged_once_before_the_program_runs():
    lines = []
    sink = loguru.logger.add(lines.append, format="{message}")
    main = programs._run_with_warnings(_Program(), ("link",))
    asyncio.run(main(asyncio.Event()))
    loguru.logger.remove(sink)
    assert [str(line) for line in lines] == [
        "setting ignored: link\n",
        "runs\n",
    ]
