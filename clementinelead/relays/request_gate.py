"""Holds the requests of a target's flows in a queue, and forwards them.

Connects the queue, which orders requests, with the records of flows, which
tell where requests begin and end.
"""

import collections.abc

from clementinelead.relays import formats
from clementinelead.relays import held_flow
from clementinelead.relays import held_flows
from clementinelead.relays import held_requests
from clementinelead.relays import outcomes
from clementinelead.relays import request_queue
from clementinelead.relays import request_releases
from clementinelead.relays import requests_in_progress
from clementinelead.relays import routes
from clementinelead.relays import sequences
from clementinelead.relays import target_packets
from clementinelead.telemetry import counters

__all__ = ["RequestGate"]

_Cause = request_releases.Cause
_Ending = requests_in_progress.Ending

_COUNT_BY_CAUSE = {
    _Cause.AT_LIMIT: "request_passed_at_limit",
    _Cause.OVERFLOW: "request_passed_overflow",
    _Cause.NO_SPACE: "request_passed_no_space",
    _Cause.OUT_OF_TURN: "request_passed_out_of_turn",
    _Cause.FLUSHED: "request_passed_flushed",
    _Cause.EXPIRED: "request_dropped_expired",
    _Cause.DISCARDED: "request_dropped_flow_ended",
}
"""Counter of each cause that is not the usual one."""

_LOGGED = (
    _Cause.AT_LIMIT,
    _Cause.OVERFLOW,
    _Cause.EXPIRED,
    _Cause.DISCARDED,
)
_DROPPED = (_Cause.EXPIRED, _Cause.DISCARDED)


