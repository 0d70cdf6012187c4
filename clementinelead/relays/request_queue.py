"""When a request that arrives beside a target is forwarded to it.

Load pattern: requests of several priorities reach one target faster than it
serves them, most of them on flows that were opened long ago, which placement
cannot influence. The target serves requests in order of arrival and rejects
those that its own queue can't take. While it has enough to do, requests are
held here and forwarded in turn.
"""

from clementinelead.relays import held_requests
from clementinelead.relays import request_releases
from clementinelead.relays import requests_in_progress

__all__ = ["RequestQueue"]

LOWER_PRIORITY_SHARE = 0.75
"""Share of their objective in which lower priorities must be answered.

The rest is left for requests of higher priorities that arrive later and are
served before them.
"""

MIN_HELD_SHARE = 0.2
"""Share of its objective for which a request may be held at any target.

At a slow target the expected time exceeds the objective, and no request would
be held otherwise: priorities would have no effect.
"""

MAX_PACKETS_PER_REQUEST = 64
"""Most packets held of a request; callers have at most 16 in flight."""

MAX_PACKETS = 4_096
"""Most packets held, about 5 MB."""

TICK_MARGIN_S = 0.02
"""Longest interval of ``on_tick`` while requests are held, seconds.

The side process ticks every 10 ms then, and may be late.
"""

_Cause = request_releases.Cause
_Ending = requests_in_progress.Ending
_Release = request_releases.Release


