"""The flows that a target holds and the requests under way in them."""

import msgspec

from clementinelead.relays import held_flow
from clementinelead.relays import requests_in_progress
from clementinelead.relays import workload

__all__ = ["HeldFlows", "RequestEnd"]

FIRST_REQUEST_TIMEOUT_S = 0.04
"""Time for which a new flow counts as work without a request, seconds.

It spans a few round trips to a caller. A caller whose attempt has timed out
sends no request, which after an outage is the case for most queued attempts.
"""

ACCEPT_TIMEOUT_S = 0.08
"""Time that a target may take to answer an opening packet, seconds.

Until then the packet counts as work, because many balancers may send opening
packets at once.
"""

CLOSED_FLOW_RETENTION_S = 10.0
"""Time for which a closed flow is kept for retransmitted packets, seconds."""

IDLE_FLOW_TIMEOUT_S = 75.0
"""Time without a packet after which a flow is removed, seconds."""

MIN_SERVICE_TIME_S = 0.002
"""Shortest time to an answer that counts as service time, seconds.

A faster answer means that the target rejected the request without serving it.
"""

REQUEST_TIMEOUT_S = 5.0
"""Time from its last data until a request no longer counts as work, seconds.

Copies of data don't count: callers send them while a target is silent.
"""

_Ending = requests_in_progress.Ending


class RequestEnd(msgspec.Struct, frozen=True):
    """The end of a request that was in progress or held.

    Attributes:
        key: Flow key.
        ending: How it ended.
    """

    key: bytes
    ending: _Ending


