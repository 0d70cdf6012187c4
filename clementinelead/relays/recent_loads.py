"""Loads that targets have told lately, for flows that come soon after.

Load pattern: many new flows a second at one balancer. Each would ask four
targets what others have just asked them. A balancer that is behind with its
packets spends most of its processor on such questions while targets idle; it
goes by older loads, and the target itself turns down what it can't take.
"""

__all__ = ["RecentLoads"]

REUSE_S = 0.02
"""Time for which what a target has told is used again, seconds."""

BACKLOGGED_REUSE_S = 0.25
"""The same while the balancer is behind, seconds."""

LOAD_GROWTH_PER_PLACEMENT = 0.25
"""Share by which a load counts as grown with each flow placed on it."""


class RecentLoads:
    """What targets have answered within the last moments.

    Attributes:
        behind: Whether the balancer has more to do than it can.
    """

    def __init__(self) -> None:
        self.backlogged = False
        self._told_by_address: dict[tuple[str, int], tuple[float, float]] = {}

    def record(
        self, address: tuple[str, int], load_ms: int, now: float
    ) -> None:
        """Takes over an answer of a target that accepts."""
        self._told_by_address[address] = (now, float(load_ms))

    def add_placement(self, address: tuple[str, int]) -> None:
        """Counts a flow that has been sent to a target."""
        told = self._told_by_address.get(address)
        if told is not None:
            moment, load_ms = told
            self._told_by_address[address] = (
                moment,
                (load_ms + 1) * (1 + LOAD_GROWTH_PER_PLACEMENT),
            )

    def discard(self, address: tuple[str, int]) -> None:
        """Forgets a target that is busy, does not accept or is gone."""
        self._told_by_address.pop(address, None)

    def load_ms(self, address: tuple[str, int], now: float) -> int | None:
        """Returns a target's load, None if it is to be asked.

        A balancer that is behind tries targets that it knows nothing of.
        """
        told = self._told_by_address.get(address)
        limit_s = BACKLOGGED_REUSE_S if self.backlogged else REUSE_S
        if told is not None and now - told[0] <= limit_s:
            return int(told[1])
        return 0 if self.backlogged else None
