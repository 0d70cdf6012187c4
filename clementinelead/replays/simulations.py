"""Simulates a load under a policy."""

import collections.abc
import dataclasses
import functools

import numpy as np

from clementinelead.replays import calls
from clementinelead.replays import direct
from clementinelead.replays import event_queues
from clementinelead.replays import loads
from clementinelead.replays import relay_processes
from clementinelead.replays import relayed
from clementinelead.replays import servers

__all__ = ["POLICIES", "Replay", "replay"]

POLICIES = ("relayed", "plain-hash", "shortest-queue")
"""The product's decisions, and two baselines of ``direct``.

``shortest-queue`` has full information, which no real balancer has.
"""


@dataclasses.dataclass(frozen=True)
class Replay:
    """Results of a simulation.

    Attributes:
        load: The load.
        policy: Name of the policy.
        outcomes: Outcomes of its requests, in the order of arrival.
        served_by_target: Requests accepted for service, by target name.
        elsewhere_share: Share of the flows placed at targets outside the zone
            of their caller; NaN if none was placed.
        count_by_decision: Decisions of all balancers by cause, and the
            datagrams that they sent; empty for the baselines.
    """

    load: loads.Load
    policy: str
    outcomes: tuple[calls.Outcome, ...]
    served_by_target: dict[str, int]
    elsewhere_share: float
    count_by_decision: dict[str, int]


def replay(
    load: loads.Load,
    policy: str,
    seed: int,
    options: relay_processes.Options = relay_processes.Options(),
) -> Replay:
    """Returns the results of a load under a policy.

    It is deterministic: the same arguments give the same results.

    Args:
        load: The load.
        policy: One of ``POLICIES``.
        seed: Seed of the random behaviour of targets.
        options: Settings of the balancers.

    Raises:
        ValueError: There is no such policy.
        relay_processes.UnsupportedOptionError: An option is set that the
            balancers do not have.
    """
    event_queue = event_queues.EventQueue()
    generator = np.random.default_rng(seed)
    all_servers = [servers.Server(target) for target in load.targets]
    transport: relayed.RelayedTransport | direct.DirectTransport
    decision_counts: collections.abc.Callable[[], dict[str, int]] = dict
    match policy:
        case "relayed":
            relayed_transport = relayed.RelayedTransport(
                load, all_servers, event_queue, generator.random, options
            )
            set_condition = relayed_transport.set_condition
            decision_counts = relayed_transport.decision_counts
            transport = relayed_transport
        case "plain-hash" | "shortest-queue":
            set_condition = functools.partial(_set_condition, all_servers)
            transport = direct.DirectTransport(
                direct.PlainHash()
                if policy == "plain-hash"
                else direct.ShortestQueue(),
                all_servers,
                event_queue,
                generator.random,
            )
        case _:
            raise ValueError(f"{policy!r} is none of {', '.join(POLICIES)}")
    for change in load.changes:
        event_queue.schedule(
            change.at_s,
            functools.partial(set_condition, change.target, change.condition),
        )
    kinds = load.kind_by_name
    all_calls = [
        calls.Call(
            number,
            arrival,
            kinds[arrival.kind],
            event_queue,
            transport,
            load.callers.retry_delay_s,
        )
        for number, arrival in enumerate(load.arrivals)
    ]
    for call in all_calls:
        event_queue.schedule(call.arrival.at_s, call.start)
    last_arrival_s = max(
        (arrival.at_s for arrival in load.arrivals), default=0.0
    )
    longest_timeout_s = max(
        (kind.timeout_s for kind in load.kinds), default=0.0
    )
    event_queue.run(last_arrival_s + longest_timeout_s)
    return Replay(
        load,
        policy,
        tuple(call.outcome for call in all_calls if call.outcome is not None),
        {server.spec.name: server.served_requests for server in all_servers},
        transport.placements_elsewhere / transport.placements
        if transport.placements
        else float("nan"),
        decision_counts(),
    )


def _set_condition(
    all_servers: list[servers.Server], target: str, condition: loads.Condition
) -> None:
    for server in all_servers:
        if server.spec.name == target:
            server.condition = condition
