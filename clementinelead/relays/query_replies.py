"""Replies of a side process to queries of balancers."""

from clementinelead.relays import frames
from clementinelead.relays import held_flows
from clementinelead.relays import outcomes
from clementinelead.relays import outstanding_packets
from clementinelead.relays import startup_recovery
from clementinelead.relays import workload
from clementinelead.telemetry import counters

__all__ = ["QueryResponder", "reply"]

_Kind = frames.Kind
_Address = tuple[str, int]


def reply(
    kind: frames.Kind,
    frame: frames.Frame,
    source: _Address,
    payload: bytes = b"",
    value: int = 0,
) -> outcomes.Outcome:
    """Returns the datagram that replies to another one.

    Args:
        kind: Kind of the reply.
        frame: Datagram that is replied to; gives the service and the key.
        source: Address of its sender.
        payload: Payload of the reply.
        value: Value of the reply, see ``frames.Frame``.
    """
    message = frames.encode(kind, frame.service, frame.key, payload, value)
    return outcomes.ToPeer(source, message)


class QueryResponder:
    """Replies to queries about a target's load and flows."""

    def __init__(
        self,
        flows: held_flows.HeldFlows,
        outstanding: outstanding_packets.OutstandingPackets,
        startup: startup_recovery.StartupRecovery,
        counts: counters.CounterSet,
    ):
        """Stores the sources of the replies.

        Args:
            flows: Flows and workload of the target.
            outstanding: Flows whose packets the target has returned.
            startup: Whether all flows of the target are recorded.
            counts: Counts decisions by cause.
        """
        self._flows = flows
        self._outstanding = outstanding
        self._startup = startup
        self._counts = counts

    def reply_for_other_service(
        self, frame: frames.Frame, source: _Address
    ) -> list[outcomes.Outcome]:
        """Rejects a datagram for a service that the target does not serve.

        Args:
            frame: Datagram of a balancer.
            source: Address of the balancer.

        Returns:
            The reply; none if the kind of datagram requires none.
        """
        self._counts.add("other_service")
        match frame.kind:
            case _Kind.PACKET | _Kind.PROBE:
                return [reply(_Kind.NOT_HELD, frame, source, frame.payload)]
            case _Kind.PLACE:
                return [reply(_Kind.REFUSED, frame, source)]
            case _Kind.QUERY_LOAD:
                load = frames.NOT_ACCEPTING
                return [reply(_Kind.LOAD, frame, source, value=load)]
            case _Kind.QUERY_HELD:
                return [reply(_Kind.ABSENT, frame, source, frame.payload)]
        return []

    def reply_load(
        self,
        frame: frames.Frame,
        source: _Address,
        accepting: bool,
        within_limit: bool,
        now: float,
        objective_share: float = workload.MAX_OBJECTIVE_SHARE,
    ) -> outcomes.Outcome:
        """Replies with the load that a new flow would meet.

        The load is 0 for a flow that the target already holds, and
        ``frames.NOT_ACCEPTING`` if the target accepts no new flows.

        Args:
            frame: The query, with the latency objective of the route.
            source: Address of the balancer.
            accepting: Whether the target accepts new flows.
            within_limit: Whether the limit of a target that warms up allows a
                new flow now.
            now: Present time, seconds.
            objective_share: Largest share of the objective for waiting and
                service, see ``placement_shares.ReservedRoom``.
        """
        kind = _Kind.LOAD
        load_ms = frames.NOT_ACCEPTING
        if frame.key in self._flows.by_key:
            load_ms = 0
        elif accepting:
            target = self._flows.workload
            load_ms = target.load_ms(now)
            if not within_limit or target.busy(frame.value, now):
                kind = _Kind.BUSY
            elif target.busy(frame.value, now, objective_share):
                kind = _Kind.BUSY
                self._counts.add("room_kept")
        return reply(kind, frame, source, value=load_ms)

    def reply_held(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Replies which of the queried flows the target holds.

        Flows that may have been opened before this process started are named
        in a datagram with the age of this process, see
        ``searches.Search.denies``.

        Args:
            frame: The query, with several flow keys.
            source: Address of the balancer.
            now: Present time, seconds.

        Returns:
            One datagram per status and age; none if the query is malformed.
        """
        keys = frames.split_keys(frame.payload, len(frame.key))
        if keys is None:
            self._counts.add("malformed_frame")
            return []
        keys_by_status: dict[tuple[frames.Kind, int], list[bytes]] = {}
        for key in keys:
            kind = self._holding_status(key, now)
            # A recorded flow may be open, however old this process is.
            recorded = (
                key in self._flows.by_key
                or self._outstanding.opening_sender(key) is not None
            )
            unsure = kind is _Kind.UNSURE
            age_ms = self._startup.age_ms(now) if unsure and not recorded else 0
            keys_by_status.setdefault((kind, age_ms), []).append(key)
        return [
            reply(kind, frame, source, frames.join_keys(named), age_ms)
            for (kind, age_ms), named in keys_by_status.items()
        ]

    def _holding_status(self, key: bytes, now: float) -> frames.Kind:
        """Returns the kind of reply for a flow that a balancer queries."""
        flow = self._flows.by_key.get(key)
        if flow is not None:
            return _Kind.HELD if flow.confirmed_by_target else _Kind.UNSURE
        if self._outstanding.was_returned(key):
            return _Kind.ABSENT
        if self._startup.all_flows_recorded(now):
            return _Kind.ABSENT
        return _Kind.UNSURE
