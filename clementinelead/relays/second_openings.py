"""Extra effort for the openings with the poorest prospects, within a limit.

Load pattern: a few answers are much slower than the others, because a request
needs several times the usual work or a target is slow or does not answer. For
a limited share of the new flows the balancer may either send the opening
packet to a second target too, or ask further targets for their load before it
sends the opening packet to one. A policy chooses.
"""

import typing

from clementinelead.relays import opening_budgets
from clementinelead.relays import pending_flows
from clementinelead.telemetry import counters

__all__ = [
    "POLICY_BY_NAME",
    "AtOnce",
    "MoreTargets",
    "Never",
    "Policy",
    "Quantile",
    "SecondOpenings",
    "create",
]

ACCEPT_QUANTILE = 0.95
"""Quantile of the accept times after which a second opening follows."""

MAX_OBJECTIVE_SHARE = 0.5
"""Share of the objective above which reported loads stop all extra openings.

Extra work would then delay the requests of others.
"""

_NEVER_S = float("inf")


class Policy(typing.Protocol):
    """Chooses the openings that deserve extra effort."""

    def asks_further(self, load_ms: int, now: float) -> bool:
        """Returns whether further targets are to be asked for their load.

        Args:
            load_ms: Load of the best target that was asked, milliseconds.
            now: Present time, seconds.
        """

    def second_delay_s(
        self, load_ms: int, objective_ms: int, now: float
    ) -> float:
        """Returns the delay of a second opening after the first, seconds.

        Args:
            load_ms: Load of the target of the first, milliseconds.
            objective_ms: Latency objective of the flow's route, milliseconds.
            now: Present time, seconds.

        Returns:
            The delay, infinite for no second opening.
        """

    def record_accept(self, accept_s: float, now: float) -> None:
        """Records an answer to an opening packet.

        Args:
            accept_s: Time from the opening packet to the answer, seconds.
            now: Present time, seconds.
        """


class Never:
    """No extra effort for any flow."""

    def asks_further(self, load_ms: int, now: float) -> bool:
        """Returns that no further target is asked."""
        return False

    def second_delay_s(
        self, load_ms: int, objective_ms: int, now: float
    ) -> float:
        """Returns that no second opening follows."""
        return _NEVER_S

    def record_accept(self, accept_s: float, now: float) -> None:
        """Ignores the accept time."""


class Quantile(Never):
    """Second opening if the first is answered later than most others are."""

    def __init__(self) -> None:
        self._accept_ms = opening_budgets.RecentDistribution()

    def second_delay_s(
        self, load_ms: int, objective_ms: int, now: float
    ) -> float:
        """Returns the quantile of the accept times, 0 for a high load."""
        if load_ms > objective_ms:
            return 0.0
        quantile_ms = self._accept_ms.quantile(ACCEPT_QUANTILE, now)
        return _NEVER_S if quantile_ms is None else quantile_ms / 1000

    def record_accept(self, accept_s: float, now: float) -> None:
        """Adds the accept time to the distribution."""
        self._accept_ms.add(accept_s * 1000, now)


class AtOnce(Never):
    """Second opening at the same time as the first."""

    def second_delay_s(
        self, load_ms: int, objective_ms: int, now: float
    ) -> float:
        """Returns no delay."""
        return 0.0


class MoreTargets(Never):
    """Further load queries for the flows whose best target is the worst.

    The threshold is the quantile of the recent best loads above which the
    share of the flows lies that the limit allows.
    """

    def __init__(self, share: float):
        """Starts without known loads.

        Args:
            share: Share of the flows for which further targets are asked.
        """
        self._share = share
        self._best_load_ms = opening_budgets.RecentDistribution()

    def asks_further(self, load_ms: int, now: float) -> bool:
        """Returns whether the best load is among the highest ones."""
        threshold_ms = self._best_load_ms.quantile(1.0 - self._share, now)
        self._best_load_ms.add(load_ms, now)
        return threshold_ms is not None and load_ms >= threshold_ms


