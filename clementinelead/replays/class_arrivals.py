"""Arrivals of several kinds of requests at rates that vary by time and zone."""

import bisect
import collections.abc
import dataclasses
import functools
import itertools

import numpy as np

from clementinelead.replays import loads
from clementinelead.replays import scales

__all__ = ["HeavyWork", "KindLoad", "RateFactor", "draw"]

SERVICE_TIME_GAMMA_SHAPE = 4.0
"""Shape of the service times; their deviation is half of the mean."""

MEAN_PAUSE_S = 1.0
"""Mean time between the requests of a session at the usual rate, seconds."""

MIN_PAUSE_S = 0.3
"""Shortest time between the requests of a session, seconds.

It exceeds the objectives, so that answers in time do not delay requests.
"""

RateFactor = collections.abc.Callable[[str, str, float], float]
"""Factor of the usual rate, by name of the kind, zone and time in seconds."""


@dataclasses.dataclass(frozen=True)
class KindLoad:
    """Requests of a kind.

    Attributes:
        kind: The kind.
        mean_work_s: Mean service time at a target of slowness 1, seconds.
        rate: Requests per second, relative to the other kinds.
        requests_per_flow: Mean number of requests of a session, which share a
            flow; None if each request has a flow of its own.
    """

    kind: loads.RequestKind
    mean_work_s: float
    rate: float
    requests_per_flow: float | None = None


@dataclasses.dataclass(frozen=True)
class HeavyWork:
    """Requests that need more than the usual work.

    Attributes:
        share: Their share of all requests.
        factor: Their work, as a multiple of the usual.
    """

    share: float = 0.0
    factor: float = 1.0

    @property
    def mean_factor(self) -> float:
        """Mean work of all requests, as a multiple of the usual."""
        return 1 + self.share * (self.factor - 1)


@dataclasses.dataclass
class _Session:
    number: int
    remaining: int


class _SessionPool:
    """The sessions of a kind in a zone."""

    def __init__(
        self,
        kind_load: KindLoad,
        rate: float,
        numbers: collections.abc.Iterator[int],
        generator: np.random.Generator,
    ):
        """Creates a pool without sessions.

        Args:
            kind_load: The kind.
            rate: Its usual rate in the zone, requests per second.
            numbers: Yields the numbers of new sessions.
            generator: Source of randomness.
        """
        self._size = rate * MEAN_PAUSE_S
        self._requests_per_flow = kind_load.requests_per_flow
        self._numbers = numbers
        self._generator = generator
        # Both are in the order of the last request.
        self._sessions: list[_Session] = []
        self._last_at_s: list[float] = []

    def take(self, now: float) -> int | None:
        """Returns the number of the session that sends a request.

        It is a random one of those that have paused; a new one if there is
        none or the pool is not full. None if the kind has no sessions.

        Args:
            now: Time of the request, not before that of the last call, seconds.
        """
        if self._requests_per_flow is None:
            return None
        paused = bisect.bisect_right(self._last_at_s, now - MIN_PAUSE_S)
        if paused and len(self._sessions) >= self._size:
            index = int(self._generator.integers(paused))
            session = self._sessions.pop(index)
            del self._last_at_s[index]
        else:
            length = self._generator.geometric(1 / self._requests_per_flow)
            session = _Session(next(self._numbers), int(length))
        session.remaining -= 1
        if session.remaining:
            self._sessions.append(session)
            self._last_at_s.append(now)
        return session.number


def _times(
    seconds: float,
    rate: float,
    peak: float,
    factor: collections.abc.Callable[[float], float],
    generator: np.random.Generator,
) -> collections.abc.Iterator[float]:
    """Yields the times of a Poisson process at a varying rate, seconds.

    Args:
        seconds: Time before which they are.
        rate: Usual rate per second.
        peak: Upper bound of the factor.
        factor: Factor of the usual rate, by time in seconds.
        generator: Source of randomness.
    """
    at_s = 0.0
    while True:
        at_s += float(generator.exponential(1.0 / (rate * peak)))
        if at_s >= seconds:
            return
        if generator.random() * peak < factor(at_s):
            yield at_s


def draw(
    kind_loads: tuple[KindLoad, ...],
    targets: tuple[loads.TargetSpec, ...],
    scale: scales.Scale,
    factor: RateFactor,
    peak: float,
    generator: np.random.Generator,
    heavy: HeavyWork = HeavyWork(),
) -> tuple[loads.Arrival, ...]:
    """Returns the arrivals of all kinds in the order of time.

    The usual rate gives the targets the utilisation of the scale. All zones
    have the same usual rate. Service times have a gamma distribution.

    Args:
        kind_loads: The kinds.
        targets: The targets; callers come from their zones.
        scale: Size of the load.
        factor: Factor of the usual rate.
        peak: Upper bound of the factor.
        generator: Source of randomness.
        heavy: Requests that need more than the usual work.
    """
    zones = sorted({target.zone for target in targets})
    capacity = sum(target.slots / target.slowness for target in targets)
    work_per_s = heavy.mean_factor * sum(
        each.rate * each.mean_work_s for each in kind_loads
    )
    total = scale.utilisation * capacity / work_per_s
    session_numbers = itertools.count(1)
    arrivals: list[loads.Arrival] = []
    for each in kind_loads:
        rate = total * each.rate / len(zones)
        for zone in zones:
            zone_factor = functools.partial(factor, each.kind.name, zone)
            times = _times(scale.seconds, rate, peak, zone_factor, generator)
            pool = _SessionPool(each, rate, session_numbers, generator)
            for at_s in times:
                work_s = _work_s(each, heavy, generator)
                session = pool.take(at_s)
                arrivals.append(
                    loads.Arrival(at_s, zone, each.kind.name, work_s, session)
                )
    return tuple(sorted(arrivals, key=lambda arrival: arrival.at_s))


def _work_s(
    kind_load: KindLoad, heavy: HeavyWork, generator: np.random.Generator
) -> float:
    """Returns the service time of a request, seconds."""
    mean_s = kind_load.mean_work_s
    if generator.random() < heavy.share:
        mean_s *= heavy.factor
    return float(
        generator.gamma(
            SERVICE_TIME_GAMMA_SHAPE, mean_s / SERVICE_TIME_GAMMA_SHAPE
        )
    )
