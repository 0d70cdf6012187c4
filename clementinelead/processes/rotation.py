"""Whether an overloaded balancer leaves the fabric's rotation, and its log."""

import loguru

from clementinelead.memberships import capacities
from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.processes import relay_node
from clementinelead.relays import overload

__all__ = ["Rotation"]

LEAVE_CHECK_INTERVAL_S = 1.0
"""Interval of the check whether this process may leave the rotation, seconds.

The records of ended processes expire without a change of the member table.
"""


class Rotation:
    """Tells the overload detector whether this balancer may leave."""

    def __init__(self, node: relay_node.RelayNode, detector: overload.Overload):
        """Starts in the rotation.

        Args:
            node: Membership of the balancer.
            detector: Detects that the balancer is overloaded.
        """
        self._node = node
        self._detector = detector
        self._was_overloaded = False
        self._next_check = float("-inf")

    def on_tick(self, now: float) -> None:
        """Updates at intervals whether this process may leave.

        Args:
            now: Present time, seconds.
        """
        if now >= self._next_check:
            self._next_check = now + LEAVE_CHECK_INTERVAL_S
            self._update()

    def on_members(self, changes: list[members.Change]) -> None:
        """Updates whether this process may leave, if balancers have changed.

        Args:
            changes: Changes of membership records of any role.
        """
        if any(change.new.role is records.Role.BALANCER for change in changes):
            self._update()

    def _update(self) -> None:
        gossiper = self._node.gossiper
        self._detector.may_leave = capacities.may_leave_rotation(
            gossiper.own, gossiper.table.by_id.values()
        )

    def log_changes(self, now: float) -> None:
        """Logs when this process leaves the rotation, and when it returns.

        Args:
            now: Present time, seconds.
        """
        overloaded = self._detector.is_overloaded(now)
        if overloaded is self._was_overloaded:
            return
        self._was_overloaded = overloaded
        loguru.logger.bind(
            lossy_share=round(self._detector.lossy_share, 2),
            times=self._detector.leave_count,
        ).info("overloaded" if overloaded else "no longer overloaded")
