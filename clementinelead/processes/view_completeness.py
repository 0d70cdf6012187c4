"""From when on a balancer may reset flows that no side process holds."""

from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.processes import contact_keys
from clementinelead.processes import relay_node
from clementinelead.relays import completeness
from clementinelead.relays import steering

__all__ = ["ViewCompleteness"]

SAME_START_TOLERANCE_MS = 10_000
"""Tolerance for side processes that started together with this one.

Milliseconds between incarnations, whose clocks may differ by seconds.
"""


class ViewCompleteness:
    """Updates the completeness of a balancer's directory from its members.

    Attributes:
        side_count: Number of side processes before the start, and whether the
            member table has been complete since.
    """

    def __init__(
        self, node: relay_node.RelayNode, decisions: steering.Steering
    ):
        """Starts before the join.

        Args:
            node: Membership of the balancer.
            decisions: Receives the times from which lost flows are reset.
        """
        self.side_count = contact_keys.SideCount()
        self._node = node
        self._decisions = decisions
        self._completeness = completeness.Completeness()
        self._is_joined = False
        self._started_ms = node.gossiper.own.incarnation

    def on_tick(self, now: float) -> None:
        """Records the join, and compares the member table with the count.

        Args:
            now: Present time, seconds.
        """
        if self._node.joining.joined and not self._is_joined:
            self._is_joined = True
            self._completeness.on_joined(now)
            missing = self._node.count_side_processes(now).missing
            if missing or self._node.gossiper.tombstones.lost_side_ids:
                self._completeness.on_died(now)
        count = self.side_count
        count.is_complete = self._completeness.was_complete(now)
        if not count.is_complete:
            sides = self._node.count_side_processes(now)
            self._completeness.update_from_count(
                sides.serving,
                sides.missing,
                count.recorded,
                now,
                self._all_restarted_together(),
                self._any_lost_before_join(),
            )
        self._apply()

    def on_change(self, change: members.Change, now: float) -> None:
        """Delays resets while flows may be held by unreachable processes.

        Args:
            change: Change of the record of a side process.
            now: Present time, seconds.
        """
        record = change.new
        if not self._is_joined or record.state is records.State.LEAVING:
            return  # a leaving target has ended, and with it the flows
        if record.health is records.Health.DEAD:
            # A side process that died while cold had no target, or has been
            # unresponsive for longer than callers wait.
            if record.state is not records.State.COLD:
                self._completeness.on_died(now)
        elif change.old is None:
            self._completeness.on_appeared(now)
        self._apply()

    def _all_restarted_together(self) -> bool:
        """Returns whether all side processes have started with this one.

        The incarnation differs from the start if a predecessor has a higher
        one: the clock has been set back, and proves nothing.
        """
        if self._node.gossiper.own.incarnation != self._started_ms:
            return False
        return all(
            abs(record.incarnation - self._started_ms)
            <= SAME_START_TOLERANCE_MS
            for record in self._node.gossiper.table.living()
            if record.role is records.Role.SIDE
        )

    def _any_lost_before_join(self) -> bool:
        """Returns whether a side process died before the join and is absent."""
        lost = self._node.gossiper.tombstones.lost_side_ids
        return not lost <= self._node.gossiper.table.by_id.keys()

    def _apply(self) -> None:
        view = self._completeness
        self._decisions.set_complete_from(view.complete_from, view.some_missing)
        self._decisions.set_denials_conclusive_from(
            view.denials_conclusive_from
        )
