"""What a target says of itself, and which of its words is the last."""

import dataclasses
import enum

from clementinelead.charts import charts

__all__ = ["Announcement", "Departure", "TargetLifecycle", "Verdict"]


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """A heartbeat of a target.

    Attributes:
        id: Identifier of the target.
        born: Start of this incarnation, milliseconds since 1970.
        sequence: Rises with each heartbeat of an incarnation.
        service: Name of the service it serves.
        slots: Requests that it works on at once.
        draining: Whether it is about to stop.
        warmup_s: Time that it stays slow after its start, seconds.
    """

    id: str
    born: int
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
        born: Start of the incarnation, if it says so.
    """

    id: str
    born: int | None


class Verdict(enum.Enum):
    """What became of a heartbeat."""

    STARTED = "started"  # first of an incarnation
    CHANGED = "changed"  # the state is another one
    SAME = "same"
    STALE = "stale"  # late: a newer one of the target is known
    FOREIGN = "foreign"  # of another service than this machine's


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
        self.current: Announcement | None = None
        self._machine = charts.machine("target", self)

    @property
    def accepting(self) -> bool:
        """Whether the target is known to take new flows."""
        return self.current is not None and self.state == "ready"

    def heartbeat(self, announcement: Announcement) -> Verdict:
        """Takes over a heartbeat unless a newer one is known.

        Incarnations are ordered by their start: a heartbeat that a partition
        has delayed may arrive after its sender has been replaced.
        """
        if announcement.service != self.service:
            return Verdict.FOREIGN
        known = self.current
        if known is None or announcement.born > known.born:
            self.current = announcement
            self._restart(announcement.draining)
            return Verdict.STARTED
        if (announcement.id, announcement.born) != (known.id, known.born):
            return Verdict.STALE
        if announcement.sequence <= known.sequence:
            return Verdict.STALE
        self.current = announcement
        return self._move(announcement.draining)

    def depart(self, departure: Departure) -> Verdict:
        """Takes over that the target has ended."""
        known = self.current
        if known is None or departure.id != known.id:
            return Verdict.STALE
        if departure.born is not None and departure.born < known.born:
            return Verdict.STALE
        if self.state in ("leaving", "dead"):
            return Verdict.SAME
        self.stop()  # type: ignore[attr-defined]
        return Verdict.CHANGED

    def _restart(self, draining: bool) -> None:
        self._machine.set_state(str(self._machine.initial))
        self._move(draining)

    def _move(self, draining: bool) -> Verdict:
        before = self.state
        if before == "cold":
            self.warmed()  # type: ignore[attr-defined]
        if draining and self.state == "ready":
            self.drain()  # type: ignore[attr-defined]
        elif not draining and self.state == "draining":
            self.undrain()  # type: ignore[attr-defined]
        return Verdict.SAME if self.state == before else Verdict.CHANGED