class HeldFlows:
    """Flows by key, with the target's workload counted from them.

    Attributes:
        by_key: The flows by flow key.
        workload: Workload of the target.
        records_ends: Whether the ends of requests are added to ``ends``.
        ends: Ends of requests that have not been handled yet.
    """

    def __init__(self, target_workload: workload.Workload):
        """Starts without flows.

        Args:
            target_workload: Workload of the target, updated by the flows.
        """
        self.by_key: dict[bytes, held_flow.HeldFlow] = {}
        self.workload = target_workload
        self.records_ends = False
        self.ends: list[RequestEnd] = []
        # Both are in the order of their deadlines.
        self._request_deadline_by_key: dict[bytes, float] = {}
        self._accept_deadline_by_key: dict[bytes, float] = {}
        self._outstanding_requests = 0  # without an answer
        self._completed_requests = 0  # answered or abandoned since the start
        self._held_requests = 0  # counted as work, not sent to the target

    @property
    def has_pending_accepts(self) -> bool:
        """Whether an opening packet still counts as work."""
        return bool(self._accept_deadline_by_key)

    def begin_accept(self, key: bytes, now: float) -> None:
        """Counts an opening packet sent to the target as work.

        Args:
            key: Flow key.
            now: Present time, seconds.
        """
        if key not in self._accept_deadline_by_key:
            self.workload.add_request(now)
            self._accept_deadline_by_key[key] = now + ACCEPT_TIMEOUT_S

    def end_accept(self, key: bytes, now: float) -> None:
        """Stops counting an opening packet as work; idempotent.

        Args:
            key: Flow key.
            now: Present time, seconds.
        """
        if self._accept_deadline_by_key.pop(key, None) is not None:
            self.workload.discard_request(now)

    def add_accepted(
        self,
        key: bytes,
        initial_sequence: int,
        balancer: tuple[str, int] | None,
        now: float,
    ) -> held_flow.HeldFlow:
        """Adds a flow that the target has accepted, and expects a request.

        Args:
            key: Flow key.
            initial_sequence: Initial sequence number of the target.
            balancer: Sender of the opening packet, None if not known.
            now: Present time, seconds.
        """
        flow = held_flow.HeldFlow(initial_sequence, now, balancer)
        flow.work_ahead = self.workload.add_flow(now) - self._held_requests
        flow.has_work = True
        self.by_key[key] = flow
        self._request_deadline_by_key[key] = now + FIRST_REQUEST_TIMEOUT_S
        return flow

    def add_unconfirmed(
        self, key: bytes, balancer: tuple[str, int] | None, now: float
    ) -> held_flow.HeldFlow:
        """Adds a flow opened earlier that the target holds or may hold.

        Args:
            key: Flow key.
            balancer: Sender of its packet, None for a packet of the target.
            now: Present time, seconds.
        """
        flow = held_flow.HeldFlow(None, now, balancer, chosen_by_caller=True)
        self.by_key[key] = flow
        self.workload.estimate.open_flows += 1
        return flow

    def remove(self, key: bytes, now: float) -> None:
        """Removes a flow; its request no longer counts as work.

        Args:
            key: Key of a held flow.
            now: Present time, seconds.

        Raises:
            KeyError: There is no such flow.
        """
        flow = self.by_key.pop(key)
        self._request_deadline_by_key.pop(key, None)
        self._end_request(key, flow)
        if flow.has_work:
            self.workload.discard_request(now)
        self.workload.estimate.remove_flow()

    def on_new_incarnation(self, now: float) -> None:
        """Ends all work and marks all flows unconfirmed after a restart.

        The flows stay: the new incarnation may have opened some of them before
        its first heartbeat. It returns the packets of the others.

        Args:
            now: Present time, seconds.
        """
        for key, flow in self.by_key.items():
            flow.confirmed_by_target = False
            self._request_deadline_by_key.pop(key, None)
            self._release(key, flow, now)

    def begin_request(
        self, key: bytes, flow: held_flow.HeldFlow, now: float
    ) -> None:
        """Counts a request, or more data of the one under way.

        Args:
            key: Flow key.
            flow: The flow.
            now: Present time, seconds.
        """
        if not flow.has_work:
            ahead = self.workload.add_request(now)
            flow.work_ahead = ahead - self._held_requests
            flow.has_work = True
        self._request_deadline_by_key.pop(key, None)
        if flow.request_at is None:
            slots = self.workload.estimate.limits.slots
            queued_ahead = max(0, self._outstanding_requests + 1 - slots)
            flow.min_completed = self._completed_requests + queued_ahead
            self._outstanding_requests += 1
        flow.request_at = now

    def hold_request(
        self,
        key: bytes,
        flow: held_flow.HeldFlow,
        queued_from: int | None,
        now: float,
    ) -> None:
        """Counts a request as work that is not sent to the target yet.

        Args:
            key: Flow key.
            flow: The flow, without a request under way.
            queued_from: Sequence number before its data, None for any.
            now: Present time, seconds.
        """
        if not flow.has_work:
            self.workload.add_request(now)
            flow.has_work = True
        self._request_deadline_by_key.pop(key, None)
        flow.request_queued = True
        flow.queued_from = queued_from
        self._held_requests += 1

    def begin_held_request(
        self, key: bytes, flow: held_flow.HeldFlow, now: float
    ) -> None:
        """Counts a held request that is sent to the target now.

        Its time at the target begins now, so that the time for which it was
        held does not count as service time.

        Args:
            key: Flow key.
            flow: The flow, with a held request.
            now: Present time, seconds.
        """
        self._end_hold(flow)
        flow.work_ahead = self._outstanding_requests
        self.begin_request(key, flow, now)

    def drop_held_request(self, flow: held_flow.HeldFlow, now: float) -> None:
        """Stops counting a held request that is dropped.

        A copy of its data counts as a new request.

        Args:
            flow: The flow, with a held request.
            now: Present time, seconds.
        """
        self._end_hold(flow)
        flow.request_end = flow.queued_from
        flow.has_work = False
        self.workload.discard_request(now)

    def _end_hold(self, flow: held_flow.HeldFlow) -> None:
        flow.request_queued = False
        self._held_requests -= 1

    def complete_request(
        self, key: bytes, flow: held_flow.HeldFlow, now: float
    ) -> float | None:
        """Ends the request that the target has answered.

        Args:
            key: Flow key.
            flow: The flow, with a request under way or expected.
            now: Present time, seconds.

        Returns:
            Time from the request to the answer in seconds, None if no request
            was seen.
        """
        self._request_deadline_by_key.pop(key, None)
        flow.has_work = False
        if flow.request_at is None:
            self.workload.discard_request(now)
            return None
        duration = now - flow.request_at
        # A target starts requests in order of arrival. An answer while all its
        # slots serve earlier requests means that it did no work on this one.
        in_order = self._completed_requests >= flow.min_completed
        rejected = duration < MIN_SERVICE_TIME_S or not in_order
        ending = _Ending.REJECTED if rejected else _Ending.SERVED
        self._end_request(key, flow, ending)
        if rejected:
            self.workload.discard_request(now)
        else:
            self.workload.complete_request(duration, flow.work_ahead, now)
        return duration

    def mark_closing(
        self, key: bytes, flow: held_flow.HeldFlow, now: float
    ) -> None:
        """Records that the target closes a flow, and ends its request.

        Args:
            key: Flow key.
            flow: The flow.
            now: Present time, seconds.
        """
        flow.closing = True
        self._request_deadline_by_key.pop(key, None)
        self._release(key, flow, now)

    def on_tick(self, now: float) -> None:
        """Stops counting opening packets and first requests past deadline.

        Args:
            now: Present time, seconds.
        """
        for key, deadline in list(self._accept_deadline_by_key.items()):
            if deadline > now:
                break
            self.end_accept(key, now)
        for key, deadline in list(self._request_deadline_by_key.items()):
            if deadline > now:
                return
            del self._request_deadline_by_key[key]
            self._release(key, self.by_key[key], now)

    def expire(self, now: float) -> None:
        """Removes closed and idle flows, and ends requests past timeout.

        Args:
            now: Present time, seconds.
        """
        for key, flow in list(self.by_key.items()):
            idle_s = now - flow.last_packet_at
            timeout_s = (
                CLOSED_FLOW_RETENTION_S if flow.closing else IDLE_FLOW_TIMEOUT_S
            )
            if idle_s > timeout_s:
                self.remove(key, now)
            elif (
                flow.request_at is not None
                and now - flow.request_at > REQUEST_TIMEOUT_S
            ):
                self._release(key, flow, now)

    def _release(
        self, key: bytes, flow: held_flow.HeldFlow, now: float
    ) -> None:
        """Ends a flow's request, whether under way, held or expected."""
        self._end_request(key, flow)
        if flow.has_work:
            flow.has_work = False
            self.workload.discard_request(now)

    def _end_request(
        self,
        key: bytes,
        flow: held_flow.HeldFlow,
        ending: _Ending = _Ending.UNANSWERED,
    ) -> None:
        """Counts a flow's request as completed if one is under way."""
        if flow.request_queued:
            self._end_hold(flow)
            self.ends.append(RequestEnd(key, _Ending.UNANSWERED))
        if flow.request_at is not None:
            flow.request_at = None
            self._outstanding_requests -= 1
            self._completed_requests += 1
            if self.records_ends:
                self.ends.append(RequestEnd(key, ending))
