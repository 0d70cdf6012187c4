"""Cache of the loads that targets have reported, reused for a short time.

At a high rate of new flows, consecutive flows would query the same targets for
the same loads. A backlogged balancer would spend most of its processor time on
such queries while targets idle. It reuses older loads instead, and a target
that is overloaded by then defers or refuses the flow.
"""

__all__ = ["RecentLoads"]

REUSE_S = 0.02
"""Time for which a reported load is reused, seconds."""

BACKLOGGED_REUSE_S = 0.25
"""The same while the balancer has a backlog of packets, seconds."""

EXPIRY_INTERVAL_S = 1.0
"""Interval in which loads that are too old are dropped, seconds."""

LOAD_GROWTH_PER_PLACEMENT = 0.25
"""Share by which a cached load grows with each flow placed on the target."""


class RecentLoads:
    """Loads that targets have reported within the last moments.

    Attributes:
        backlogged: Whether the balancer has a backlog of packets.
    """

    def __init__(self) -> None:
        self.backlogged = False
        self._report_by_address: dict[tuple[str, int], tuple[float, float]] = {}
        self._next_expiry = float("-inf")

    def record(
        self, address: tuple[str, int], load_ms: int, now: float
    ) -> None:
        """Caches the load of a target that accepts flows.

        Args:
            address: Address of the target's side process.
            load_ms: Its load, milliseconds.
            now: Present time, seconds.
        """
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_INTERVAL_S
            self._expire(now)
        self._report_by_address[address] = (now, float(load_ms))

    def _expire(self, now: float) -> None:
        """Drops the loads that are not used again."""
        self._report_by_address = {
            address: report
            for address, report in self._report_by_address.items()
            if now - report[0] <= BACKLOGGED_REUSE_S
        }

    def add_placement(self, address: tuple[str, int]) -> None:
        """Raises the cached load of a target by the flow placed on it."""
        report = self._report_by_address.get(address)
        if report is not None:
            reported_at, load_ms = report
            self._report_by_address[address] = (
                reported_at,
                (load_ms + 1) * (1 + LOAD_GROWTH_PER_PLACEMENT),
            )

    def discard(self, address: tuple[str, int]) -> None:
        """Drops the load of a target that is busy, refuses flows or is gone."""
        self._report_by_address.pop(address, None)

    def load_ms(self, address: tuple[str, int], now: float) -> int | None:
        """Returns a target's load, milliseconds; None if it must be queried.

        Without a recent load, a backlogged balancer assumes 0.

        Args:
            address: Address of the target's side process.
            now: Present time, seconds.
        """
        report = self._report_by_address.get(address)
        max_age_s = BACKLOGGED_REUSE_S if self.backlogged else REUSE_S
        if report is not None and now - report[0] <= max_age_s:
            return int(report[1])
        return 0 if self.backlogged else None
