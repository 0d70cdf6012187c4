"""Priority and admission of new flows under more load than targets can serve.

A balancer decides which of its waiting flows may query targets, and refuses
new flows that no target could answer within their time budget. The load
pattern is new flows that arrive at up to ten times the rate at which targets
serve them.
"""

import collections.abc

import xxhash

from clementinelead.relays import backlogs
from clementinelead.relays import caller_shares
from clementinelead.relays import formats
from clementinelead.relays import frames
from clementinelead.relays import pending_flows
from clementinelead.relays import placement_shares
from clementinelead.relays import routes
from clementinelead.telemetry import counters

__all__ = ["Admission", "refusal_delay_s"]

REFUSAL_SPREAD_S = 0.05
"""Time over which refusals are spread by the flow's hash, seconds.

Callers that are refused at the same moment would come back together.
"""

_REFUSAL_SEED = 0x41
_Report = collections.abc.Callable[
    [bytes, pending_flows.Placement, str, float], None
]


def refusal_delay_s(key: bytes) -> float:
    """Returns the time from the arrival of a flow to its refusal, seconds.

    It is below ``REFUSAL_SPREAD_S`` and the same at all balancers.

    Args:
        key: Flow key.
    """
    digest = xxhash.xxh3_64_intdigest(key, seed=_REFUSAL_SEED)
    return REFUSAL_SPREAD_S * digest / 2**64


def _rank(placement: pending_flows.Placement) -> int:
    """Returns the rank of a flow in its service; lower ones are served first.

    It is twice the bounded priority of the route, plus 1 for a caller that is
    not preferred.
    """
    priority = min(placement.route.priority, routes.LOWEST_PRIORITY)
    return 2 * priority + (not placement.preferred)


