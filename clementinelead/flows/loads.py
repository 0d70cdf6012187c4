"""Load estimate and admission control of one target.

The estimate is based on the flows that the side process handles itself.
"""

import dataclasses
import math

__all__ = ["Admission", "Limits", "LoadEstimate", "RetryAfterBounds"]

_SMOOTHING_FACTOR = 0.02
_INITIAL_SERVICE_TIME_S = 0.05
_MIN_SERVICE_TIME_S = 0.0005
_INITIAL_CAPACITY_SHARE = 0.25
_MAX_UNANSWERED = 3
_MUTE_PAUSE_S = 2.0

NOT_ACCEPTING_MS = 0xFFFF_FFFF
"""Completion time that stands for a target without capacity."""


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of one target.

    Attributes:
        slots: Requests that the target processes concurrently.
        connections: Maximum number of open flows of the target.
        max_wait_s: Expected wait above which a new flow is refused, seconds.
        cold_start_s: Time after a start in which the usable share of the
            slots grows to 1, seconds.
    """

    slots: int = 2
    connections: int = 2000
    max_wait_s: float = 2.0
    cold_start_s: float = 5.0


@dataclasses.dataclass(frozen=True)
class RetryAfterBounds:
    """Bounds of the retry delay that a shedding target reports.

    The minimum is slightly above the interval of load reports, so that a
    reported delay of zero does not cause immediate retries. The maximum keeps
    an excessive delay, such as an hour, from leaving a target idle whose
    reports have stopped.

    Attributes:
        min_s: Minimum delay, seconds.
        max_s: Maximum delay, seconds.
    """

    min_s: float = 0.6
    max_s: float = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Admission:
    """Decision of admission control about a new flow.

    Attributes:
        allowed: Whether the target can accept the flow.
        reason: ``free``, ``queued`` or the reason for the rejection, as
            written to the log.
    """

    allowed: bool
    reason: str


FREE = Admission(True, "free")
QUEUED = Admission(True, "queued")


class LoadEstimate:
    """Counts the active flows of a target and estimates the service time.

    The estimate is derived from the flows whose end the side process has
    observed, never from the target's own load reports: these can be delayed or
    wrong.

    Attributes:
        limits: Limits of the target.
        retry_after_bounds: Bounds of the retry delay that it reports.
        started: Time of its start, seconds.
        active_flows: Flows with a request in progress or queued.
        open_flows: Flows that the target holds, active or idle.
        service_s: Estimated service time of a request, without the wait for
            a slot, seconds.
    """

    def __init__(
        self,
        limits: Limits,
        started: float,
        retry_after_bounds: RetryAfterBounds = RetryAfterBounds(),
    ):
        """Creates the estimate of a target without flows.

        Args:
            limits: Limits of the target.
            started: Time of its start, seconds.
            retry_after_bounds: Bounds of the retry delay that it reports.
        """
        self.limits = limits
        self.retry_after_bounds = retry_after_bounds
        self.started = started
        self.active_flows = 0
        self.open_flows = 0
        self.service_s = _INITIAL_SERVICE_TIME_S
        self._shedding_until = 0.0
        self._mute_until = 0.0
        self._unanswered_in_succession = 0
        self._sample_count = 0

    def capacity_share(self, now: float) -> float:
        """Returns the share of its slots that the target may use now.

        It grows linearly to 1 in the time ``limits.cold_start_s``.
        """
        if self.limits.cold_start_s <= 0:
            return 1.0
        age = (now - self.started) / self.limits.cold_start_s
        return min(
            1.0,
            _INITIAL_CAPACITY_SHARE
            + (1.0 - _INITIAL_CAPACITY_SHARE) * max(0.0, age),
        )

    def usable_slots(self, now: float) -> int:
        """Returns the number of slots that may be used now, at least one."""
        return max(1, math.floor(self.limits.slots * self.capacity_share(now)))

    def free_slots(self, now: float) -> int:
        """Returns the number of free slots; 0 if no new flow is admitted."""
        if not self.check_admission(now, last_resort=False).allowed:
            return 0
        return self.usable_slots(now) - self.active_flows

    def expected_wait_s(self, now: float) -> float:
        """Returns the expected wait of a new flow for a slot, seconds."""
        slots = self.usable_slots(now)
        queue_length = max(0, self.active_flows + 1 - slots)
        return queue_length * self.service_s / slots

    def completion_ms(self, now: float) -> int:
        """Returns the expected completion time of a new flow, milliseconds.

        It is the wait plus the service time, increased during a cold start.
        """
        seconds = (
            self.expected_wait_s(now) + self.service_s
        ) / self.capacity_share(now)
        return min(NOT_ACCEPTING_MS - 1, int(seconds * 1000))

    def check_admission(self, now: float, last_resort: bool) -> Admission:
        """Decides whether the target can accept a new flow.

        The state does not change.

        Args:
            now: Present time, seconds.
            last_resort: Whether no other target is left to ask, so that a
                wait for a slot within ``limits.max_wait_s`` is acceptable.
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
        """Adds a new, active flow.

        Returns:
            Number of active flows before it.
        """
        active_before = self.active_flows
        self.active_flows += 1
        self.open_flows += 1
        return active_before

    def add_request(self) -> int:
        """Adds a request in a flow that is already open.

        Returns:
            Number of active flows before it.
        """
        active_before = self.active_flows
        self.active_flows += 1
        return active_before

    def apply_load_report(
        self, shedding: bool, retry_after_s: float, now: float
    ) -> None:
        """Applies the target's own load report, within bounds.

        A shedding target gets no new flows for the delay that it reports,
        limited by ``retry_after_bounds``: at least until the next report, and
        at most a few seconds, since too long a delay would leave it idle.

        Args:
            shedding: Whether the target rejects new work.
            retry_after_s: Delay until it accepts work again, seconds.
            now: Present time, seconds.
        """
        if not shedding:
            self._shedding_until = now
            return
        delay_s = min(
            self.retry_after_bounds.max_s,
            max(self.retry_after_bounds.min_s, retry_after_s),
        )
        self._shedding_until = now + delay_s

    def record_answered(self) -> None:
        """Records that a caller continued after its first packet.

        The target has thus answered; the count of unanswered ones restarts.
        """
        self._unanswered_in_succession = 0

    def record_unanswered(self, now: float) -> None:
        """Records a first packet that the target has not answered.

        After several in succession the target gets no new flows for a short
        time.

        Args:
            now: Present time, seconds.
        """
        self._unanswered_in_succession += 1
        if self._unanswered_in_succession >= _MAX_UNANSWERED:
            self._unanswered_in_succession = 0
            self._mute_until = now + _MUTE_PAUSE_S

    def complete_request(self, duration_s: float, active_before: int) -> None:
        """Ends an active flow and updates the estimated service time.

        The duration includes the wait for a slot. It is divided by the number
        of rounds that the flow needed if it had to wait for earlier ones.

        Args:
            duration_s: Time from acceptance to the end, seconds.
            active_before: Number of active flows when it was accepted.
        """
        self.discard_request()
        slots = self.limits.slots
        rounds = 1.0 + max(0, active_before + 1 - slots) / slots
        sample_s = max(_MIN_SERVICE_TIME_S, duration_s / rounds)
        self._sample_count += 1
        weight = max(_SMOOTHING_FACTOR, 1 / self._sample_count)
        self.service_s += weight * (sample_s - self.service_s)

    @property
    def has_samples(self) -> bool:
        """Whether the estimated service time is based on a completed flow."""
        return self._sample_count > 0

    def reset_service_time(self, service_s: float) -> None:
        """Discards the samples, for a target that has been replaced.

        Args:
            service_s: Estimate until the first flow has ended, seconds.
        """
        self.service_s = service_s
        self._sample_count = 0

    def discard_request(self) -> None:
        """Ends an active flow without a sample of the service time."""
        assert self.active_flows > 0, "ended more work than was added"
        self.active_flows -= 1

    def remove_flow(self) -> None:
        """Removes a flow that the target no longer holds.

        Its work, if any, is ended separately.
        """
        assert self.open_flows > 0, "removed more flows than were added"
        self.open_flows -= 1
