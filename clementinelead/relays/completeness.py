"""From when on a flow that no known side process has is surely nowhere."""

from clementinelead.memberships import members

__all__ = ["SETTLE_TIME_S", "Completeness"]

SETTLE_TIME_S = 5.0
"""Time in which all side processes are known, counted from the join.

It begins anew when one appears that was not known: then more may follow.
Processes that start together know each other within one or two seconds.
"""


QUIET_PERIOD_S = 1.0
"""Time without a new side process after which a few of them are given up.

Processes that start together appear within some hundred milliseconds.
"""

MAX_MISSING_SHARE = 0.05
"""Share of the side processes of before that may be missing for good.

Some leave, or are lost with their machine, without a word to the store.
"""

MAX_LOST_SHARE = 0.2
"""The same after a loss of all processes, for flows that all others deny.

After a loss of power nobody has flows of before; some machines never come back.
"""

MIN_COUNT_FOR_ONE_MISSING = 10
"""Side processes from which on one may be missing whatever its share is."""


class Completeness:
    """Tells whether a balancer that has started knows all side processes.

    Time is one sign of it. The other is a count of the side processes that
    there were before, kept where the loss of all processes does not reach it:
    once that many are known to serve, none is missing. Without it the
    balancers would leave the callers of flows that died with their targets
    waiting for seconds after such a loss.

    Attributes:
        since: From when on all are known, seconds; infinite before the join.
        denials_conclusive_from: From when on a flow is surely nowhere if all
            known ones, all just started, know that they don't have it.
    """

    def __init__(self) -> None:
        self.complete_from = float("inf")
        self.denials_conclusive_from = float("inf")
        self._appeared_at = float("-inf")
        self._reached = False

    def on_joined(self, now: float) -> None:
        """Notes that the members are known as a peer knows them."""
        self.complete_from = now + SETTLE_TIME_S
        self._appeared_at = now

    def on_appeared(self, now: float) -> None:
        """Notes that a side process has appeared that was not known."""
        self.complete_from = max(self.complete_from, now + SETTLE_TIME_S)
        self.denials_conclusive_from = float("inf")
        self._appeared_at = now

    def on_died(self, now: float) -> None:
        """Notes that a side process was declared dead; it may come back."""
        self.denials_conclusive_from = float("inf")
        self.complete_from = max(self.complete_from, now + members.RETURN_S)

    def was_complete(self, now: float) -> bool:
        """Tells whether all have been known once since the start."""
        self._reached = self._reached or now >= self.complete_from
        return self._reached

    def update_from_count(
        self,
        serving: int,
        missing: int,
        before: int,
        now: float,
        all_restarted: bool = False,
    ) -> None:
        """Compares the side processes with how many there were before.

        It tells something only until all are known for the first time, and
        nothing if there are more than before: then the count is too old.

        Args:
            serving: Side processes that are known to serve.
            missing: Known ones that died and may come back.
            before: How many there were, 0 if that is not known.
            now: Present time, seconds.
            all_restarted: Whether all that serve have started with this process.
        """
        if self.was_complete(now) or self.complete_from == float("inf"):
            return
        if missing or serving > before or not before:
            return
        calm = now - self._appeared_at >= QUIET_PERIOD_S
        spared = before * MAX_MISSING_SHARE
        if before >= MIN_COUNT_FOR_ONE_MISSING:
            spared = max(1.0, spared)
        enough = serving >= before - spared
        if serving == before or (calm and enough):
            self.complete_from = now
        elif (
            calm
            and all_restarted
            and serving >= before * (1.0 - MAX_LOST_SHARE)
        ):
            self.denials_conclusive_from = min(
                self.denials_conclusive_from, now
            )
