"""What each mechanism of the decisions is worth in the replays.

A mechanism is switched off by a constant that makes it do nothing. Replays take
seconds and repeat, so all are tried against the load patterns that they answer.
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
from clementinelead.replays import simulations
from clementinelead.replays import summaries

__all__ = ["MECHANISMS", "PATTERNS", "Mechanism", "Worth", "worth"]

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
    """A mechanism and the constant that switches it off.

    Attributes:
        name: What it does.
        module: Where the constant is.
        constant: Its name.
        off: Its value without the mechanism.
    """

    name: str
    module: types.ModuleType
    constant: str
    off: object


MECHANISMS = (
    Mechanism("newest first, older loads", intake, "BEHIND_AFTER_S", NEVER),
    Mechanism(
        "old opening packets dropped", intake, "MAX_OPENING_WAIT_S", NEVER
    ),
    Mechanism("loads told lately", recent_loads, "REUSE_S", -1.0),
    Mechanism(
        "placed flows make dearer",
        recent_loads,
        "LOAD_GROWTH_PER_PLACEMENT",
        0.0,
    ),
    Mechanism(
        "age from copies",
        opening_retransmissions,
        "RETRANSMISSION_TIMES_S",
        (0.0, 0.0),
    ),
    Mechanism("near targets first", candidates, "MAX_QUERIED_IN_ZONE", 0),
    Mechanism("cost of another zone", pending_flows, "CROSS_ZONE_COST_MS", 0),
    Mechanism("four asked, not two", candidates, "MAX_QUERIED", 2),
    Mechanism(
        "equals share flows", pending_flows, "EQUIVALENT_LOAD_SHARE", 0.0
    ),
    Mechanism("busy targets hold back", workload, "MAX_OBJECTIVE_SHARE", NEVER),
    Mechanism("rarer questions", placing, "HOLD_BACKOFF_FACTOR", 1.0),
    Mechanism(
        "others asked after 30 ms", load_queries, "LOAD_REPLY_TIMEOUT_S", 1.0
    ),
    Mechanism("another tried after 80 ms", placing, "ACCEPT_TIMEOUT_S", 5.0),
    Mechanism("silent ones passed over", responsiveness, "SUSPECT_AFTER_S", 60),
    Mechanism("utilisation in loads", workload, "MAX_UTILISATION", 0.0),
    Mechanism("offers count as work", held_flows, "ACCEPT_TIMEOUT_S", 0.0),
    Mechanism(
        "reserved after opening", held_flows, "FIRST_REQUEST_TIMEOUT_S", 0.0
    ),
    Mechanism("stuck work counts", held_flows, "REQUEST_TIMEOUT_S", 0.0),
)


@dataclasses.dataclass(frozen=True)
class Worth:
    """Share served in time with and without a mechanism.

    Attributes:
        mechanism: Its name.
        pattern: Name of the load pattern.
        on: Share with it, mean of the seeds.
        off: Share without it.
    """

    mechanism: str
    pattern: str
    on: float
    off: float


def _in_time(pattern: str, scale: patterns.Scale, seed: int) -> float:
    load = patterns.generate(pattern, scale, seed)
    run = simulations.replay(load, "relayed", seed)
    return summaries.summarize(run)[0].within_objective


def _mean(pattern: str, scale: patterns.Scale, seeds: int) -> float:
    shares = [_in_time(pattern, scale, seed + 1) for seed in range(seeds)]
    return sum(shares) / seeds


def worth(
    names: collections.abc.Sequence[str],
    scale: patterns.Scale,
    seeds: int,
) -> collections.abc.Iterator[Worth]:
    """Yields what each mechanism is worth against each load pattern.

    Args:
        names: Names of the patterns.
        scale: Their size.
        seeds: Loads of each pattern.
    """
    on_by_pattern = {name: _mean(name, scale, seeds) for name in names}
    for one, name in itertools.product(MECHANISMS, names):
        with _switched_off(one):
            off = _mean(name, scale, seeds)
        yield Worth(one.name, name, on_by_pattern[name], off)


def _switched_off(
    one: Mechanism,
) -> contextlib.AbstractContextManager[object]:
    return unittest.mock.patch.object(one.module, one.constant, one.off)
