"""State machine of a target: warm-up after the start and operators' drains."""

from clementinelead.charts import charts
from clementinelead.memberships import records

__all__ = ["STATE_BY_NAME", "TargetLifecycle"]

STATE_BY_NAME = {
    "cold": records.State.COLD,
    "ready": records.State.READY,
    "draining": records.State.DRAINING,
    "leaving": records.State.LEAVING,
}
"""State in the membership record, by state of the chart ``target``."""

_ACCEPTING_STATES = ("cold", "ready")


class TargetLifecycle:
    """Runs the chart ``target`` for one target.

    Attributes:
        state: State of the chart, set by the state machine.
    """

    state: str

    def __init__(self, cold_start_s: float):
        """Starts in the state ``cold``.

        Args:
            cold_start_s: Time in which a target is slow after its start,
                seconds.
        """
        charts.machine("target", self)
        self._cold_start_s = cold_start_s
        self._cold_since: float | None = None
        self._drain_started_at: float | None = None

    def start_accepting(self, now: float) -> None:
        """Starts the warm-up: the target accepts flows from now on.

        Args:
            now: Present time, seconds.
        """
        self._cold_since = now

    def update(
        self, drain_bound_s: float | None, empty: bool, now: float
    ) -> bool:
        """Triggers the transition that is due, at most one per call.

        Args:
            drain_bound_s: Longest duration of the drain, seconds; None if the
                target is not to drain.
            empty: Whether the target has no flow left.
            now: Present time, seconds.

        Returns:
            Whether the state has changed.
        """
        before = self.state
        if drain_bound_s is None:
            self._serve(now)
        else:
            self._drain(drain_bound_s, empty, now)
        return self.state != before

    def _serve(self, now: float) -> None:
        if self.state == "leaving":
            self._cold_since = now
        if self.state in ("draining", "leaving"):
            self.undrain()  # type: ignore[attr-defined]
        elif self.state == "cold" and self._cold_since is not None:
            if now - self._cold_since >= self._cold_start_s:
                self.warmed()  # type: ignore[attr-defined]

    def _drain(self, bound_s: float, empty: bool, now: float) -> None:
        if self.state in _ACCEPTING_STATES:
            self._drain_started_at = now
            self.drain()  # type: ignore[attr-defined]
        elif self.state == "draining":
            assert self._drain_started_at is not None, "set with the drain"
            if empty:
                self.emptied()  # type: ignore[attr-defined]
            elif now - self._drain_started_at >= bound_s:
                self.bound_reached()  # type: ignore[attr-defined]
