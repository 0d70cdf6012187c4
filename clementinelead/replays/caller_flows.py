"""Model of the callers: the flows that they open and the packets they send."""

import collections
import functools
import typing

from clementinelead.relays import formats
from clementinelead.relays import opening_retransmissions
from clementinelead.replays import calls
from clementinelead.replays import event_queues
from clementinelead.replays import loads
from clementinelead.replays import packets
from clementinelead.replays import sessions

__all__ = ["REQUEST_BYTES", "CallerFlows"]

REQUEST_BYTES = 10
"""Data of a request, and of an answer, bytes."""


class CallerFlows:
    """The flows of all callers.

    Attributes:
        by_key: Flows that their callers have not ended, by flow key.
        zone_by_key: Zones of the callers of all flows, by flow key.
    """

    def __init__(
        self,
        load: loads.Load,
        event_queue: event_queues.EventQueue,
        address_by_kind: dict[str, bytes],
        send: typing.Callable[[str, bytes], None],
    ):
        """Starts without flows.

        Args:
            load: The load.
            event_queue: The simulation's event queue.
            address_by_kind: Service address by name of the kind of request.
            send: Sends a packet to the balancer of a caller's zone.
        """
        self.by_key: dict[bytes, sessions.CallerFlow] = {}
        self.zone_by_key: dict[bytes, str] = {}
        self._spec = load.callers
        self._event_queue = event_queue
        self._address_by_kind = address_by_kind
        self._send = send
        requests = collections.Counter(
            arrival.session
            for arrival in load.arrivals
            if arrival.session is not None
        )
        self._session_by_number = {
            number: sessions.Session(count)
            for number, count in requests.items()
        }
        self._abandoned_keys: set[bytes] = set()

    def start(self, call: calls.Call) -> None:
        """Sends the request of a call's present attempt.

        A retry opens a new flow. So does a first attempt, unless its session
        has a flow.

        Args:
            call: The call.
        """
        number = call.arrival.session
        if number is None:
            self._open(call)
            return
        session = self._session_by_number[number]
        if call.attempts > 1:
            self._reopen(session, call)
            return
        self._event_queue.schedule(
            call.deadline_s,
            functools.partial(self._on_session_deadline, session, call),
        )
        if session.admit(call):
            self._begin(session, call)

    # Sessions.

    def _begin(self, session: sessions.Session, call: calls.Call) -> None:
        """Sends the request of a call that has become its session's present."""
        flow = session.flow
        if flow is None:
            session.flow = self._open(call)
        else:
            flow.call, flow.attempt = call, call.attempts
            self._send_request(flow)

    def _reopen(self, session: sessions.Session, call: calls.Call) -> None:
        """Opens a flow for a retry; closes that of the failed attempt."""
        if session.flow is not None:
            self._end(session.flow, packets.CLOSES)
        session.flow = self._open(call)

    def _finish(self, session: sessions.Session, call: calls.Call) -> None:
        """Begins the next call of a session if the present one has ended.

        The flow is closed after the last call.
        """
        following = session.finish(call)
        if following is not None:
            self._begin(session, following)
        elif not session.remaining and session.flow is not None:
            self._end(session.flow, packets.CLOSES)
            session.flow = None

    def _on_session_deadline(
        self, session: sessions.Session, call: calls.Call
    ) -> None:
        """Resets the flow of a call without an answer.

        HTTP/1.1 can't skip an answer, so the flow is of no more use.
        """
        flow = session.flow
        if flow is not None and flow.call is call:
            self._end(flow, packets.RESETS)
            session.flow = None
        self._finish(session, call)

    # Opening.

    def _open(self, call: calls.Call) -> sessions.CallerFlow:
        """Opens a flow, and schedules the copies of the opening packet."""
        number = call.number * packets.FLOWS_PER_CALLER + call.attempts - 1
        address = self._address_by_kind[call.kind.name]
        key = packets.flow_key(number, address)
        arrival = call.arrival
        flow = sessions.CallerFlow(
            key, arrival.zone, arrival.session, call, call.attempts
        )
        self.by_key[key] = flow
        self.zone_by_key[key] = arrival.zone
        self._send_opening(flow, 0)
        now = self._event_queue.now
        for copies, delay_s in enumerate(
            opening_retransmissions.RETRANSMISSION_TIMES_S, start=1
        ):
            self._event_queue.schedule(
                now + delay_s,
                functools.partial(self._send_opening, flow, copies),
            )
        if self._spec.opening_timeout_s is not None:
            self._event_queue.schedule(
                now + self._spec.opening_timeout_s,
                functools.partial(self._abandon_opening, flow),
            )
        if arrival.session is None:
            self._event_queue.schedule(
                call.deadline_s, lambda: self._reset_if_opened(flow)
            )
        return flow

    def _send_opening(self, flow: sessions.CallerFlow, copies: int) -> None:
        """Sends the opening packet; not for a flow that has been refused."""
        unfinished = flow.key in self.by_key and flow.is_awaited()
        if unfinished and not flow.opened:
            opening = packets.build_packet(
                flow.key, packets.OPENS, acknowledgement=copies
            )
            self._send(flow.zone, opening)

    def _abandon_opening(self, flow: sessions.CallerFlow) -> None:
        """Ends an attempt that no target has accepted in time."""
        if flow.opened or not flow.is_awaited():
            return
        if flow.key in self.by_key:
            self._end(flow, packets.RESETS)
            self._on_lost(flow, refused=True)

    def _reset_if_opened(self, flow: sessions.CallerFlow) -> None:
        """Resets a flow at its call's deadline, if it is still open."""
        if flow.opened and flow.key in self.by_key:
            self._send(
                flow.zone, packets.build_packet(flow.key, packets.RESETS)
            )

    def _end(self, flow: sessions.CallerFlow, flag: int) -> None:
        """Closes or resets a flow; one that is not open yet is abandoned."""
        if self.by_key.pop(flow.key, None) is None:
            return
        if flow.opened:
            self._send(flow.zone, packets.build_packet(flow.key, flag))
        else:
            self._abandoned_keys.add(flow.key)

    # Requests.

    def _send_request(self, flow: sessions.CallerFlow) -> None:
        """Sends a request, and schedules its copies."""
        request = packets.build_packet(
            flow.key,
            sequence=flow.sequence,
            acknowledgement=flow.acknowledgement,
            length=REQUEST_BYTES,
        )
        flow.sequence += REQUEST_BYTES
        self._send(flow.zone, request)
        first_s = self._spec.first_retransmission_s
        if first_s is not None:
            self._schedule_copy(flow, request, flow.sequence, first_s)

    def _schedule_copy(
        self,
        flow: sessions.CallerFlow,
        request: bytes,
        end: int,
        delay_s: float,
    ) -> None:
        self._event_queue.schedule(
            self._event_queue.now + delay_s,
            functools.partial(self._send_copy, flow, request, end, delay_s),
        )

    def _send_copy(
        self,
        flow: sessions.CallerFlow,
        request: bytes,
        end: int,
        delay_s: float,
    ) -> None:
        """Sends data again that the target has not acknowledged.

        Args:
            flow: The flow.
            request: The packet.
            end: Sequence number after its data.
            delay_s: Time since the copy before, seconds.
        """
        awaited = flow.key in self.by_key and flow.is_awaited()
        if flow.acknowledged >= end or not awaited:
            return
        self._send(flow.zone, request)
        next_s = min(2 * delay_s, self._spec.max_retransmission_s)
        self._schedule_copy(flow, request, end, next_s)

    # Packets of targets and balancers.

    def on_packet(self, data: bytes) -> None:
        """Handles a packet at its caller.

        Args:
            data: The packet.
        """
        segment = packets.Format().from_target(data)
        assert segment is not None, "simulated packets are never truncated"
        flow = self.by_key.get(segment.key)
        if flow is None:
            self._on_abandoned(segment)
            return
        if segment.resets:
            del self.by_key[segment.key]
            self._on_lost(flow, self._spec.reset_is_refusal or not flow.opened)
        elif segment.accepts:
            self._on_accepted(segment, flow)
        elif segment.length:
            self._on_answer(segment, flow)
        else:
            flow.acknowledged = max(flow.acknowledged, segment.acknowledgement)

    def _on_abandoned(self, segment: formats.Segment) -> None:
        """Resets a flow whose acceptance comes after its caller's timeout."""
        if segment.accepts and segment.key in self._abandoned_keys:
            reset = packets.build_packet(segment.key, packets.RESETS)
            self._send(self.zone_by_key[segment.key], reset)

    def _on_accepted(
        self, segment: formats.Segment, flow: sessions.CallerFlow
    ) -> None:
        if flow.opened or not flow.is_awaited():
            return
        flow.opened = True
        flow.acknowledgement = segment.sequence + 1
        self._send_request(flow)

    def _on_answer(
        self, segment: formats.Segment, flow: sessions.CallerFlow
    ) -> None:
        """Ends the call; closes the flow unless its session goes on."""
        call, attempt = flow.call, flow.attempt
        if call is None:
            return
        flow.acknowledged = flow.sequence
        flow.acknowledgement = segment.sequence + segment.length
        if flow.session is None:
            self._end(flow, packets.CLOSES)
            call.on_answer(attempt, flow.status, flow.target)
            return
        flow.call = None
        call.on_answer(attempt, flow.status, flow.target)
        self._finish(self._session_by_number[flow.session], call)

    def _on_lost(self, flow: sessions.CallerFlow, refused: bool) -> None:
        """Ends the attempt of a flow that was refused, reset or abandoned.

        Args:
            flow: The flow, which is no longer in ``by_key``.
            refused: Whether the target has not run the request.
        """
        session = None
        if flow.session is not None:
            session = self._session_by_number[flow.session]
            session.flow = None
        call = flow.call
        if call is None:
            return
        if refused:
            call.on_refusal(flow.attempt)
        else:
            call.on_failure(flow.attempt)
        if session is not None:
            self._finish(session, call)
