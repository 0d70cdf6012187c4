"""From when on a flow that no known side process has is surely nowhere."""

from clementinelead.memberships import members

__all__ = ["VIEW_S", "Completeness"]

VIEW_S = 5.0
"""Time in which all side processes are known, counted from the join.

It begins anew when one appears that was not known: then more may follow.
Processes that start together know each other within one or two seconds.
"""


CALM_S = 1.0
"""Time without a new side process after which a few of them are given up.

Processes that start together appear within some hundred milliseconds.
"""

GIVEN_UP_SHARE = 0.05
"""Share of the side processes of before that may be missing for good.

Some leave, or are lost with their machine, without a word to the store.
"""

LOST_SHARE = 0.2
"""The same after a loss of all processes, for flows that all others deny.

After a loss of power nobody has flows of before; some machines never come back.
"""

MIN_FOR_ONE = 10
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
        denials_count_from: From when on a flow is surely nowhere if all
            known ones, all just started, know that they don't have it.
    """

    def __init__(self) -> None:
        self.since = float("inf")
        self.denials_count_from = float("inf")
        self._appeared_at = float("-inf")
        self._reached = False

    def on_joined(self, now: float) -> None:
        """Notes that the members are known as a peer knows them."""
        self.since = now + VIEW_S
        self._appeared_at = now

    def on_appeared(self, now: float) -> None:
        """Notes that a side process has appeared that was not known."""
        self.since = max(self.since, now + VIEW_S)
        self.denials_count_from = float("inf")
        self._appeared_at = now

    def on_died(self, now: float) -> None:
        """Notes that a side process was declared dead; it may come back."""
        self.denials_count_from = float("inf")
        self.since = max(self.since, now + members.RETURN_WINDOW_S)

    def reached(self, now: float) -> bool:
        """Tells whether all have been known once since the start."""
        self._reached = self._reached or now >= self.since
        return self._reached

    def compare(
        self,
        serving: int,
        missing: int,
        before: int,
        now: float,
        all_started_anew: bool = False,
    ) -> None:
        """Compares the side processes with how many there were before.

        It tells something only until all are known for the first time, and
        nothing if there are more than before: then the count is too old.

        Args:
            serving: Side processes that are known to serve.
            missing: Known ones that died and may come back.
            before: How many there were, 0 if that is not known.
            now: Present time, seconds.
            all_started_anew: Whether all that serve have started with this process.
        """
        if self.reached(now) or self.since == float("inf"):
            return
        if missing or serving > before or not before:
            return
        calm = now - self._appeared_at >= CALM_S
        spared = before * GIVEN_UP_SHARE
        if before >= MIN_FOR_ONE:
            spared = max(1.0, spared)
        enough = serving >= before - spared
        if serving == before or (calm and enough):
            self.since = now
        elif (
            calm and all_started_anew and serving >= before * (1.0 - LOST_SHARE)
        ):
            self.denials_count_from = min(self.denials_count_from, now)
