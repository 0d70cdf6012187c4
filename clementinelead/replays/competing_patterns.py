"""Synthetic loads with callers that compete for the same targets."""

import dataclasses

import numpy as np

from clementinelead.replays import class_arrivals
from clementinelead.replays import loads
from clementinelead.replays import scales
from clementinelead.replays import zoned_loads

__all__ = ["KIND_LOADS", "kill_in_burst", "new_flows", "orders_burst"]

FAST_SLOWNESS = 0.55
USUAL_SLOWNESS = 1.2

KIND_LOADS = (
    class_arrivals.KindLoad(
        loads.RequestKind("status", 0.253, 1.9, 1.0, 0.3, 2, True),
        mean_work_s=0.022,
        rate=3.5,
        requests_per_flow=20.0,
    ),
    class_arrivals.KindLoad(
        loads.RequestKind("order", 0.302, 2.4, 2.0, 0.3, 1, False),
        mean_work_s=0.029,
        rate=1.0,
    ),
)
"""Status streams and orders; orders take precedence."""

ORDERS_PEAK = 1.8
ORDERS_BURST = (1 / 8, 1 / 2)
"""Begin and end of the burst of orders, as shares of the load."""

COMMON_PEAK = 2.2
COMMON_BURST = (9 / 16, 15 / 16)
"""Begin and end of the burst of all kinds, as shares of the load."""

KILL_BURST = (1 / 8, 5 / 8)
"""Begin and end of the burst in ``kill_in_burst``, as shares of the load."""

KILLED_AT = 1 / 4
"""Time of the kill of all balancers, as a share of the load."""

NEW_FLOWS_QUEUE = 12
"""Requests that may wait at a target in ``new_flows``.

A target with a shorter queue rejects requests before its side process finds it
busy, so that no flow waits at a balancer.
"""

BALANCER_PROCESSOR_SHARE = 0.1
LISTENING_DELAY_S = 0.5
SERVING_DELAY_S = 1.5


def _slowness(number: int) -> float:
    """Returns the slowness of a target; a quarter of the targets is fast."""
    return FAST_SLOWNESS if zoned_loads.is_unusual(number) else USUAL_SLOWNESS


def _is_within(
    now: float, scale: scales.Scale, part: tuple[float, float]
) -> bool:
    begin, end = part
    return begin <= now / scale.seconds < end


def _load(
    name: str,
    scale: scales.Scale,
    generator: np.random.Generator,
    factor: class_arrivals.RateFactor,
) -> loads.Load:
    return zoned_loads.create(
        name,
        KIND_LOADS,
        zoned_loads.targets(scale, _slowness),
        scale,
        factor,
        max(ORDERS_PEAK, COMMON_PEAK),
        generator,
    )


def orders_burst(
    scale: scales.Scale, generator: np.random.Generator
) -> loads.Load:
    """Returns a load with a burst of orders, then one of all requests.

    Each burst takes 3 s if the load takes 8 s.
    """

    def factor(kind: str, zone: str, now: float) -> float:
        if _is_within(now, scale, COMMON_BURST):
            return COMMON_PEAK
        if kind == "order" and _is_within(now, scale, ORDERS_BURST):
            return ORDERS_PEAK
        return 1.0

    return _load("orders-burst", scale, generator, factor)


def new_flows(
    scale: scales.Scale, generator: np.random.Generator
) -> loads.Load:
    """Returns a load at a constant rate whose requests have a flow each.

    A utilisation of 10 stands for ten times the capacity.
    """
    all_targets = tuple(
        dataclasses.replace(target, queue=NEW_FLOWS_QUEUE)
        for target in zoned_loads.targets(scale, _slowness)
    )
    kind_loads = tuple(
        dataclasses.replace(each, requests_per_flow=None) for each in KIND_LOADS
    )

    def factor(kind: str, zone: str, now: float) -> float:
        return 1.0

    return zoned_loads.create(
        "new-flows", kind_loads, all_targets, scale, factor, 1.0, generator
    )


def kill_in_burst(
    scale: scales.Scale, generator: np.random.Generator
) -> loads.Load:
    """Returns a burst of all requests during which all balancers restart.

    The balancers have a share of a processor each.
    """

    def factor(kind: str, zone: str, now: float) -> float:
        return COMMON_PEAK if _is_within(now, scale, KILL_BURST) else 1.0

    killed_at_s = KILLED_AT * scale.seconds
    restart = loads.Restart(
        killed_at_s,
        killed_at_s + LISTENING_DELAY_S,
        killed_at_s + SERVING_DELAY_S,
    )
    load = _load("kill-in-burst", scale, generator, factor)
    balancers = loads.BalancerSpec(BALANCER_PROCESSOR_SHARE, (restart,))
    return dataclasses.replace(load, balancers=balancers)
