"""From when on a flow that no known side process has is surely nowhere."""

from clementinelead.memberships import members

__all__ = ["VIEW_S", "Completeness"]

VIEW_S = 5.0
"""Time in which all side processes are known, counted from the join.

It begins anew when one appears that was not known: then more may follow.
Processes that start together know each other within one or two seconds.
"""


class Completeness:
    """Tells whether a balancer knows all side processes.

    Time is one sign of it. The other is a count of the side processes that
    there were before, kept where the loss of all processes does not reach it:
    once that many are known to serve, none is missing. Without it the
    balancers would leave the callers of flows that died with their targets
    waiting for seconds after such a loss.

    Attributes:
        since: From when on all are known, seconds; infinite before the join.
    """

    def __init__(self) -> None:
        self.since = float("inf")

    def on_joined(self, now: float) -> None:
        """Notes that the members are known as a peer knows them."""
        self.since = now + VIEW_S

    def on_appeared(self, now: float) -> None:
        """Notes that a side process has appeared that was not known."""
        self.since = max(self.since, now + VIEW_S)

    def on_died(self, now: float) -> None:
        """Notes that a side process was declared dead; it may come back."""
        self.since = max(self.since, now + members.RETURN_S)

    def compare(
        self, serving: int, missing: int, before: int, now: float
    ) -> None:
        """Compares the side processes with how many there were before.

        More than before means that the count was too old to tell anything.

        Args:
            serving: Side processes that are known to serve.
            missing: Known ones that died and may come back.
            before: How many there were, 0 if that is not known.
            now: Present time, seconds.
        """
        joined = self.since != float("inf")
        if joined and before and serving == before and not missing:
            self.since = min(self.since, now)
