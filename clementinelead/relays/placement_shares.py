"""The share of the placements that lower priorities get under any load.

The load pattern is new flows of the highest priority that take all slots.
Balancers and side processes count placements by themselves.
"""

import msgspec

from clementinelead.relays import routes
from clementinelead.relays import workload

__all__ = [
    "CLAIM_S",
    "HIGHEST_PER_LOWER",
    "LOWER_PRIORITY_SHARE",
    "MIN_EVIDENCE_SHARE",
    "PlacementShare",
    "ReservedRoom",
]

HIGHEST_PER_LOWER = 7
"""Placements of the highest priority after which a lower one is due.

Lower priorities together so get an eighth of the placements if they ask for it.
"""

MAX_DUE = 4
"""Most placements that lower priorities are due at a time.

It bounds the burst of a lower priority that has not asked for long.
"""

CLAIM_S = 0.1
"""Time for which a target keeps room for a due flow that found it busy, seconds.

Such a flow queries again after 30 ms. The target has more work queued than
this time, so no slot idles if the flow does not come back.
"""

MIN_EVIDENCE_SHARE = 0.5
"""Share of its objective that a flow must have left to find targets busy.

A target is sooner busy for a flow with less time, so a flow that has waited
says nothing about new ones.
"""

LOWER_PRIORITY_SHARE = 0.6
"""Share of the objective that flows below the highest priority may need.

Flows of the highest priority may need ``workload.MAX_OBJECTIVE_SHARE``.
Measured in ``docs/design/admission.md``.
"""


class PlacementShare(msgspec.Struct):
    """Counts the placements of which lower priorities are due a share.

    Attributes:
        credit: Placements of the highest priority that are not yet matched by
            one of a lower priority.
    """

    credit: int = 0

    @property
    def due(self) -> int:
        """Number of placements that lower priorities are due."""
        return self.credit // HIGHEST_PER_LOWER

    def record_placed(self, highest: bool) -> None:
        """Records a placement.

        Args:
            highest: Whether it is one of the highest priority.
        """
        if highest:
            limit = HIGHEST_PER_LOWER * MAX_DUE
            self.credit = min(limit, self.credit + 1)
        else:
            self.credit = max(0, self.credit - HIGHEST_PER_LOWER)


class ReservedRoom:
    """Room at a target that is kept for flows of some priorities.

    It is kept for the highest priority, and for a lower one that is due.
    """

    def __init__(self) -> None:
        self._priorities: tuple[int, ...] = ()
        self._share = PlacementShare()
        self._claimed_at = float("-inf")

    def set_priorities(self, priorities: tuple[int, ...]) -> None:
        """Applies the priorities of the routes to the target's service.

        Args:
            priorities: The priorities, ascending.
        """
        self._priorities = priorities

    def objective_share(self, route: routes.Route | None, now: float) -> float:
        """Returns the share of its objective that a new flow may need.

        With a share of 0, a flow gets a free slot only.

        Args:
            route: Route of the flow, None if it is not known.
            now: Present time, seconds.
        """
        if route is None or len(self._priorities) < 2:
            return workload.MAX_OBJECTIVE_SHARE
        due = self._share.due > 0
        if route.priority > self._priorities[0]:
            return workload.MAX_OBJECTIVE_SHARE if due else LOWER_PRIORITY_SHARE
        if due and now - self._claimed_at <= CLAIM_S:
            return 0.0
        return workload.MAX_OBJECTIVE_SHARE

    def record_busy(
        self, route: routes.Route | None, objective_ms: int, now: float
    ) -> None:
        """Records that a flow finds the target busy.

        Args:
            route: Route of the flow, None if it is not known.
            objective_ms: What is left of its objective, milliseconds.
            now: Present time, seconds.
        """
        if route is None or not self._is_lower(route):
            return
        if objective_ms >= MIN_EVIDENCE_SHARE * route.objective_ms:
            self._claimed_at = now

    def record_placed(self, route: routes.Route | None) -> None:
        """Records that the target gets a new flow.

        Args:
            route: Route of the flow, None if it is not known.
        """
        if route is not None and len(self._priorities) >= 2:
            lower = self._is_lower(route)
            self._share.record_placed(not lower)
            if lower:
                self._claimed_at = float("-inf")

    def _is_lower(self, route: routes.Route) -> bool:
        return (
            len(self._priorities) >= 2 and route.priority > self._priorities[0]
        )
