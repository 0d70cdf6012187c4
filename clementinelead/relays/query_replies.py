"""Answers of a side process to the questions of balancers."""

from clementinelead.relays import frames
from clementinelead.relays import held_flows
from clementinelead.relays import outcomes
from clementinelead.relays import startup_recovery
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
    """Returns the datagram that answers another one.

    Args:
        kind: Kind of the answer.
        frame: What is answered.
        source: Where that came from.
        payload: Payload of the answer.
        value: Its value.
    """
    message = frames.encode(kind, frame.service, frame.key, payload, value)
    return outcomes.ToPeer(source, message)


class QueryResponder:
    """Tells balancers of a target's load and flows."""

    def __init__(
        self,
        flows: held_flows.HeldFlows,
        startup: startup_recovery.StartupRecovery,
        counts: counters.CounterSet,
    ):
        """Takes what the answers are made of.

        Args:
            flows: Flows and load of the target.
            startup: Whether it may have others.
            counts: Counts decisions by outcome.
        """
        self._flows = flows
        self._startup = startup
        self._counts = counts

    def reply_for_other_service(
        self, frame: frames.Frame, source: _Address
    ) -> list[outcomes.Outcome]:
        """Answers for a service that the target does not serve.

        Args:
            frame: What a balancer has sent.
            source: Its address.
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
        now: float,
    ) -> outcomes.Outcome:
        """Answers what a new flow would cost.

        Args:
            frame: The question, with the route's objective.
            source: Address of the balancer.
            accepting: Whether the target takes new flows.
            now: Present time, seconds.
        """
        kind = _Kind.LOAD
        load = frames.NOT_ACCEPTING
        if frame.key in self._flows.by_key:
            load = 0
        elif accepting:
            work = self._flows.workload
            load = work.load_ms(now)
            if work.busy(frame.value, now):
                kind = _Kind.BUSY
        return reply(kind, frame, source, value=load)

    def reply_held(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Answers which of some flows the target holds.

        Args:
            frame: The question.
            source: Address of the balancer.
            now: Present time, seconds.
        """
        keys = frames.split_keys(frame.payload, len(frame.key))
        if keys is None:
            self._counts.add("malformed_frame")
            return []
        keys_by_kind: dict[frames.Kind, list[bytes]] = {}
        for key in keys:
            kind = self._belief(key, now)
            keys_by_kind.setdefault(kind, []).append(key)
        return [
            reply(kind, frame, source, frames.join_keys(part))
            for kind, part in keys_by_kind.items()
        ]

    def _belief(self, key: bytes, now: float) -> frames.Kind:
        """Returns what to say of a flow that a balancer searches."""
        flow = self._flows.by_key.get(key)
        if flow is not None:
            return _Kind.HELD if flow.confirmed_by_target else _Kind.UNSURE
        return (
            _Kind.ABSENT
            if self._startup.all_flows_recorded(now)
            else _Kind.UNSURE
        )
