"""Priority and admission of new flows under more load than targets can serve.

A balancer decides which of its waiting flows may query targets, and refuses
new flows that no target could answer within their time budget. A side process
keeps room at its target for flows of the highest priority. The load pattern is
new flows that arrive at up to ten times the rate at which targets serve them.
"""

import collections.abc

import msgspec
import xxhash

from clementinelead.relays import backlogs
from clementinelead.relays import frames
from clementinelead.relays import pending_flows
from clementinelead.relays import routes
from clementinelead.relays import workload
from clementinelead.telemetry import counters

__all__ = ["Admission", "ReservedRoom", "refusal_delay_s"]

REFUSAL_SPREAD_S = 0.05
"""Time over which refusals are spread by the flow's hash, seconds.

Callers that are refused at the same moment would come back together.
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


def _rank(route: routes.Route) -> int:
    """Returns the priority of a route, bounded by the lowest one."""
    return min(route.priority, routes.LOWEST_PRIORITY)


class ReservedRoom(msgspec.Struct, frozen=True):
    """Room at a target that is kept for flows of the highest priority.

    Attributes:
        priorities: Priorities of the routes to its service, ascending.
    """

    priorities: tuple[int, ...] = ()

    def objective_share(self, route: routes.Route | None) -> float:
        """Returns the share of its objective that a new flow may need.

        Args:
            route: Route of the flow, None if it is not known.
        """
        if route is None or len(self.priorities) < 2:
            return workload.MAX_OBJECTIVE_SHARE
        if route.priority <= self.priorities[0]:
            return workload.MAX_OBJECTIVE_SHARE
        return LOWER_PRIORITY_SHARE


class Admission:
    """Decides which pending flows of a balancer may query targets.

    Its state covers services with waiting flows only and starts afresh with
    the process.
    """

    def __init__(self, counts: counters.CounterSet, report: _Report):
        """Starts without waiting flows.

        Args:
            counts: Receives the counts of decisions by cause.
            report: Called with a flow's key, the flow, a decision about it
                and the present time, for the log.
        """
        self._counts = counts
        self._report = report
        self._backlog_by_service: dict[str, backlogs.Backlog] = {}

    # Events.

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
            backlog.record_placed(now)
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
        is_new = not placement.waiting
        self._wait(placement)
        if not is_new:
            return
        least_ms = MIN_EVIDENCE_SHARE * placement.route.objective_ms
        if placement.remaining_ms(now) < least_ms:
            return
        backlog = self._backlog_by_service[placement.service]
        route_id = (_rank(placement.route), placement.route.address)
        backlog.saturated_at_by_route[route_id] = now
        if self._estimate_if_late(placement, now) is not None:
            self.release(placement)
            self._prepare_refusal(key, placement, now)

    def _wait(self, placement: pending_flows.Placement) -> None:
        """Records that a flow waits until its deadline to query targets."""
        backlog = self._backlog_by_service.setdefault(
            placement.service, backlogs.Backlog()
        )
        priority = _rank(placement.route)
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
        if not placement.waiting:
            return
        placement.waiting = False
        backlog = self._backlog_by_service[placement.service]
        backlog.remove(_rank(placement.route))
        if not backlog.count_by_priority:
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
                backlog.set_due(_rank(placement.route), placement.deadline)

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
        backlog = self._backlog_by_service.get(placement.service)
        if backlog is None:
            return False
        rank = _rank(placement.route)
        backlog.record_arrival(rank, now)
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
        and is due within the flow's next pause.

        Args:
            key: Flow key.
            placement: The flow.
            now: Present time, seconds.

        Returns:
            Whether its deadline has been postponed.
        """
        backlog = self._backlog_by_service.get(placement.service)
        until = now + placement.retry_delay_s
        rank = _rank(placement.route)
        if backlog is None or not backlog.higher_is_due(rank, until):
            return False
        self._counts.add("yielded")
        if not placement.waiting:
            self._report(key, placement, "yields", now)
        placement.deadline = min(until, placement.give_up_at)
        placement.retry_delay_s *= pending_flows.HOLD_BACKOFF_FACTOR
        self._wait(placement)
        return True

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
        backlog = self._backlog_by_service.get(placement.service)
        if backlog is None or placement.may_be_open or placement.delivered_to:
            return None
        objective_s = placement.remaining_ms(now) / 1000
        estimate = backlog.estimate(_rank(placement.route), objective_s, now)
        if estimate is None:
            return None
        answered_at = now + estimate.answer_s
        ends_at = placement.began_at + placement.route.timeout_ms / 1000
        return estimate if answered_at > ends_at else None