class Admission:
    """Decides which pending flows of a balancer may query targets.

    It takes effect for services whose routes have different priorities. Its
    state covers services with waiting flows only and starts afresh with
    the process.
    """

    def __init__(
        self,
        packet_format: formats.PacketFormat,
        counts: counters.CounterSet,
        report: _Report,
    ):
        """Starts without waiting flows.

        Args:
            packet_format: Format of the callers' packets.
            counts: Receives the counts of decisions by cause.
            report: Called with a flow's key, the flow, a decision about it
                and the present time, for the log.
        """
        self._format = packet_format
        self._counts = counts
        self._report = report
        self._backlog_by_service: dict[str, backlogs.Backlog] = {}
        self._competing: frozenset[str] = frozenset()

    # Events.

    def set_routes(self, table: routes.RoutingTable) -> None:
        """Applies the routes in force; linear in their number.

        Args:
            table: The routes.
        """
        self._competing = frozenset(
            service
            for service, priorities in table.priorities_by_service.items()
            if len(priorities) > 1
        )

    def _backlog_in_force(self, service: str) -> backlogs.Backlog | None:
        """Returns the backlog of a service if flows compete for it.

        A backlog from routes of before remains until its flows are no longer
        pending, but has no effect.
        """
        if service not in self._competing:
            return None
        return self._backlog_by_service.get(service)

    def record_answer(
        self, placement: pending_flows.Placement, load_ms: int, now: float
    ) -> None:
        """Records a target's answer to a query or an opening packet.

        Args:
            placement: The flow.
            load_ms: The load that the target reports, milliseconds.
            now: Present time, seconds.
        """
        backlog = self._backlog_by_service.get(placement.service)
        if backlog is not None and load_ms != frames.NOT_ACCEPTING:
            backlog.record_load(load_ms, now)

    def record_placed(
        self, placement: pending_flows.Placement, now: float
    ) -> None:
        """Records that a target has accepted a flow, which is not pending now.

        Args:
            placement: The flow.
            now: Present time, seconds.
        """
        backlog = self._backlog_by_service.get(placement.service)
        if backlog is not None:
            backlog.record_placed(_rank(placement), now)
        self.release(placement)

    def hold(
        self, key: bytes, placement: pending_flows.Placement, now: float
    ) -> None:
        """Holds a flow for which all targets are busy, or prepares its refusal.

        Args:
            key: Flow key.
            placement: The flow; its deadline is the time at which it may query
                targets again.
            now: Present time, seconds.
        """
        if placement.service not in self._competing:
            placement.paused = True
            return
        claimed = placement.claims
        decides = claimed or not placement.waiting
        has_time = self._has_time(placement, now)
        if claimed and has_time:
            self._hold_claim(placement, now)
            return
        self._end_claim(placement)
        self._wait(placement)
        if not decides or not (has_time or claimed):
            return
        if has_time:
            backlog = self._backlog_by_service[placement.service]
            address = placement.route.address
            backlog.record_saturated(_rank(placement), address, now)
        if self._estimate_if_late(placement, now) is not None:
            self.release(placement)
            self._prepare_refusal(key, placement, now)

    @staticmethod
    def _has_time(placement: pending_flows.Placement, now: float) -> bool:
        """Returns whether most of a flow's objective is left."""
        share = placement_shares.MIN_EVIDENCE_SHARE
        least_ms = share * placement.route.objective_ms
        return placement.remaining_ms(now) >= least_ms

    def _hold_claim(
        self, placement: pending_flows.Placement, now: float
    ) -> None:
        """Lets a flow that is due query again while targets keep room."""
        placement.retry_delay_s = pending_flows.FIRST_HOLD_DELAY_S
        placement.deadline = min(
            now + placement.retry_delay_s, placement.give_up_at
        )
        self._wait(placement)

    def _end_claim(self, placement: pending_flows.Placement) -> None:
        """Records that a flow no longer takes its priority's share."""
        if placement.claims:
            placement.claims = False
            self._backlog_by_service[placement.service].claims -= 1

    def _wait(self, placement: pending_flows.Placement) -> None:
        """Records that a flow waits until its deadline to query targets."""
        backlog = self._backlog_by_service.setdefault(
            placement.service, backlogs.Backlog()
        )
        priority = _rank(placement)
        if not placement.waiting:
            placement.waiting = True
            backlog.add(priority)
        placement.paused = True
        backlog.set_due(priority, placement.deadline)

    def release(self, placement: pending_flows.Placement) -> None:
        """Records that a flow is no longer pending.

        Args:
            placement: The flow.
        """
        backlog = self._backlog_by_service.get(placement.service)
        if backlog is None:
            return
        self._end_claim(placement)
        if placement.waiting:
            placement.waiting = False
            backlog.remove(_rank(placement))
        if not backlog.count_by_priority and not backlog.claims:
            del self._backlog_by_service[placement.service]

    def update_due(
        self, placements: collections.abc.Iterable[pending_flows.Placement]
    ) -> None:
        """Updates when the waiting flows query targets; linear in the flows.

        Args:
            placements: All pending flows.
        """
        if not self._backlog_by_service:
            return
        for backlog in self._backlog_by_service.values():
            backlog.due_by_priority.clear()
        for placement in placements:
            if placement.waiting and placement.chosen is None:
                backlog = self._backlog_by_service[placement.service]
                backlog.set_due(_rank(placement), placement.deadline)

    # Decisions.

    def delays(
        self, key: bytes, placement: pending_flows.Placement, now: float
    ) -> bool:
        """Decides whether a new flow may query targets at once.

        If not, its deadline is set to the time of its refusal, or to the time
        at which it may query targets.

        Args:
            key: Flow key.
            placement: The flow.
            now: Present time, seconds.

        Returns:
            Whether it may not.
        """
        backlog = self._backlog_in_force(placement.service)
        if backlog is None:
            return False
        host = self._format.caller_host(key)
        at = caller_shares.position(host, now)
        placement.preferred = backlog.prefers(_rank(placement), at, now)
        rank = _rank(placement)
        backlog.record_arrival(rank, now)
        if not placement.may_be_open and backlog.claim(rank, now):
            self._counts.add("share_claimed")
            placement.claims = True
            return False
        until = now + placement.retry_delay_s
        no_room = backlog.higher_is_due(rank, until) or backlog.is_saturated(
            rank, placement.route.address, now
        )
        if not no_room or self._estimate_if_late(placement, now) is None:
            return self.postpones(key, placement, now)
        self._prepare_refusal(key, placement, now)
        return True

    def _prepare_refusal(
        self, key: bytes, placement: pending_flows.Placement, now: float
    ) -> None:
        """Sets the time of a flow's refusal."""
        placement.refusing = True
        placement.paused = False
        placement.deadline = now + refusal_delay_s(key)

    def postpones(
        self, key: bytes, placement: pending_flows.Placement, now: float
    ) -> bool:
        """Decides whether a flow whose pause is over must wait on.

        It must while a flow of a higher priority of the same service waits
        and is due within the flow's next pause, unless it takes the share of
        lower priorities.

        Args:
            key: Flow key.
            placement: The flow.
            now: Present time, seconds.

        Returns:
            Whether its deadline has been postponed.
        """
        if not self.yields(placement, now):
            return False
        self._counts.add("yielded")
        if not placement.waiting:
            self._report(key, placement, "yields", now)
        until = now + placement.retry_delay_s
        placement.deadline = min(until, placement.give_up_at)
        placement.retry_delay_s *= pending_flows.HOLD_BACKOFF_FACTOR
        self._wait(placement)
        return True

    def yields(self, placement: pending_flows.Placement, now: float) -> bool:
        """Returns whether a flow of a higher priority is due before a flow.

        Args:
            placement: The flow.
            now: Present time, seconds.
        """
        backlog = self._backlog_in_force(placement.service)
        if backlog is None or placement.claims:
            return False
        until = now + placement.retry_delay_s
        return backlog.higher_is_due(_rank(placement), until)

    def refuses(
        self, placement: pending_flows.Placement, now: float
    ) -> backlogs.Estimate | None:
        """Decides again about a flow whose time of refusal has come.

        Args:
            placement: The flow.
            now: Present time, seconds.

        Returns:
            Estimate of a flow that must be refused; None if it may go on.
        """
        placement.refusing = False
        estimate = self._estimate_if_late(placement, now)
        cause = (
            "refusal_withdrawn" if estimate is None else "refused_in_advance"
        )
        self._counts.add(cause)
        return estimate

    def _estimate_if_late(
        self, placement: pending_flows.Placement, now: float
    ) -> backlogs.Estimate | None:
        """Returns the estimate for a flow that can't be answered in time.

        Args:
            placement: A new flow.
            now: Present time, seconds.

        Returns:
            None if the flow may be answered within its time budget, or may
            have reached a target.
        """
        backlog = self._backlog_in_force(placement.service)
        if backlog is None or placement.may_be_open or placement.delivered_to:
            return None
        objective_s = placement.remaining_ms(now) / 1000
        estimate = backlog.estimate(_rank(placement), objective_s, now)
        if estimate is None:
            return None
        answered_at = now + estimate.answer_s
        ends_at = placement.began_at + placement.route.timeout_ms / 1000
        return estimate if answered_at > ends_at else None
