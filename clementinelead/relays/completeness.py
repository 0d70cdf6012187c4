"""Time from which a flow without an owner among the known members is lost."""

from clementinelead.memberships import members

__all__ = ["SETTLE_TIME_S", "Completeness"]

SETTLE_TIME_S = 5.0
"""Time from the join after which no side process is missing, seconds.

It is counted again from each appearance of a new side process, as more may
follow. Processes that start together discover each other within one or two
seconds.
"""

QUIET_PERIOD_S = 1.0
"""Time without a new side process after which a few may stay missing, seconds.

Processes that start together appear within some hundred milliseconds.
"""

LOSS_QUIET_PERIOD_S = 0.5
"""The same for unanimous denials after a restart of all processes, seconds.

A side process denies a flow with certainty only if its target has just started
too, so unanimous denials show a loss of the hosts. What starts later has lost
its flows as well, and callers of lost flows need not wait for it. The time is
that of two initial syncs, which show processes that have kept running.
"""

MAX_MISSING_SHARE = 0.05
"""Share of the earlier side processes that may be missing for good.

Some leave, or fail with their host, without being removed from the store.
"""

MAX_LOST_SHARE = 0.2
"""The same after a restart of all processes, for unanimous denials of a flow.

After a power failure no process holds earlier flows; some hosts stay down.
"""

MIN_COUNT_FOR_ONE_MISSING = 10
"""Fewest earlier side processes of which one may be missing at any share."""


class Completeness:
    """Determines from when on a balancer's directory of members is complete.

    One sign is the time since the join. The other is the earlier count of side
    processes, kept in a store that survives a restart of all processes: once
    that many serve, none is missing. Without the count, callers of flows that
    died with their targets would wait for seconds after such a restart.

    Attributes:
        complete_from: Time from which no side process is missing, seconds;
            infinite before the join.
        denials_conclusive_from: Time from which a flow is lost if all known
            side processes, all of them just started, reply with certainty that
            they don't hold it, seconds; infinite while undetermined.
        some_missing: Whether a few side processes of before were not in
            service when the directory was taken for complete.
    """

    def __init__(self) -> None:
        self.complete_from = float("inf")
        self.denials_conclusive_from = float("inf")
        self.some_missing = False
        self._appeared_at = float("-inf")
        self._was_complete = False

    def on_joined(self, now: float) -> None:
        """Records the join: the member list was received from a peer."""
        self.complete_from = now + SETTLE_TIME_S
        self._appeared_at = now

    def on_appeared(self, now: float) -> None:
        """Records the appearance of a new side process."""
        self.complete_from = max(self.complete_from, now + SETTLE_TIME_S)
        self.denials_conclusive_from = float("inf")
        self._appeared_at = now

    def on_died(self, now: float) -> None:
        """Records that a side process was declared dead; it may return."""
        self.denials_conclusive_from = float("inf")
        self.complete_from = max(
            self.complete_from, now + members.RETURN_WINDOW_S
        )

    def was_complete(self, now: float) -> bool:
        """Returns whether the member list was complete once since the start."""
        self._was_complete = self._was_complete or now >= self.complete_from
        return self._was_complete

    def update_from_count(
        self,
        serving: int,
        missing: int,
        expected: int,
        now: float,
        all_restarted: bool = False,
        lost_before_join: bool = False,
    ) -> None:
        """Compares the number of side processes with the earlier count.

        Does nothing once the member list was complete, or while the count
        proves nothing: it is unknown, a known process may return, or more
        processes serve than were counted, so the count is outdated.

        Args:
            serving: Number of side processes in service.
            missing: Number of known ones that died and may return.
            expected: Number of side processes before the start, 0 if unknown.
            now: Present time, seconds.
            all_restarted: Whether all side processes in service have started
                together with this process.
            lost_before_join: Whether peers have reported processes that died
                before the join and have not returned. The earlier count
                contains them as long as they may return, so none of it may
                be missing then.
        """
        if self.was_complete(now) or self.complete_from == float("inf"):
            return
        if missing or serving > expected or not expected:
            return
        quiet_s = 0.0 if lost_before_join else now - self._appeared_at
        max_missing = expected * MAX_MISSING_SHARE
        if expected >= MIN_COUNT_FOR_ONE_MISSING:
            max_missing = max(1.0, max_missing)
        enough = serving >= expected - max_missing
        if serving == expected or (quiet_s >= QUIET_PERIOD_S and enough):
            self.complete_from = now
            self.some_missing = serving < expected
        elif (
            quiet_s >= LOSS_QUIET_PERIOD_S
            and all_restarted
            and serving >= expected * (1.0 - MAX_LOST_SHARE)
        ):
            self.denials_conclusive_from = min(
                self.denials_conclusive_from, now
            )
