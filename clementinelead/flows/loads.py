"""What a side process knows of its target's load from its own flows."""

import dataclasses
import math

__all__ = ["Admission", "Limits", "LoadEstimate", "RetryAfterBounds"]

_SMOOTHING = 0.02
_INITIAL_SERVICE_S = 0.05
_MIN_SERVICE_S = 0.0005
_COLD_SHARE = 0.25
_UNANSWERED_LIMIT = 3
_UNANSWERED_PAUSE_S = 2.0
NOT_ACCEPTING_MS = 0xFFFF_FFFF


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of one target.

    Attributes:
        slots: Requests that the target works on at once.
        connections: Flows that the target may hold.
        max_wait_s: Expected wait above which a new flow is refused, seconds.
        cold_start_s: Time in which the accepted share grows to 1, seconds.
    """

    slots: int = 2
    connections: int = 2000
    max_wait_s: float = 2.0
    cold_start_s: float = 5.0


@dataclasses.dataclass(frozen=True)
class RetryAfterBounds:
    """Bounds of a shedding target's own word on when to come back, seconds.

    The least is a little more than the interval of load reports, so that a
    hint of zero is no loop; the most keeps an hour's hint from idling a
    target whose reports have ceased.
    """

    min_s: float = 0.6
    max_s: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Whether a target can take a new flow, and why not.

    Attributes:
        allowed: Whether it can.
        reason: ``free`` or the reason against, as logs show it.
    """

    allowed: bool
    reason: str


FREE = Admission(True, "free")
QUEUED = Admission(True, "queued")


class LoadEstimate:
    """Counts the flows at work and estimates the time one takes.

    The estimate comes from the flows that the side process saw end, never
    from what the target says of itself: load endpoints lag or mislead.
    """

    def __init__(
        self,
        limits: Limits,
        started: float,
        retry_after_bounds: RetryAfterBounds = RetryAfterBounds(),
    ):
        self.limits = limits
        self.retry_after_bounds = retry_after_bounds
        self.started = started
        self.active_flows = 0
        self.open_flows = 0
        self.service_s = _INITIAL_SERVICE_S
        self._shedding_until = 0.0
        self._mute_until = 0.0
        self._unanswered = 0
        self._samples = 0

    def capacity_share(self, now: float) -> float:
        """Returns the share of its capacity that a cold target may use."""
        if self.limits.cold_start_s <= 0:
            return 1.0
        age = (now - self.started) / self.limits.cold_start_s
        return min(1.0, _COLD_SHARE + (1.0 - _COLD_SHARE) * max(0.0, age))

    def usable_slots(self, now: float) -> int:
        """Returns the slots that may be used now, at least one."""
        return max(1, math.floor(self.limits.slots * self.capacity_share(now)))

    def free_slots(self, now: float) -> int:
        """Returns the slots that a new flow could have at once."""
        if not self.check_admission(now, last_resort=False).allowed:
            return 0
        return self.usable_slots(now) - self.active_flows

    def expected_wait_s(self, now: float) -> float:
        """Returns the expected wait of a new flow for a slot, seconds."""
        slots = self.usable_slots(now)
        ahead = max(0, self.active_flows + 1 - slots)
        return ahead * self.service_s / slots

    def completion_ms(self, now: float) -> int:
        """Returns when a flow accepted now would be done, milliseconds."""
        seconds = (
            self.expected_wait_s(now) + self.service_s
        ) / self.capacity_share(now)
        return min(NOT_ACCEPTING_MS - 1, int(seconds * 1000))

    def check_admission(self, now: float, last_resort: bool) -> Admission:
        """Tells whether the target can take one more flow.

        Args:
            now: Present time, seconds.
            last_resort: Whether no other target is left to ask, so that a
                wait within the limit is acceptable.
        """
        if self.open_flows >= self.limits.connections:
            return Admission(False, "connections")
        if now < self._mute_until:
            return Admission(False, "mute")
        if now < self._shedding_until:
            return Admission(False, "shedding")
        if self.active_flows < self.usable_slots(now):
            return FREE
        if not last_resort:
            return Admission(False, "slots")
        if self.expected_wait_s(now) > self.limits.max_wait_s:
            return Admission(False, "wait")
        return QUEUED

    def add_flow(self) -> int:
        """Counts a new flow; returns how many were at work before it."""
        ahead = self.active_flows
        self.active_flows += 1
        self.open_flows += 1
        return ahead

    def add_work(self) -> int:
        """Counts more work in a flow that is held already.

        Returns:
            How many were at work before it.
        """
        ahead = self.active_flows
        self.active_flows += 1
        return ahead

    def apply_load_report(
        self, shedding: bool, retry_after_s: float, now: float
    ) -> None:
        """Takes over what the target says of itself, within bounds.

        A target that says that it sheds gets no new work for as long as it
        asks, at least until the next report and at most a few seconds: a hint
        that is too long would leave it idle.

        Args:
            shedding: Whether the target turns new work away.
            retry_after_s: When it would take work again, seconds.
            now: Present time, seconds.
        """
        if not shedding:
            self._shedding_until = now
            return
        wait = min(
            self.retry_after_bounds.max_s,
            max(self.retry_after_bounds.min_s, retry_after_s),
        )
        self._shedding_until = now + wait

    def record_answered(self) -> None:
        """Notes that a caller went on after its first packet."""
        self._unanswered = 0

    def record_unanswered(self, now: float) -> None:
        """Notes a first packet that the target left without an answer."""
        self._unanswered += 1
        if self._unanswered >= _UNANSWERED_LIMIT:
            self._unanswered = 0
            self._mute_until = now + _UNANSWERED_PAUSE_S

    def record_completion(self, duration_s: float, ahead: int) -> None:
        """Learns from a flow whose work has ended.

        Args:
            duration_s: Time from acceptance to the end, seconds.
            ahead: Flows that were at work when it was accepted.
        """
        self.end_work()
        slots = self.limits.slots
        rounds = 1.0 + max(0, ahead + 1 - slots) / slots
        sample = max(_MIN_SERVICE_S, duration_s / rounds)
        self._samples += 1
        weight = max(_SMOOTHING, 1 / self._samples)
        self.service_s += weight * (sample - self.service_s)

    @property
    def has_samples(self) -> bool:
        """Whether work has been seen to end."""
        return self._samples > 0

    def reset_service_time(self, service_s: float) -> None:
        """Starts to learn anew, for a target that has been replaced.

        Args:
            service_s: Estimate until the first flow has ended, seconds.
        """
        self.service_s = service_s
        self._samples = 0

    def end_work(self) -> None:
        """Counts a flow that no longer works, without learning from it."""
        assert self.active_flows > 0, "released more slots than were taken"
        self.active_flows -= 1

    def remove_flow(self) -> None:
        """Counts a flow that is no longer held."""
        assert self.open_flows > 0, "closed more flows than were held"
        self.open_flows -= 1
