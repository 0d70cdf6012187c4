"""The load of a target, from the packets that pass in both directions."""

import math

from clementinelead.flows import loads
from clementinelead.relays import frames

__all__ = ["Workload"]

SMOOTHING_S = 2.0
"""Time constant of the utilisation; feeds ask about once a second."""

BUSY_SHARE = 0.75
"""Share of a route's latency objective that a target may need itself.

The rest goes to the network, the handshake and the spread of service times.
"""

UNPROVEN_S = 0.005
"""Time that work is expected to take before any has been seen, seconds.

Short, so that a target without work is tried and not left idle for good.
"""

DOUBTED_S = 0.05
"""Time that such work is taken to need where targets must not be swamped.

After a loss of all, every target is unproven and a backlog waits.
"""

COLD_FACTOR = 1.6
"""How much longer work takes at a target that has just started."""

MAX_UTILISATION = 0.9
"""Above it the expected time would grow without bound."""

_MAX_LOAD_MS = frames.NOT_ACCEPTING - 1


class Workload:
    """Work under way at the target and the time a new flow would take there.

    A feed that is open and idle is no work now, but will be; so the expected
    time also grows with the share of time that the target has been at work
    lately.
    """

    def __init__(self, started: float):
        """Starts with no work.

        Args:
            started: Present time, seconds.
        """
        self.estimate = loads.LoadEstimate(loads.Limits(), started)
        self._cold_until = started
        self._utilisation = 0.0
        self._updated = started

    def configure(self, slots: int, warmup_s: float, now: float) -> None:
        """Takes over what a target that has just started says of itself.

        Args:
            slots: Requests that it works on at once.
            warmup_s: Time that it stays slow, seconds.
            now: Present time, seconds.
        """
        # A cold target has all its slots, and is only slower.
        limits = loads.Limits(slots=max(1, slots), cold_start_s=0.0)
        self.estimate.limits = limits
        self.estimate.reset_service_time(UNPROVEN_S)
        self._cold_until = now + warmup_s

    def load_ms(self, now: float) -> int:
        """Returns when a flow that comes now would be done, milliseconds."""
        self._update(now)
        rest = 1.0 - min(MAX_UTILISATION, self._utilisation)
        return min(_MAX_LOAD_MS, int(self.completion_ms(now) / rest))

    def completion_ms(self, now: float) -> float:
        """Returns when work that comes now would be done, milliseconds."""
        completion = float(self.estimate.completion_ms(now))
        return (
            completion * COLD_FACTOR if now < self._cold_until else completion
        )

    def busy(self, objective_ms: int, now: float) -> bool:
        """Tells whether a new flow had better wait, or go elsewhere.

        A target with a free slot is never busy, however slow it is.

        Args:
            objective_ms: Latency objective of the flow's route, milliseconds.
            now: Present time, seconds.
        """
        wait_s = self.estimate.expected_wait_s(now)
        if wait_s <= 0:
            return False
        service_s = self.estimate.service_s
        rounds = 1.0 + wait_s / service_s
        if not self.estimate.has_samples:
            service_s = DOUBTED_S
        if now < self._cold_until:
            service_s *= COLD_FACTOR
        return rounds * service_s * 1000 > BUSY_SHARE * objective_ms

    def opened(self, now: float) -> int:
        """Counts a new flow with work; returns what was under way before."""
        self._update(now)
        return self.estimate.add_flow()

    def resumed(self, now: float) -> int:
        """Counts work in an open flow; returns what was under way before."""
        self._update(now)
        return self.estimate.add_work()

    def finished(self, duration_s: float, ahead: int, now: float) -> None:
        """Counts work that has ended, and learns from its duration."""
        self._update(now)
        self.estimate.record_completion(duration_s, ahead)

    def released(self, now: float) -> None:
        """Counts work that was given up or never began."""
        self._update(now)
        self.estimate.end_work()

    def _update(self, now: float) -> None:
        """Brings the utilisation up to now, before the work changes."""
        elapsed = max(0.0, now - self._updated)
        self._updated = now
        busy = min(1.0, self.estimate.active_flows / self.estimate.limits.slots)
        kept = math.exp(-elapsed / SMOOTHING_S)
        self._utilisation = self._utilisation * kept + busy * (1.0 - kept)
