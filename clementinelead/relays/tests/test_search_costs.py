"""Datagrams that the search for a flow costs, by number of targets."""

import pytest

from clementinelead.relays.tests import search_costs
from clementinelead.relays.tests import test_probing

_sizes = pytest.mark.parametrize("targets", search_costs.SIZES)


# Guards against further query rounds and probes for a flow that a side
# process knows.
@_sizes
def test_known_flow_costs_one_round_and_no_probe(targets):
    cost = search_costs.known(targets)
    assert (cost.rounds, cost.queries, cost.replies) == (1, targets, targets)
    assert (cost.probes, cost.at_owner, cost.at_others) == (0, 1, 0)


# Guards against packets at targets whose side processes are certain.
@_sizes
def test_flow_of_one_unsure_process_costs_one_round_and_one_probe(targets):
    cost = search_costs.owner_unsure(targets)
    assert (cost.rounds, cost.queries) == (1, targets)
    assert (cost.probes, cost.at_owner, cost.at_others) == (1, 1, 0)
    assert cost.replies == targets + 1  # the probe is answered, too


# Guards against probes of all targets for a flow at a likely one.
@_sizes
def test_flow_at_a_likely_target_costs_two_probes_after_a_restart_of_all(
    targets,
):
    cost = search_costs.all_unsure(targets)
    assert (cost.rounds, cost.queries) == (1, targets)
    assert (cost.probes, cost.at_owner) == (2, 1)


# Guards against several packets of a flow at the same target, and against more
# rounds for more targets.
@_sizes
@pytest.mark.parametrize(
    ("case", "at_owner"),
    [(search_costs.all_unsure_last, 1), (search_costs.lost_all_unsure, 0)],
)
def test_each_unsure_target_is_probed_once_in_three_rounds(
    case, at_owner, targets
):
    cost = case(targets)
    assert (cost.rounds, cost.queries) == (3, 3 * targets)
    assert cost.probes == targets
    assert (cost.at_owner, cost.at_others) == (at_owner, targets - at_owner)
    assert cost.resets == 1 - at_owner
    assert cost.ended_after_s < test_probing.REORDER_S


# Guards against packets at targets, and against a wait for the reset, although
# all side processes deny the flow with certainty.
@_sizes
def test_lost_flow_costs_one_round_and_no_probe(targets):
    cost = search_costs.lost(targets)
    assert (cost.rounds, cost.queries, cost.replies) == (1, targets, targets)
    assert (cost.probes, cost.at_others, cost.resets) == (0, 0, 1)
