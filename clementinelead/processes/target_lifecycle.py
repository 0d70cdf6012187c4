"""The life of a target as its side process and the operators see it."""

from clementinelead.charts import charts
from clementinelead.memberships import records

__all__ = ["STATE_BY_NAME", "TargetLifecycle"]

STATE_BY_NAME = {
    "cold": records.State.COLD,
    "ready": records.State.READY,
    "draining": records.State.DRAINING,
    "leaving": records.State.LEAVING,
}
"""What a membership record says of the states of the chart ``target``."""

_ACCEPTING = ("cold", "ready")


class TargetLifecycle:
    """Moves a target through the chart ``target``.

    Attributes:
        state: State of the chart.
    """

    state: str

    def __init__(self, cold_start_s: float):
        """Starts cold.

        Args:
            cold_start_s: Time that a target stays slow after its start,
                seconds.
        """
        charts.machine("target", self)
        self._cold_start_s = cold_start_s
        self._cold_since: float | None = None
        self._drain_began: float | None = None

    def start_accepting(self, now: float) -> None:
        """Notes that the target takes flows from now on.

        Args:
            now: Present time, seconds.
        """
        self._cold_since = now

    def update(
        self, drain_bound_s: float | None, empty: bool, now: float
    ) -> bool:
        """Follows the operators' drains and the passing of time.

        Args:
            drain_bound_s: Time that the target may keep its flows, seconds;
                None if it is not to drain.
            empty: Whether it has no flow left.
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
        if self.state in _ACCEPTING:
            self._drain_began = now
            self.drain()  # type: ignore[attr-defined]
        elif self.state == "draining":
            assert self._drain_began is not None, "draining has a beginning"
            if empty:
                self.emptied()  # type: ignore[attr-defined]
            elif now - self._drain_began >= bound_s:
                self.bound_reached()  # type: ignore[attr-defined]
