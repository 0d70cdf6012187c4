"""Further load queries for the flows with the poorest prospects.

Load pattern: a few answers are much slower than the others, because a request
needs several times the usual work or a target is slow or does not answer. For
a limited share of the new flows the balancer asks further targets for their
load before it sends the opening packet to the best one.
"""

from clementinelead.relays import pending_flows
from clementinelead.relays import query_budgets
from clementinelead.relays import recent_distributions
from clementinelead.telemetry import counters

__all__ = ["FurtherQueries"]


class FurtherQueries:
    """Chooses the flows whose best target is the worst, within a limit.

    The threshold is the quantile of the recent best loads above which the
    share of the flows lies that the limit allows.
    """

    def __init__(self, share: float, counts: counters.CounterSet):
        """Starts without flows.

        Args:
            share: Largest share of the new flows of each service for which
                further targets are asked, 0 to 1; 0 for none.
            counts: Receives the counts of such flows by outcome.
        """
        self._share = share
        self._counts = counts
        self._budgets = query_budgets.Budgets(share)
        self._best_load_ms = recent_distributions.RecentDistribution()

    def add_flow(self, service: str, now: float) -> None:
        """Counts a new flow of a service, for its budget.

        Args:
            service: Name of the service.
            now: Present time, seconds.
        """
        if self._share > 0:
            self._budgets.add_flow(service, now)

    def is_candidate(
        self,
        placement: pending_flows.Placement,
        address: tuple[str, int],
        now: float,
    ) -> bool:
        """Returns whether a flow is one of those with the poorest prospects.

        That is the case at most once for a flow.

        Args:
            placement: The flow, without a chosen target.
            address: Best target that has replied.
            now: Present time, seconds.
        """
        if self._share == 0 or placement.asked_further or placement.tried:
            return False
        if not self._is_high(placement.load_by_address[address], now):
            return False
        placement.asked_further = True
        return True

    def asks_further(
        self, placement: pending_flows.Placement, now: float
    ) -> bool:
        """Returns whether to ask further targets before the choice of one.

        That is not done while a target that was asked is busy: further
        messages would then delay the flows of others. The flow is counted, and
        taken from the budget of its service.

        Args:
            placement: A candidate for which there are further targets.
            now: Present time, seconds.
        """
        cause = "targets_busy" if placement.busy else None
        if cause is None and not self._budgets.spend(placement.service, now):
            cause = "out_of_budget"
        self._counts.add(f"asked_further_{cause}" if cause else "asked_further")
        return cause is None

    def _is_high(self, load_ms: int, now: float) -> bool:
        """Records a best load; returns whether it is among the highest ones."""
        threshold_ms = self._best_load_ms.quantile(1.0 - self._share, now)
        self._best_load_ms.add(load_ms, now)
        return threshold_ms is not None and load_ms >= threshold_ms
