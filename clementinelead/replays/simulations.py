"""Runs a load under a policy."""

import dataclasses
import functools

import numpy as np

from clementinelead.replays import calls
from clementinelead.replays import direct
from clementinelead.replays import event_queues
from clementinelead.replays import loads
from clementinelead.replays import relayed
from clementinelead.replays import servers

__all__ = ["POLICIES", "Replay", "replay"]

POLICIES = ("relayed", "plain-hash", "shortest-queue")
"""The product's decisions, a hash alone, and knowledge that nobody has."""


@dataclasses.dataclass(frozen=True)
class Replay:
    """What became of a load.

    Attributes:
        load: The load.
        policy: Name of the policy.
        outcomes: What became of its requests, in their order.
        served_by_target: Requests answered well, by target.
    """

    load: loads.Load
    policy: str
    outcomes: tuple[calls.Outcome, ...]
    served_by_target: dict[str, int]


def replay(load: loads.Load, policy: str, seed: int) -> Replay:
    """Returns what becomes of a load under a policy.

    The same arguments give the same result.

    Args:
        load: The load.
        policy: One of ``POLICIES``.
        seed: Draws what targets do at random.

    Raises:
        ValueError: There is no such policy.
    """
    event_queue = event_queues.EventQueue()
    generator = np.random.default_rng(seed)
    known = [servers.Server(target) for target in load.targets]
    transport: calls.Transport
    match policy:
        case "relayed":
            own = relayed.RelayedTransport(
                load, known, event_queue, generator.random
            )
            change = own.set_condition
            transport = own
        case "plain-hash" | "shortest-queue":
            change = functools.partial(_change, known)
            transport = direct.DirectTransport(
                direct.PlainHash()
                if policy == "plain-hash"
                else direct.ShortestQueue(),
                known,
                event_queue,
                generator.random,
            )
        case _:
            raise ValueError(f"{policy!r} is none of {', '.join(POLICIES)}")
    for item in load.changes:
        event_queue.schedule(
            item.at_s, functools.partial(change, item.target, item.condition)
        )
    kinds = load.kind_by_name
    made = [
        calls.Call(number, arrival, kinds[arrival.kind], event_queue, transport)
        for number, arrival in enumerate(load.arrivals)
    ]
    for call in made:
        event_queue.schedule(call.arrival.at_s, call.start)
    last = max((arrival.at_s for arrival in load.arrivals), default=0.0)
    longest = max((kind.timeout_s for kind in load.kinds), default=0.0)
    event_queue.run(last + longest)
    return Replay(
        load,
        policy,
        tuple(call.outcome for call in made if call.outcome is not None),
        {server.spec.name: server.served_requests for server in known},
    )


def _change(
    known: list[servers.Server], target: str, condition: loads.Condition
) -> None:
    for server in known:
        if server.spec.name == target:
            server.condition = condition
