"""Ablation of the decision mechanisms in replays of load patterns.

A mechanism is disabled by a value of its constant that leaves it without
effect. Replays take seconds and are reproducible, so every mechanism is tried
against the load patterns that the mechanisms respond to.
"""

import collections.abc
import contextlib
import dataclasses
import itertools
import types
import unittest.mock

from clementinelead.relays import candidates
from clementinelead.relays import held_flows
from clementinelead.relays import intake
from clementinelead.relays import load_queries
from clementinelead.relays import opening_retransmissions
from clementinelead.relays import pending_flows
from clementinelead.relays import placing
from clementinelead.relays import recent_loads
from clementinelead.relays import responsiveness
from clementinelead.relays import workload
from clementinelead.replays import patterns
from clementinelead.replays import scales
from clementinelead.replays import simulations
from clementinelead.replays import summaries

__all__ = ["MECHANISMS", "PATTERNS", "Effect", "Mechanism", "effects"]

NEVER = float("inf")

PATTERNS = (
    "burst",
    "slowdown",
    "mute",
    "flapping",
    "backlog",
    "moving",
    "cold",
    "restart-in-burst",
    "restart-in-surge",
)


@dataclasses.dataclass(frozen=True)
class Mechanism:
    """A mechanism and the constant that disables it.

    Attributes:
        name: Label, printed in reports.
        module: Module of the constant.
        constant: Name of the constant.
        disabled_value: Value that disables the mechanism.
    """

    name: str
    module: types.ModuleType
    constant: str
    disabled_value: object


MECHANISMS = (
    Mechanism("newest first, older loads", intake, "BEHIND_AFTER_S", NEVER),
    Mechanism(
        "late opening packets dropped", intake, "MAX_OPENING_WAIT_S", NEVER
    ),
    Mechanism("reuse of recent loads", recent_loads, "REUSE_S", -1.0),
    Mechanism(
        "load growth per placement",
        recent_loads,
        "LOAD_GROWTH_PER_PLACEMENT",
        0.0,
    ),
    Mechanism(
        "age from retransmissions",
        opening_retransmissions,
        "RETRANSMISSION_TIMES_S",
        (0.0, 0.0),
    ),
    Mechanism("same-zone targets first", candidates, "MAX_QUERIED_IN_ZONE", 0),
    Mechanism("cross-zone cost", pending_flows, "CROSS_ZONE_COST_MS", 0),
    Mechanism("four queried, not two", candidates, "MAX_QUERIED", 2),
    Mechanism(
        "equivalent targets share", pending_flows, "EQUIVALENT_LOAD_SHARE", 0.0
    ),
    Mechanism(
        "wait limit from objective", workload, "MAX_OBJECTIVE_SHARE", NEVER
    ),
    Mechanism("backoff of held flows", placing, "HOLD_BACKOFF_FACTOR", 1.0),
    Mechanism(
        "load reply timeout 30 ms", load_queries, "LOAD_REPLY_TIMEOUT_S", 1.0
    ),
    Mechanism("accept timeout 80 ms", placing, "ACCEPT_TIMEOUT_S", 5.0),
    Mechanism(
        "unresponsive are skipped", responsiveness, "SUSPECT_AFTER_S", 60
    ),
    Mechanism("utilisation in loads", workload, "MAX_UTILISATION", 0.0),
    Mechanism("opening packets count", held_flows, "ACCEPT_TIMEOUT_S", 0.0),
    Mechanism(
        "new flows count as load", held_flows, "FIRST_REQUEST_TIMEOUT_S", 0.0
    ),
    Mechanism(
        "unanswered requests count", held_flows, "REQUEST_TIMEOUT_S", 0.0
    ),
)


@dataclasses.dataclass(frozen=True)
class Effect:
    """Share served within the latency objective, with and without a mechanism.

    Attributes:
        mechanism: Name of the mechanism.
        pattern: Name of the load pattern.
        enabled: Mean share over the seeds with it.
        disabled: Mean share without it.
    """

    mechanism: str
    pattern: str
    enabled: float
    disabled: float


def _share_in_objective(pattern: str, scale: scales.Scale, seed: int) -> float:
    load = patterns.generate(pattern, scale, seed)
    run = simulations.replay(load, "relayed", seed)
    return summaries.summarize(run)[0].within_objective


def _mean_share(pattern: str, scale: scales.Scale, seeds: int) -> float:
    shares = [
        _share_in_objective(pattern, scale, seed + 1) for seed in range(seeds)
    ]
    return sum(shares) / seeds


def effects(
    names: collections.abc.Sequence[str],
    scale: scales.Scale,
    seeds: int,
) -> collections.abc.Iterator[Effect]:
    """Yields the effect of each mechanism under each load pattern.

    Args:
        names: Names of the patterns.
        scale: Size of the generated loads.
        seeds: Number of loads generated from each pattern.
    """
    enabled_by_pattern = {
        name: _mean_share(name, scale, seeds) for name in names
    }
    for mechanism, name in itertools.product(MECHANISMS, names):
        with _disabled(mechanism):
            disabled = _mean_share(name, scale, seeds)
        yield Effect(mechanism.name, name, enabled_by_pattern[name], disabled)


def _disabled(
    mechanism: Mechanism,
) -> contextlib.AbstractContextManager[object]:
    return unittest.mock.patch.object(
        mechanism.module, mechanism.constant, mechanism.disabled_value
    )