class RequestQueue:
    """Requests in progress at one target, and requests held for it.

    A request is held while ``slots`` + 1 requests are in progress and all held
    requests can be answered in time. Otherwise requests overflow into the
    target's own queue. As long as that has space, the next request in turn goes
    there. Once it is full, the request that would come too late goes there to
    be rejected at once. If requests overflowed only after their objective, the
    target would serve just those, all of them late.

    Attributes:
        in_progress: Requests in progress at the target.
        highest_priority: Highest priority of the routes of the target's
            service, set by the owner of the queue.
    """

    def __init__(self, slots: int = 1):
        """Starts without requests.

        Args:
            slots: Requests that the target serves at once.
        """
        self.in_progress = requests_in_progress.RequestsInProgress(slots)
        self.highest_priority = 0
        self._held = held_requests.HeldRequests()

    @property
    def held_count(self) -> int:
        """Number of held requests."""
        return len(self._held.by_key)

    def is_held(self, key: bytes) -> bool:
        """Returns whether a request of a flow is held.

        Args:
            key: Flow key.
        """
        return key in self._held.by_key

    def begin_without_turn(self, key: bytes, now: float) -> bool:
        """Begins a request if there is room and no turn to count.

        Args:
            key: Flow key.
            now: Present time, seconds.

        Returns:
            Whether the request is to be forwarded now; otherwise it is offered.
        """
        if not self.in_progress.has_room or self._held.counts_turns:
            return False
        self.in_progress.begin(key, now)
        return True

    def offer(
        self,
        key: bytes,
        packet: held_requests.Packet,
        priority: int,
        objective_s: float,
        timeout_s: float,
        now: float,
    ) -> list[_Release]:
        """Holds the first packet of a request, or begins the request.

        Args:
            key: Flow key, with no request held or in progress.
            packet: The packet.
            priority: Priority of its route, 0 is served first.
            objective_s: Latency objective of its route, seconds.
            timeout_s: Time after which its caller gives up, seconds.
            now: Present time, seconds.

        Returns:
            Requests to forward now: this one, or another one in its place.
        """
        if self.in_progress.has_room:
            self._held.note_forwarded(priority)
            return [self._pass(key, packet, _Cause.IN_TURN, now)]
        if objective_s <= TICK_MARGIN_S:
            return [self._pass(key, packet, _Cause.AT_LIMIT, now)]
        if self._held.packet_count >= MAX_PACKETS:
            return [self._pass(key, packet, _Cause.NO_SPACE, now)]
        may_wait = self._held.is_due(priority)
        may_wait = may_wait or self._can_be_in_time(priority, objective_s)
        if not may_wait and self.in_progress.is_full:
            self._held.note_refused(priority)
            return [self._pass(key, packet, _Cause.OVERFLOW, now)]
        data_by_position = {packet.position: packet.data}
        request = held_requests.HeldRequest(
            key, priority, objective_s, timeout_s, now, data_by_position
        )
        self._held.add(request)
        if may_wait:
            return []
        if self.in_progress.has_rejected:
            self._held.mark_overdue(request)
        self.in_progress.make_room()
        return self._forward_in_turn(now)

    def append(
        self, key: bytes, packet: held_requests.Packet, now: float
    ) -> list[_Release]:
        """Adds a packet to a held request; drops copies of held packets.

        Args:
            key: Flow key of a held request.
            packet: The packet.
            now: Present time, seconds.

        Returns:
            The whole request if there is no space for the packet.
        """
        request = self._held.by_key[key]
        if packet.position in request.data_by_position:
            return []
        has_space = (
            len(request.data_by_position) < MAX_PACKETS_PER_REQUEST
            and self._held.packet_count < MAX_PACKETS
        )
        self._held.add_packet(request, packet)
        if has_space:
            return []
        self._held.remove(request)
        return [self._forward(request, _Cause.NO_SPACE, now)]

    def release(self, key: bytes, now: float) -> _Release:
        """Begins a held request out of turn.

        Args:
            key: Flow key of a held request.
            now: Present time, seconds.
        """
        request = self._held.by_key[key]
        self._held.remove(request)
        return self._forward(request, _Cause.OUT_OF_TURN, now)

    def complete(
        self,
        key: bytes,
        now: float,
        ending: _Ending = _Ending.SERVED,
    ) -> list[_Release]:
        """Ends the request of a flow; drops it if it is held.

        Args:
            key: Flow key.
            now: Present time, seconds.
            ending: How the request ends.

        Returns:
            The dropped request, and those to forward now.
        """
        request = self._held.by_key.get(key)
        if request is not None:
            self._held.remove(request)
            return [request_releases.dropped(request, _Cause.DISCARDED, now)]
        if not self.in_progress.end(key, ending, self.held_count > 0):
            return []
        return self._forward_in_turn(now)

    def on_tick(self, now: float) -> list[_Release]:
        """Applies the timeouts that have passed.

        A request that would not be answered in time if it were held longer is
        forwarded: the target's own queue decides on it.

        Args:
            now: Present time, seconds.

        Returns:
            The requests to forward now, and those dropped.
        """
        self.in_progress.end_unanswered(now, self.held_count > 0)
        remaining_s = self.in_progress.expected_s(0) + TICK_MARGIN_S
        releases = []
        for priority in self._held.priorities():
            if priority == held_requests.OVERDUE_PRIORITY:
                remaining_s = 0.0  # late in any case
            while (request := self._held.head(priority)) is not None:
                if now < _forward_at(request, remaining_s):
                    break
                releases += self._end_wait(request, now)
        return releases + self._forward_in_turn(now)

    def flush(self, now: float) -> list[_Release]:
        """Removes all requests, and returns those held in order of priority.

        Args:
            now: Present time, seconds.
        """
        releases = []
        for priority in self._held.priorities():
            releases += self._forward_all(priority, _Cause.FLUSHED, now)
        self.in_progress.clear()
        return releases

    def drop_all(self, now: float) -> list[_Release]:
        """Removes all requests, and returns those held as dropped.

        Args:
            now: Present time, seconds.
        """
        releases = [
            request_releases.dropped(request, _Cause.DISCARDED, now)
            for request in self._held.by_key.values()
        ]
        self._held.clear()
        self.in_progress.clear()
        return releases

    def _can_be_in_time(self, priority: int, objective_s: float) -> bool:
        """Returns whether a new request can be held and answered in time."""
        before = self._held.count_before(priority)
        expected_s = self.in_progress.expected_s(before)
        if priority <= self.highest_priority:
            return expected_s <= objective_s - TICK_MARGIN_S
        return expected_s <= LOWER_PRIORITY_SHARE * objective_s

    def _forward_in_turn(self, now: float) -> list[_Release]:
        """Begins held requests while there is room; drops expired ones.

        If the target is full then, it gets the overdue ones to reject them.
        """
        releases = []
        while self.in_progress.has_room:
            request = self._held.take_turn()
            if request is None:
                break
            if request.has_expired(now):
                expired = request_releases.dropped(request, _Cause.EXPIRED, now)
                releases.append(expired)
                continue
            self._held.note_forwarded(request.priority)
            releases.append(self._forward(request, _Cause.IN_TURN, now))
        if self.in_progress.is_full:
            releases += self._forward_all(
                held_requests.OVERDUE_PRIORITY, _Cause.OVERFLOW, now
            )
        return releases

    def _forward_all(
        self, priority: int, cause: _Cause, now: float
    ) -> list[_Release]:
        """Begins all held requests of a priority."""
        releases = []
        while (request := self._held.head(priority)) is not None:
            self._held.remove(request)
            releases.append(self._forward(request, cause, now))
        return releases

    def _end_wait(
        self, request: held_requests.HeldRequest, now: float
    ) -> list[_Release]:
        """Handles a request that can no longer be answered in time.

        At a target that rejects requests it waits for the moment at which the
        target rejects it: served late it would delay others.
        """
        is_overdue = request.priority == held_requests.OVERDUE_PRIORITY
        if self.in_progress.has_rejected and not is_overdue:
            self._held.mark_overdue(request)
            return []
        self._held.remove(request)
        if request.has_expired(now):
            return [request_releases.dropped(request, _Cause.EXPIRED, now)]
        self._held.note_forwarded(request.priority)
        self.in_progress.begin_beyond_limit(request.key, now)
        return [request_releases.forwarded(request, _Cause.AT_LIMIT, now)]

    def _pass(
        self,
        key: bytes,
        packet: held_requests.Packet,
        cause: _Cause,
        now: float,
    ) -> _Release:
        """Begins a request that is not held."""
        self.in_progress.begin(key, now)
        return _Release(key, (packet.data,), cause)

    def _forward(
        self,
        request: held_requests.HeldRequest,
        cause: _Cause,
        now: float,
    ) -> _Release:
        """Begins a request that has been held."""
        self.in_progress.begin(request.key, now)
        return request_releases.forwarded(request, cause, now)


def _forward_at(
    request: held_requests.HeldRequest, remaining_s: float
) -> float:
    """Returns the latest time at which a request is forwarded, seconds.

    It is early enough for the next tick, and never after the objective.

    Args:
        request: The request.
        remaining_s: Expected time from then to its answer, seconds.
    """
    objective_s = request.objective_s
    useful_s = objective_s - remaining_s
    held_s = max(useful_s, MIN_HELD_SHARE * objective_s)
    held_s = min(held_s, objective_s - TICK_MARGIN_S, request.timeout_s)
    return request.arrived_at + held_s