POLICY_BY_NAME: dict[str, typing.Callable[[float], Policy]] = {
    "never": lambda _: Never(),
    "quantile": lambda _: Quantile(),
    "at-once": lambda _: AtOnce(),
    "more-targets": MoreTargets,
}
"""Constructors of the policies, which get the limit as a share."""


class SecondOpenings:
    """Applies a policy within the budgets of all services.

    Attributes:
        policy: The policy.
    """

    def __init__(
        self, policy: Policy, share: float, counts: counters.CounterSet
    ):
        """Starts without openings.

        Args:
            policy: The policy.
            share: Largest share of extra openings of each service, 0 to 1.
            counts: Receives the counts of extra openings by outcome.
        """
        self.policy = policy
        self._enabled = share > 0 and type(policy) is not Never
        self._counts = counts
        self._budgets = opening_budgets.Budgets(share)

    def add_opening(self, service: str, now: float) -> None:
        """Counts an opening of a service, for its budget.

        Args:
            service: Name of the service.
            now: Present time, seconds.
        """
        if self._enabled:
            self._budgets.add_opening(service, now)

    def asks_further(
        self,
        placement: pending_flows.Placement,
        address: tuple[str, int],
        now: float,
    ) -> bool:
        """Returns whether to ask further targets before the choice of one.

        That is done at most once for a flow.

        Args:
            placement: The flow, without a chosen target.
            address: Best target that has replied.
            now: Present time, seconds.
        """
        if not self._enabled or placement.asked_further or placement.tried:
            return False
        load_ms = placement.load_by_address[address]
        if not self.policy.asks_further(load_ms, now):
            return False
        placement.asked_further = True
        cause = "targets_busy" if placement.busy else None
        if cause is None and not self._budgets.spend(placement.service, now):
            cause = "out_of_budget"
        self._counts.add(f"asked_further_{cause}" if cause else "asked_further")
        return cause is None

    def second_delay_s(
        self, placement: pending_flows.Placement, now: float
    ) -> float:
        """Returns the delay of a flow's second opening, seconds.

        Infinite for none, as for a route whose requests must not be repeated.

        Args:
            placement: The flow, with the chosen target of the first opening.
            now: Present time, seconds.
        """
        if not self._enabled or not placement.route.idempotent:
            return _NEVER_S
        if placement.second_considered or placement.chosen is None:
            return _NEVER_S
        return self.policy.second_delay_s(
            placement.load_by_address[placement.chosen],
            placement.route.objective_ms,
            now,
        )

    def denial(
        self,
        placement: pending_flows.Placement,
        address: tuple[str, int] | None,
        now: float,
    ) -> str | None:
        """Returns why a flow gets no extra opening now; counts one it gets.

        Args:
            placement: The flow.
            address: Target that would get the packet, None if there is none.
            now: Present time, seconds.

        Returns:
            The cause for counts and the log, None if it gets one.
        """
        if address is None:
            return "no_other_target"
        if placement.busy:
            return "targets_busy"
        limit_ms = MAX_OBJECTIVE_SHARE * placement.route.objective_ms
        if min(placement.load_by_address.values()) > limit_ms:
            return "targets_loaded"
        if not self._budgets.spend(placement.service, now):
            return "out_of_budget"
        return None

    def on_accepted(
        self,
        placement: pending_flows.Placement,
        source: tuple[str, int],
        now: float,
    ) -> None:
        """Records the first answer to a flow's opening packets.

        Args:
            placement: The flow.
            source: Side process whose target has answered.
            now: Present time, seconds.
        """
        if not self._enabled:
            return
        if source == placement.chosen:
            self.policy.record_accept(now - placement.sent_at, now)
        if placement.second is not None:
            won = source == placement.second
            self._counts.add("second_won" if won else "second_lost")


def create(
    share: float, counts: counters.CounterSet, policy: Policy | None = None
) -> SecondOpenings:
    """Returns the extra openings that the operators' setting asks for.

    Args:
        share: Largest share of extra openings of each service; 0 for none.
        counts: Receives the counts of extra openings by outcome.
        policy: The policy, None for the default.
    """
    return SecondOpenings(policy or MoreTargets(share), share, counts)
