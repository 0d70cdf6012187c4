"""Decisions of a side process about opening packets."""

import collections.abc

from clementinelead.relays import frames
from clementinelead.relays import held_flows
from clementinelead.relays import outcomes
from clementinelead.relays import outstanding_packets
from clementinelead.relays import placement_shares
from clementinelead.relays import query_replies
from clementinelead.relays import routes
from clementinelead.relays import startup_recovery
from clementinelead.relays import target_packets
from clementinelead.relays import warmup_limit
from clementinelead.relays import workload
from clementinelead.telemetry import counters

__all__ = ["OpeningPacketHandler"]

_Kind = frames.Kind
_Address = tuple[str, int]


class OpeningPacketHandler:
    """Sends opening packets to a target, or refuses or defers them.

    Attributes:
        room: Room at the target that is kept for flows of higher priorities.
    """

    def __init__(
        self,
        flows: held_flows.HeldFlows,
        outstanding: outstanding_packets.OutstandingPackets,
        startup: startup_recovery.StartupRecovery,
        target_workload: workload.Workload,
        limit: warmup_limit.WarmupLimit,
        refusal_cause: collections.abc.Callable[[], str | None],
        route_of: collections.abc.Callable[[bytes], routes.Route | None],
        counts: counters.CounterSet,
        log: target_packets.LogDecision,
    ):
        """Keeps no room.

        Args:
            flows: Flows of the target.
            outstanding: Packets that balancers expect a reply to.
            startup: Whether all flows of the target are recorded.
            target_workload: Workload of the target.
            limit: Limit of new flows while the target warms up.
            refusal_cause: Returns why new flows are refused now, None if they
                are accepted.
            route_of: Returns the route of a flow key.
            counts: Counts decisions by cause.
            log: Logs decisions.
        """
        self.room = placement_shares.ReservedRoom()
        self._flows = flows
        self._outstanding = outstanding
        self._startup = startup
        self._workload = target_workload
        self._limit = limit
        self._refusal_cause = refusal_cause
        self._route_of = route_of
        self._counts = counts
        self._log = log

    def limit_allows_flow(self, now: float) -> bool:
        """Returns whether the warm-up limit allows another opening packet.

        Args:
            now: Present time, seconds.
        """
        first_flows_known = self._startup.all_flows_recorded(now)
        return self._limit.allows_flow(first_flows_known, now)

    def objective_share(self, frame: frames.Frame, now: float) -> float:
        """Returns the share of its objective that a new flow may wait.

        Args:
            frame: Load query or opening packet of the flow.
            now: Present time, seconds.
        """
        route = self._route_of(frame.key)
        share = self.room.objective_share(route, now)
        if self._workload.busy(frame.value, now, share):
            self.room.record_busy(route, frame.value, now)
        return share

    def on_packet(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Sends an opening packet to the target, or refuses or defers it.

        Args:
            frame: The opening packet.
            source: Address of the balancer.
            now: Present time, seconds.

        Returns:
            What to send.
        """
        key = frame.key
        flow = self._flows.by_key.get(key)
        refusal_cause = self._refusal_cause()
        is_held = flow is not None and flow.is_open
        if refusal_cause is not None and not is_held:
            self._counts.add(refusal_cause)
            self._log("acceptance", "refused", key, now)
            return [query_replies.reply(_Kind.REFUSED, frame, source)]
        if not self.limit_allows_flow(now):
            return self._defer(frame, source, "deferred_warmup", now)
        if flow is not None:
            flow.balancer = source
        elif self._outstanding.opening_sender(key) is None:
            objective_ms = frame.value
            if objective_ms and self._workload.busy(objective_ms, now):
                return self._defer(frame, source, "deferred", now)
            share = self.objective_share(frame, now)
            if objective_ms and self._workload.busy(objective_ms, now, share):
                return self._defer(frame, source, "deferred_room_kept", now)
            self._flows.begin_accept(key, now)
            self.room.record_placed(self._route_of(key))
        self._outstanding.add_opening(key, source, now)
        self._limit.add_flow(now)
        return [outcomes.ToTarget(frame.payload)]

    def _defer(
        self, frame: frames.Frame, source: _Address, cause: str, now: float
    ) -> list[outcomes.Outcome]:
        """Tells a balancer that an opening packet was not sent to the target.

        Args:
            frame: The opening packet.
            source: Address of the balancer.
            cause: Reason, for counts and the log.
            now: Present time, seconds.
        """
        self._counts.add(cause)
        self._log("acceptance", "deferred", frame.key, now, cause=cause)
        load_ms = self._workload.load_ms(now)
        return [
            query_replies.reply(_Kind.DEFERRED, frame, source, value=load_ms)
        ]
