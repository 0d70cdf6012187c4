"""The workload of a target, measured on the packets in both directions."""

import math

from clementinelead.flows import loads
from clementinelead.relays import frames

__all__ = ["Workload"]

UTILISATION_TIME_CONSTANT_S = 2.0
"""Time constant of the smoothed utilisation, seconds.

Long-lived flows send about one request a second.
"""

MAX_OBJECTIVE_SHARE = 0.75
"""Largest share of a route's latency objective for waiting and service.

The rest is left for the network, the handshake and the variance of service
times.
"""

INITIAL_LOAD_SERVICE_S = 0.005
"""Service time in reported loads before the first completed request, seconds.

It is short, so that an unmeasured target receives flows and is measured.
"""

INITIAL_BUSY_SERVICE_S = 0.05
"""Service time in ``busy`` before the first completed request, seconds.

It is longer than the one for loads: after an outage of all processes every
target is unmeasured, and a backlog of callers would overload it.
"""

WARMUP_SLOWDOWN = 1.6
"""Factor by which service takes longer at a target that warms up."""

MAX_UTILISATION = 0.9
"""Utilisation above which the reported load no longer grows with it.

The load is divided by the free share of the target, and would grow without
bound.
"""

_MAX_LOAD_MS = frames.NOT_ACCEPTING - 1


class Workload:
    """Requests under way at a target, and how long a new flow would take.

    An idle open flow is no work at present but sends requests later. The
    reported load therefore grows with the recent utilisation of the target,
    too.

    Attributes:
        estimate: Counts of flows and requests, and the estimated service time.
    """

    def __init__(self, started: float):
        """Starts without flows and requests.

        Args:
            started: Present time, seconds.
        """
        self.estimate = loads.LoadEstimate(loads.Limits(), started)
        self._warm_at = started
        self._utilisation = 0.0
        self._updated_at = started

    def configure(self, slots: int, warmup_s: float, now: float) -> None:
        """Applies the settings that a new incarnation reports.

        The service time measured on the previous incarnation is discarded.

        Args:
            slots: Requests that the target serves at once.
            warmup_s: Time for which it stays slow, seconds.
            now: Present time, seconds.
        """
        # A target that warms up has all its slots, and is only slower.
        limits = loads.Limits(slots=max(1, slots), cold_start_s=0.0)
        self.estimate.limits = limits
        self.estimate.reset_service_time(INITIAL_LOAD_SERVICE_S)
        self.set_warmup(warmup_s, now)

    def set_warmup(self, warmup_s: float, now: float) -> None:
        """Applies the remaining warm-up time that the target reports.

        It can rise without a restart: a target without work may cool down.

        Args:
            warmup_s: Time for which it stays slow, seconds.
            now: Present time, seconds.
        """
        self._warm_at = now + warmup_s

    def load_ms(self, now: float) -> int:
        """Returns the load that balancers compare targets by, milliseconds.

        It is the expected time to complete a new flow's request, divided by
        the free share of the target.

        Args:
            now: Present time, seconds.
        """
        self._update_utilisation(now)
        free_share = 1.0 - min(MAX_UTILISATION, self._utilisation)
        return min(_MAX_LOAD_MS, int(self.completion_ms(now) / free_share))

    def completion_ms(self, now: float) -> float:
        """Returns the expected time to complete a new request, milliseconds.

        Args:
            now: Present time, seconds.
        """
        completion_ms = float(self.estimate.completion_ms(now))
        if now < self._warm_at:
            return completion_ms * WARMUP_SLOWDOWN
        return completion_ms

    def busy(
        self,
        objective_ms: int,
        now: float,
        objective_share: float = MAX_OBJECTIVE_SHARE,
    ) -> bool:
        """Returns whether a new flow should wait or go to another target.

        A target with a free slot is never busy, however slow it is.

        Args:
            objective_ms: Latency objective of the flow's route, milliseconds.
            now: Present time, seconds.
            objective_share: Largest share of it for waiting and service.
        """
        wait_s = self.estimate.expected_wait_s(now)
        if wait_s <= 0:
            return False
        service_s = self.estimate.service_s
        rounds = 1.0 + wait_s / service_s
        if not self.estimate.has_samples:
            service_s = INITIAL_BUSY_SERVICE_S
        if now < self._warm_at:
            service_s *= WARMUP_SLOWDOWN
        return rounds * service_s * 1000 > objective_share * objective_ms

    def add_flow(self, now: float) -> int:
        """Counts a new flow and its request.

        Args:
            now: Present time, seconds.

        Returns:
            Requests that were under way before.
        """
        self._update_utilisation(now)
        return self.estimate.add_flow()

    def add_request(self, now: float) -> int:
        """Counts a request that belongs to no new flow.

        Args:
            now: Present time, seconds.

        Returns:
            Requests that were under way before.
        """
        self._update_utilisation(now)
        return self.estimate.add_request()

    def complete_request(
        self, duration_s: float, ahead: int, now: float
    ) -> None:
        """Ends a request and updates the service time from its duration.

        Args:
            duration_s: Time from the request to its answer, seconds.
            ahead: Requests that were under way before it.
            now: Present time, seconds.
        """
        self._update_utilisation(now)
        self.estimate.complete_request(duration_s, ahead)

    def discard_request(self, now: float) -> None:
        """Ends a request that was abandoned, rejected or never sent.

        Args:
            now: Present time, seconds.
        """
        self._update_utilisation(now)
        self.estimate.discard_request()

    def _update_utilisation(self, now: float) -> None:
        """Adds the time since the last update, with the requests of then."""
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        busy_share = min(
            1.0, self.estimate.active_flows / self.estimate.limits.slots
        )
        weight = math.exp(-elapsed_s / UTILISATION_TIME_CONSTANT_S)
        self._utilisation = self._utilisation * weight + busy_share * (
            1.0 - weight
        )