class RequestGate:
    """Forwards callers' packets to a target in order of priority.

    Attributes:
        in_use: Whether packets must be passed to ``on_packet``.
    """

    def __init__(
        self,
        flows: held_flows.HeldFlows,
        route_of: collections.abc.Callable[[bytes], routes.Route | None],
        counts: counters.CounterSet,
        log: target_packets.LogDecision,
    ):
        """Starts inactive.

        Args:
            flows: Flows of the target.
            route_of: Returns the route of a flow key.
            counts: Counts decisions by cause.
            log: Logs decisions.
        """
        self.in_use = False
        self._is_active = False
        self._is_configured = False
        self._flows = flows
        self._route_of = route_of
        self._counts = counts
        self._log = log
        self._queue = request_queue.RequestQueue()

    @property
    def held_count(self) -> int:
        """Number of held requests."""
        return self._queue.held_count

    def set_priorities(self, priorities: tuple[int, ...]) -> None:
        """Sets which priorities compete for the target.

        Requests are held from now on if there are several priorities. If not,
        the next ``on_tick`` forwards those that are held.

        Args:
            priorities: The priorities, ascending.
        """
        self._is_active = len(priorities) > 1
        if self._is_active:
            self._queue.highest_priority = priorities[0]
        self.in_use = self.in_use or self._is_active
        self._flows.records_ends = self.in_use

    def configure(self, slots: int) -> None:
        """Sets the number of requests that the target serves at once.

        No request is held before: with too small a number, slots would idle.

        Args:
            slots: The number, at least 1.
        """
        self._is_configured = True
        self._queue.in_progress.configure(slots)

    def on_packet(
        self,
        segment: formats.Segment,
        data: bytes,
        flow: held_flow.HeldFlow,
        is_probe: bool,
        now: float,
    ) -> list[outcomes.Outcome]:
        """Forwards or holds a caller's packet of a recorded flow.

        Must be called for each packet with data or a reset, and for each packet
        of a flow with a held request.

        Packets without data pass held ones unless they close the flow: their
        acknowledgements keep the target from retransmitting earlier answers.

        Args:
            segment: Header of the packet.
            data: The packet.
            flow: Its flow.
            is_probe: Whether the balancer expects it to be returned if the
                target does not hold the flow; it is never held.
            now: Present time, seconds.

        Returns:
            What to send.
        """
        key = segment.key
        if flow.request_end is None:
            flow.request_end = flow.target_end
        start = flow.request_end
        is_new = segment.length > 0 and flow.record_new_data(segment)
        may_hold = self._is_active and self._is_configured and flow.is_open
        may_hold = may_hold and not is_probe and not segment.opens
        if segment.closes or segment.resets:
            flow.closing = True
        if segment.resets:
            sends = self._apply(
                self._queue.complete(key, now, _Ending.UNANSWERED), now
            )
            return [outcomes.ToTarget(data), *sends]
        if flow.request_queued and _belongs_to_held(segment, flow):
            return self._follow(segment, data, flow, is_probe, now)
        if is_new and flow.request_at is None:
            packet = held_requests.Packet(segment, data)
            flow.expect_answer(segment, start)
            return self._on_request(packet, flow, start, may_hold, now)
        if is_new:
            self._queue.in_progress.extend(key, now)
            self._flows.begin_request(key, flow, now)
        return [outcomes.ToTarget(data)]

    def _on_request(
        self,
        packet: held_requests.Packet,
        flow: held_flow.HeldFlow,
        start: int | None,
        may_hold: bool,
        now: float,
    ) -> list[outcomes.Outcome]:
        """Begins or holds a request.

        Args:
            packet: Its first packet.
            flow: Its flow.
            start: Sequence number before its data, None for any.
            may_hold: Whether it may be held.
            now: Present time, seconds.

        Returns:
            What to send.
        """
        key = packet.segment.key
        if not self._queue.begin_without_turn(key, now):
            if may_hold:
                return self._offer(packet, flow, start, now)
            self._queue.in_progress.begin(key, now)
        self._flows.begin_request(key, flow, now)
        return [outcomes.ToTarget(packet.data)]

    def _follow(
        self,
        segment: formats.Segment,
        data: bytes,
        flow: held_flow.HeldFlow,
        is_probe: bool,
        now: float,
    ) -> list[outcomes.Outcome]:
        """Holds a packet behind held ones, or forwards all if it can't wait."""
        if not is_probe and not segment.opens:
            packet = held_requests.Packet(segment, data)
            appended = self._queue.append(segment.key, packet, now)
            return self._apply(appended, now)
        sends = self._forward_held(segment.key, now)
        self._flows.begin_request(segment.key, flow, now)
        return [*sends, outcomes.ToTarget(data)]

    def _forward_held(self, key: bytes, now: float) -> list[outcomes.Outcome]:
        """Forwards the held request of a flow out of turn."""
        return self._apply([self._queue.release(key, now)], now)

    def _offer(
        self,
        packet: held_requests.Packet,
        flow: held_flow.HeldFlow,
        start: int | None,
        now: float,
    ) -> list[outcomes.Outcome]:
        """Begins or holds a request; ``start`` precedes its data."""
        key = packet.segment.key
        route = self._route_of(key) or _UNKNOWN_ROUTE
        releases = self._queue.offer(
            key,
            packet,
            route.priority,
            route.objective_ms / 1000,
            route.timeout_ms / 1000,
            now,
        )
        if self._queue.is_held(key):
            self._counts.add("request_held")
            self._flows.hold_request(key, flow, start, now)
        else:
            self._flows.begin_request(key, flow, now)
        return self._apply(releases, now)

    def on_ends(self, now: float) -> list[outcomes.Outcome]:
        """Forwards the next requests after the recorded ends of earlier ones.

        Args:
            now: Present time, seconds.

        Returns:
            What to send.
        """
        sends: list[outcomes.Outcome] = []
        ends = self._flows.ends
        self._flows.ends = []
        for end in ends:
            if not self._queue.held_count:
                self._queue.in_progress.end(end.key, end.ending, False)
                continue
            is_recorded = end.key in self._flows.by_key
            if is_recorded and self._queue.is_held(end.key):
                # The target has closed the flow: it decides on the rest.
                sends += self._forward_held(end.key, now)
            completed = self._queue.complete(end.key, now, end.ending)
            sends += self._apply(completed, now)
        return sends

    def on_tick(self, now: float) -> list[outcomes.Outcome]:
        """Applies the timeouts that have passed; flushes if inactive.

        Args:
            now: Present time, seconds.

        Returns:
            What to send.
        """
        sends = self.on_ends(now)
        if self._is_active:
            service_s = self._flows.workload.estimate.service_s
            self._queue.in_progress.service_s = service_s
            return sends + self._apply(self._queue.on_tick(now), now)
        sends += self._apply(self._queue.flush(now), now)
        self.in_use = self._flows.records_ends = False
        return sends

    def on_new_incarnation(self, now: float) -> None:
        """Drops all held requests: the target has lost their flows.

        Args:
            now: Present time, seconds.
        """
        self._apply(self._queue.drop_all(now), now)
        self._flows.ends.clear()

    def _apply(
        self, releases: list[request_releases.Release], now: float
    ) -> list[outcomes.Outcome]:
        """Updates the records of released requests; returns their packets."""
        sends: list[outcomes.Outcome] = []
        for release in releases:
            flow = self._flows.by_key.get(release.key)
            if flow is not None and flow.request_queued:
                if release.cause in _DROPPED:
                    self._flows.drop_held_request(flow, now)
                else:
                    self._flows.begin_held_request(release.key, flow, now)
            if release.cause is not _Cause.IN_TURN:
                self._report(release, now)
            sends += [outcomes.ToTarget(data) for data in release.packets]
        return sends

    def _report(self, release: request_releases.Release, now: float) -> None:
        """Counts a request that left out of turn; logs it if it was held."""
        self._counts.add(_COUNT_BY_CAUSE[release.cause])
        if release.cause not in _LOGGED or not release.held_s:
            return
        dropped = release.cause in _DROPPED
        self._log(
            "request",
            "dropped" if dropped else "passed",
            release.key,
            now,
            cause=release.cause.value,
            held_ms=round(release.held_s * 1000),
        )


_UNKNOWN_ROUTE = routes.Route("", b"", ())
"""Route of a flow that no route in force has: defaults and lowest priority."""


def _belongs_to_held(
    segment: formats.Segment, flow: held_flow.HeldFlow
) -> bool:
    """Returns whether a packet must not overtake the held data of its flow.

    Args:
        segment: Header of the packet.
        flow: Its flow, with a held request.
    """
    if segment.closes:
        return True
    if not segment.length:
        return False
    if flow.queued_from is None:
        return True
    end = (segment.sequence + segment.length) & sequences.MASK
    distance = (end - flow.queued_from - 1) & sequences.MASK
    return distance < sequences.HALF_RANGE
