"""What a target says of itself, and which of its words is the last."""

import dataclasses
import enum

from clementinelead.charts import charts

__all__ = ["Departure", "Heartbeat", "TargetLifecycle", "UpdateResult"]


@dataclasses.dataclass(frozen=True, slots=True)
class Heartbeat:
    """A heartbeat of a target.

    Attributes:
        id: Identifier of the target.
        started_ms: Start of this incarnation, milliseconds since 1970.
        sequence: Rises with each heartbeat of an incarnation.
        service: Name of the service it serves.
        slots: Requests that it works on at once.
        draining: Whether it is about to stop.
        warmup_s: Time that it stays slow after its start, seconds.
    """

    id: str
    started_ms: int
    sequence: int
    service: str
    slots: int
    draining: bool
    warmup_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class Departure:
    """The last word of a target.

    Attributes:
        id: Identifier of the target.
        started_ms: Start of the incarnation, if it says so.
    """

    id: str
    started_ms: int | None


class UpdateResult(enum.Enum):
    """What became of a heartbeat."""

    NEW_INCARNATION = "started"  # first of an incarnation
    CHANGED = "changed"  # the state is another one
    UNCHANGED = "same"
    STALE = "stale"  # late: a newer one of the target is known
    OTHER_SERVICE = "foreign"  # of another service than this machine's


class TargetLifecycle:
    """State of the target beside a side process, moved by a chart.

    Attributes:
        state: State of the chart ``target``.
        current: Last heartbeat taken, None before the first.
    """

    state: str

    def __init__(self, service: str):
        """Starts without a target.

        Args:
            service: Name of the service that the target is to serve.
        """
        self.service = service
        self.last_heartbeat: Heartbeat | None = None
        self._machine = charts.machine("target", self)

    @property
    def accepting(self) -> bool:
        """Whether the target is known to take new flows."""
        return self.last_heartbeat is not None and self.state == "ready"

    def on_heartbeat(self, announcement: Heartbeat) -> UpdateResult:
        """Takes over a heartbeat unless a newer one is known.

        Incarnations are ordered by their start: a heartbeat that a partition
        has delayed may arrive after its sender has been replaced.
        """
        if announcement.service != self.service:
            return UpdateResult.OTHER_SERVICE
        known = self.last_heartbeat
        if known is None or announcement.started_ms > known.started_ms:
            self.last_heartbeat = announcement
            self._restart(announcement.draining)
            return UpdateResult.NEW_INCARNATION
        if (announcement.id, announcement.started_ms) != (
            known.id,
            known.started_ms,
        ):
            return UpdateResult.STALE
        if announcement.sequence <= known.sequence:
            return UpdateResult.STALE
        self.last_heartbeat = announcement
        return self._move(announcement.draining)

    def on_departure(self, departure: Departure) -> UpdateResult:
        """Takes over that the target has ended."""
        known = self.last_heartbeat
        if known is None or departure.id != known.id:
            return UpdateResult.STALE
        if (
            departure.started_ms is not None
            and departure.started_ms < known.started_ms
        ):
            return UpdateResult.STALE
        if self.state in ("leaving", "dead"):
            return UpdateResult.UNCHANGED
        self.stop()  # type: ignore[attr-defined]
        return UpdateResult.CHANGED

    def _restart(self, draining: bool) -> None:
        self._machine.set_state(str(self._machine.initial))
        self._move(draining)

    def _move(self, draining: bool) -> UpdateResult:
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
