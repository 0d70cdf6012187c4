"""Limit of new flows at a target that warms up after its start.

Only the side process sees all opening packets of its target, so it enforces
the limit. What it can't know counts as used: the packets sent before its own
start, and the state of a target whose heartbeats are missing.
"""

import collections
import math

import msgspec

__all__ = ["WarmupBound", "WarmupLimit"]

WINDOW_S = 1.05
"""Length of the sliding window in which flows are counted, seconds.

The limit holds in any second; the rest covers the delivery to the target.
"""

MAX_HEARTBEAT_INTERVALS = 1.5
"""Intervals without a heartbeat after which a target may have restarted."""

HEARTBEATS_AFTER_EVACUATION = 2
"""Heartbeats after an evacuation until they prove that a target is warm.

The first one may have been sent before the target became cold.
"""


class WarmupBound(msgspec.Struct, frozen=True):
    """How far targets may exceed the rate of their service while they warm up.

    Attributes:
        overshoot: Factor on the rate.
        slack: Flows in a second beyond that.
    """

    overshoot: float
    slack: float

    def max_flows(self, flows_per_s: float) -> int:
        """Returns the most flows in any second.

        Args:
            flows_per_s: Rate that a target of the service bears, positive.
        """
        return max(0, math.floor(flows_per_s * self.overshoot + self.slack))


class WarmupLimit:
    """Sliding limit of the flows sent to one target.

    Attributes:
        flows_per_s: Rate that the target bears while it warms up; 0 for no
            limit, None while unknown.
    """

    def __init__(
        self, bound: WarmupBound | None, heartbeat_s: float, now: float
    ):
        """Starts with a target of unknown state.

        Args:
            bound: Bound on the limit, None if no limit is in force.
            heartbeat_s: Interval of the target's heartbeats, seconds.
            now: Present time, seconds.
        """
        self.flows_per_s: float | None = None
        self._bound = bound
        self._max_heartbeat_age_s = MAX_HEARTBEAT_INTERVALS * heartbeat_s
        self._sent_at: collections.deque[float] = collections.deque()
        self._known_from = now
        self._warm_at = now
        self._heartbeat_at = float("-inf")
        self._heartbeats_needed = 1

    def on_heartbeat(self, warmup_s: float, now: float) -> None:
        """Applies the warm-up time of a heartbeat.

        Args:
            warmup_s: Remaining time for which the target is cold, seconds.
            now: Present time, seconds.
        """
        self._heartbeat_at = now
        self._heartbeats_needed = max(0, self._heartbeats_needed - 1)
        self._warm_at = now + warmup_s

    def on_evacuation_end(self) -> None:
        """Records that new flows return after an evacuation of the zone."""
        self._heartbeats_needed = HEARTBEATS_AFTER_EVACUATION

    def add_flow(self, now: float) -> None:
        """Counts an opening packet sent to the target.

        Args:
            now: Present time, seconds.
        """
        if self._bound is None or self.flows_per_s == 0:
            return
        self._expire(now)
        self._sent_at.append(now)

    def may_be_cold(self, now: float) -> bool:
        """Returns whether the target warms up, or may do so unnoticed.

        Args:
            now: Present time, seconds.
        """
        return (
            now < self._warm_at
            or self._heartbeats_needed > 0
            or now - self._heartbeat_at > self._max_heartbeat_age_s
        )

    def allows_flow(self, first_flows_known: bool, now: float) -> bool:
        """Returns whether the limit allows another opening packet now.

        Args:
            first_flows_known: Whether no other process can have sent opening
                packets to the target just before this one started.
            now: Present time, seconds.
        """
        if self._bound is None or self.flows_per_s == 0:
            return True
        if not self.may_be_cold(now):
            return True
        if not first_flows_known and now < self._known_from + WINDOW_S:
            return False
        self._expire(now)
        limit = self._bound.max_flows(self.flows_per_s or 0.0)
        return len(self._sent_at) < limit

    def _expire(self, now: float) -> None:
        """Forgets the packets that have left the window."""
        while self._sent_at and self._sent_at[0] <= now - WINDOW_S:
            self._sent_at.popleft()
