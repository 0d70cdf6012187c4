"""Heartbeats of a target, and its state from the latest of them."""

import dataclasses
import enum

from clementinelead.charts import charts

__all__ = ["Departure", "Heartbeat", "TargetLifecycle", "UpdateResult"]

DEFAULT_HEARTBEAT_S = 1.0

MAX_SILENT_INTERVALS = 2.0
"""Heartbeat intervals without a heartbeat for which a target counts as alive."""

REINSTATING_HEARTBEATS = 3
"""Consecutive rejected heartbeats of an incarnation that prove it runs."""

MIN_REINSTATING_S = 1.0
"""Shortest time from the first to the last of them, seconds.

Heartbeats that a partition has delayed arrive together.
"""


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat of a target.

    Attributes:
        id: Identifier of the target.
        started_ms: Start of this incarnation, milliseconds since 1970.
        sequence: Number that increases with each heartbeat of an incarnation.
        service: Name of the service that it serves.
        slots: Requests that it serves at once.
        draining: Whether it is about to stop.
        warmup_s: Remaining time for which it is slow after its start,
            seconds.
    """

    id: str
    started_ms: int
    sequence: int
    service: str
    slots: int
    draining: bool
    warmup_s: float

    def follows(self, earlier: "Heartbeat") -> bool:
        """Returns whether this is a later heartbeat of the same incarnation.

        Args:
            earlier: Another heartbeat.
        """
        return (
            self.id == earlier.id
            and self.started_ms == earlier.started_ms
            and self.sequence > earlier.sequence
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """A target's report that it has ended.

    Attributes:
        id: Identifier of the target.
        started_ms: Start of the incarnation, milliseconds since 1970; None if
            the report doesn't contain it.
    """

    id: str
    started_ms: int | None


class UpdateResult(enum.Enum):
    """How a report of the target was applied."""

    NEW_INCARNATION = "started"  # first heartbeat of an incarnation
    REINSTATED = "reinstated"  # its incarnation was rejected before, but runs
    CHANGED = "changed"  # the state of the target has changed
    UNCHANGED = "same"  # applied without a change of state
    STALE = "stale"  # delayed: a newer report was applied before
    OTHER_SERVICE = "foreign"  # for another service than the configured one


@dataclasses.dataclass(frozen=True, slots=True)
class _Rejections:
    """Consecutive rejected heartbeats of one incarnation.

    Attributes:
        latest: The latest of them.
        first_at: Time of the first one, seconds.
        count: Number of them.
    """

    latest: Heartbeat
    first_at: float
    count: int = 1

    def prove_life(self, now: float) -> bool:
        """Returns whether the incarnation must be running.

        Args:
            now: Present time, seconds.
        """
        return (
            self.count >= REINSTATING_HEARTBEATS
            and now - self.first_at >= MIN_REINSTATING_S
        )


class TargetLifecycle:
    """State machine of the target beside a side process.

    Attributes:
        state: State of the chart ``target``, set by the state machine.
        service: Name of the service that the target is to serve.
        last_heartbeat: Latest applied heartbeat, None before the first.
    """

    state: str

    def __init__(self, service: str, heartbeat_s: float = DEFAULT_HEARTBEAT_S):
        """Starts without a target.

        Args:
            service: Name of the service that the target is to serve.
            heartbeat_s: Interval of its heartbeats, seconds.
        """
        self.service = service
        self._heartbeat_s = heartbeat_s
        self._last_heartbeat_at = float("-inf")
        self.last_heartbeat: Heartbeat | None = None
        self._rejections: _Rejections | None = None
        self._state_machine = charts.machine("target", self)

    @property
    def accepting(self) -> bool:
        """Whether the target has reported that it accepts new flows."""
        return self.last_heartbeat is not None and self.state == "ready"

    def on_heartbeat(self, heartbeat: Heartbeat, now: float) -> UpdateResult:
        """Applies a heartbeat unless a newer one was applied before.

        Incarnations are ordered by their start: a heartbeat that a partition
        has delayed may arrive after its sender has been replaced. The order is
        wrong if the clock was set back between two starts, or if the heartbeat
        applied last was not of this target. An incarnation that goes on
        sending while the applied one is silent is therefore reinstated.
        A target that drains is not replaced while its heartbeats go on.

        Args:
            heartbeat: The heartbeat.
            now: Present time, seconds.

        Returns:
            Whether it was applied and what it changed.
        """
        if heartbeat.service != self.service:
            return UpdateResult.OTHER_SERVICE
        latest = self.last_heartbeat
        if latest is None:
            return self._replace(heartbeat, UpdateResult.NEW_INCARNATION, now)
        is_newer = heartbeat.started_ms > latest.started_ms
        if is_newer and not self._drains_still(now):
            return self._replace(heartbeat, UpdateResult.NEW_INCARNATION, now)
        if not heartbeat.follows(latest):
            return self._reject(heartbeat, now)
        self._record(heartbeat, now)
        return self._advance(heartbeat.draining)

    def _record(self, heartbeat: Heartbeat, now: float) -> None:
        self._rejections = None
        self.last_heartbeat = heartbeat
        self._last_heartbeat_at = now

    def _drains_still(self, now: float) -> bool:
        """Returns whether the target is draining and was heard lately.

        Its replacement can't run yet, as both would have the same address.
        """
        silent_s = now - self._last_heartbeat_at
        max_silent_s = MAX_SILENT_INTERVALS * self._heartbeat_s
        return self.state == "draining" and silent_s < max_silent_s

    def _replace(
        self, heartbeat: Heartbeat, result: UpdateResult, now: float
    ) -> UpdateResult:
        """Applies the first heartbeat of another incarnation."""
        self._record(heartbeat, now)
        self._enter_first_state(heartbeat.draining)
        return result

    def _reject(self, heartbeat: Heartbeat, now: float) -> UpdateResult:
        """Rejects a heartbeat, unless it proves that its incarnation runs."""
        rejections = self._rejections
        if rejections is not None and heartbeat.follows(rejections.latest):
            rejections = _Rejections(
                heartbeat, rejections.first_at, rejections.count + 1
            )
        else:
            rejections = _Rejections(heartbeat, now)
        if rejections.prove_life(now):
            return self._replace(heartbeat, UpdateResult.REINSTATED, now)
        self._rejections = rejections
        return UpdateResult.STALE

    def on_departure(self, departure: Departure) -> UpdateResult:
        """Applies the report that the target has ended.

        Args:
            departure: The report.

        Returns:
            Whether it was applied and what it changed.
        """
        latest = self.last_heartbeat
        if latest is None or departure.id != latest.id:
            return UpdateResult.STALE
        if (
            departure.started_ms is not None
            and departure.started_ms < latest.started_ms
        ):
            return UpdateResult.STALE
        if self.state in ("leaving", "dead"):
            return UpdateResult.UNCHANGED
        self.stop()  # type: ignore[attr-defined]
        return UpdateResult.CHANGED

    def _enter_first_state(self, draining: bool) -> None:
        """Resets the state machine for a new incarnation."""
        self._state_machine.set_state(str(self._state_machine.initial))
        self._advance(draining)

    def _advance(self, draining: bool) -> UpdateResult:
        """Triggers the transitions that a heartbeat requires."""
        before = self.state
        if before == "cold":
            self.warmed()  # type: ignore[attr-defined]
        if draining and self.state == "ready":
            self.drain()  # type: ignore[attr-defined]
        elif not draining and self.state == "draining":
            self.undrain()  # type: ignore[attr-defined]
        return (
            UpdateResult.UNCHANGED
            if self.state == before
            else UpdateResult.CHANGED
        )
