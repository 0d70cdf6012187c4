"""Order in which requests reach a target that several priorities compete for.

Load pattern: requests reach one target faster than it serves them, most of
them on flows that were opened long ago, which placement cannot influence. The
target serves requests in order of arrival, and rejects them when its own queue
is full. While it has enough to do, requests are held here and forwarded by
priority.
"""

import collections
import enum
import heapq

import msgspec

from clementinelead.relays import formats

__all__ = ["Packet", "Release", "ReleaseCause", "RequestQueue"]

SPARE_REQUESTS = 1
"""Requests in progress beyond the slots, so that no slot waits for the next.

Without one, a slot would be idle from an answer to the arrival of the request
that is forwarded upon it.
"""

MAX_CONSECUTIVE = 3
"""Requests of a priority in succession while lower priorities wait.

The next one is of a lower priority, so that none starves.
"""

MAX_PACKETS_PER_REQUEST = 64
"""Most packets held of a request; callers have at most 16 in flight."""

MAX_PACKETS = 4_096
"""Most packets held, about 5 MB."""

MIN_HELD_SHARE = 0.2
"""Share of its objective for which a request may be held at any target.

At a slow target the expected time exceeds the objective, and no request would
be held otherwise: priorities would have no effect.
"""

TICK_INTERVAL_S = 0.01
"""Longest interval of ``on_tick`` while requests are held, seconds."""

IN_PROGRESS_TIMEOUT_S = 5.0
"""Time after which an unanswered request is no longer in progress, seconds."""

MIN_COMPACTION = 64
"""Entries of discarded requests from which the heaps are rebuilt."""


class Packet(msgspec.Struct, frozen=True):
    """A packet of a caller.

    Attributes:
        segment: Its header.
        data: The packet as it was received.
    """

    segment: formats.Segment
    data: bytes

    @property
    def position(self) -> tuple[int, int, bool]:
        """What the packet carries; equal for copies of a packet."""
        segment = self.segment
        return (segment.sequence, segment.length, segment.closes)


class ReleaseCause(enum.Enum):
    """Why a request is no longer held."""

    IN_TURN = "in turn"
    AT_LIMIT = "at limit"  # could not be answered in time if held longer
    OVERFLOW = "overflow"  # the target is full, and it would come too late
    NO_SPACE = "no space"  # too many packets are held
    OUT_OF_TURN = "out of turn"  # another packet of the flow can't wait
    FLUSHED = "flushed"  # nothing is held from now on
    EXPIRED = "expired"  # dropped: its time budget has passed
    DISCARDED = "discarded"  # dropped: its flow has ended


class Release(msgspec.Struct, frozen=True):
    """A request that is not, or no longer, held.

    Attributes:
        key: Flow key.
        packets: Packets to forward now, in order; empty if it is dropped.
        cause: Why it is released.
        held_s: Time for which it was held, seconds.
    """

    key: bytes
    packets: tuple[bytes, ...]
    cause: ReleaseCause = ReleaseCause.IN_TURN
    held_s: float = 0.0


class _HeldRequest(msgspec.Struct, eq=False):
    """A held request.

    Attributes:
        key: Flow key.
        priority: Priority of its route.
        arrived_at: Arrival of its first packet, seconds.
        objective_s: Latency objective of its route, seconds.
        timeout_s: Time after which its caller gives up, seconds.
        data_by_position: Its packets in order of arrival.
    """

    key: bytes
    priority: int
    arrived_at: float
    objective_s: float
    timeout_s: float
    data_by_position: dict[tuple[int, int, bool], bytes]

    def release(self, cause: ReleaseCause, now: float) -> Release:
        """Returns the release of all packets."""
        packets = tuple(self.data_by_position.values())
        return Release(self.key, packets, cause, now - self.arrived_at)

    def drop(self, cause: ReleaseCause, now: float) -> Release:
        """Returns the release without packets."""
        return Release(self.key, (), cause, now - self.arrived_at)


# Deadline, order of arrival, request.
_Entry = tuple[float, int, _HeldRequest]


class RequestQueue:
    """Requests in progress at one target, and requests held for it.

    A request is held while ``limit`` requests are in progress. The limit is
    ``slots`` + 1 as long as all held requests can be answered in time.

    Otherwise requests overflow into the target's own queue, which rejects what
    it can't take. As long as it has space, the next request in turn goes
    there, and the limit rises with it. Once it is full, the request that would
    come too late goes there to be rejected at once. If held requests overflowed
    only after their objective, the target would serve just those, all late.

    Attributes:
        limit: Requests in progress from which further ones are held.
        service_s: Expected service time at the target, seconds, set by the
            owner of the queue.
    """

    def __init__(self, slots: int = 1):
        """Starts without requests.

        Args:
            slots: Requests that the target serves at once.
        """
        self._slots = slots
        self.limit = slots + SPARE_REQUESTS
        self.service_s = 0.0
        self._capacity: int | None = None  # in progress at a rejection
        self._deadline_by_key: dict[bytes, float] = {}  # in progress, by time
        self._held_by_key: dict[bytes, _HeldRequest] = {}
        self._heap_by_priority: dict[int, list[_Entry]] = {}
        self._consecutive_by_priority: collections.Counter[int] = (
            collections.Counter()
        )
        self._held_by_priority: collections.Counter[int] = collections.Counter()
        self._packet_count = 0
        self._arrivals = 0
        self._outdated_entries = 0

    @property
    def held_count(self) -> int:
        """Number of held requests."""
        return len(self._held_by_key)

    @property
    def in_progress_count(self) -> int:
        """Number of requests in progress at the target."""
        return len(self._deadline_by_key)

    def is_held(self, key: bytes) -> bool:
        """Returns whether a request of a flow is held.

        Args:
            key: Flow key.
        """
        return key in self._held_by_key

    def configure(self, slots: int) -> None:
        """Sets the number of requests that the target serves at once.

        Args:
            slots: The number, at least 1.
        """
        self._slots = slots
        self.limit = slots + SPARE_REQUESTS
        self._capacity = None

    def begin(self, key: bytes, now: float) -> None:
        """Counts a request that is forwarded without being held.

        Args:
            key: Flow key.
            now: Present time, seconds.
        """
        self._deadline_by_key.pop(key, None)
        self._deadline_by_key[key] = now + IN_PROGRESS_TIMEOUT_S

    def offer(
        self,
        key: bytes,
        packet: Packet,
        priority: int,
        objective_s: float,
        timeout_s: float,
        now: float,
    ) -> list[Release]:
        """Holds the first packet of a request, or begins the request.

        Args:
            key: Flow key, with no request held.
            packet: The packet.
            priority: Priority of its route, 0 is served first.
            objective_s: Latency objective of its route, seconds.
            timeout_s: Time after which its caller gives up, seconds.
            now: Present time, seconds.

        Returns:
            The request if it is to be forwarded now.
        """
        has_room = len(self._deadline_by_key) < self.limit
        has_space = self._packet_count < MAX_PACKETS
        if has_room or not has_space or objective_s <= TICK_INTERVAL_S:
            self.begin(key, now)
            cause = (
                ReleaseCause.IN_TURN
                if has_room or has_space
                else ReleaseCause.NO_SPACE
            )
            return [Release(key, (packet.data,), cause)]
        fits = self._expected_s(priority) <= objective_s - TICK_INTERVAL_S
        if not fits and self._target_is_full():
            self.begin(key, now)
            return [Release(key, (packet.data,), ReleaseCause.OVERFLOW)]
        self._hold(
            _HeldRequest(
                key,
                priority,
                now,
                objective_s,
                timeout_s,
                {packet.position: packet.data},
            )
        )
        if fits:
            return []
        self.limit = len(self._deadline_by_key) + 1
        return self._forward_in_turn(now)

    def _hold(self, request: _HeldRequest) -> None:
        """Adds a request to those held."""
        self._held_by_key[request.key] = request
        self._held_by_priority[request.priority] += 1
        self._packet_count += 1
        self._arrivals += 1
        deadline = request.arrived_at + request.objective_s
        heap = self._heap_by_priority.setdefault(request.priority, [])
        heapq.heappush(heap, (deadline, self._arrivals, request))

    def _expected_s(self, priority: int) -> float:
        """Returns the time to the answer of a new request, seconds."""
        ahead = behind = 0
        for other, count in self._held_by_priority.items():
            if other <= priority:
                ahead += count
            else:
                behind += count
        if behind:
            ahead += ahead // MAX_CONSECUTIVE
        requests = len(self._deadline_by_key) + ahead + 1
        return requests * self.service_s / self._slots

    def _target_is_full(self) -> bool:
        """Returns whether the target is expected to reject a request."""
        in_progress = len(self._deadline_by_key)
        return self._capacity is not None and in_progress >= self._capacity

    def append(self, key: bytes, packet: Packet, now: float) -> list[Release]:
        """Adds a packet to a held request; drops copies of held packets.

        Args:
            key: Flow key of a held request.
            packet: The packet.
            now: Present time, seconds.

        Returns:
            The whole request if there is no space for the packet.
        """
        request = self._held_by_key[key]
        if packet.position in request.data_by_position:
            return []
        is_full = (
            len(request.data_by_position) >= MAX_PACKETS_PER_REQUEST
            or self._packet_count >= MAX_PACKETS
        )
        request.data_by_position[packet.position] = packet.data
        self._packet_count += 1
        if not is_full:
            return []
        self._outdated_entries += 1
        return [self._forward(request, ReleaseCause.NO_SPACE, now)]

    def release(self, key: bytes, now: float) -> Release:
        """Begins a held request out of turn.

        Args:
            key: Flow key of a held request.
            now: Present time, seconds.
        """
        self._outdated_entries += 1
        request = self._held_by_key[key]
        return self._forward(request, ReleaseCause.OUT_OF_TURN, now)

    def complete(
        self, key: bytes, now: float, rejected: bool = False
    ) -> list[Release]:
        """Ends the request of a flow, and drops it if it is held.

        Args:
            key: Flow key.
            now: Present time, seconds.
            rejected: Whether the target has answered without serving it.

        Returns:
            The dropped request, and those to forward now.
        """
        releases = []
        if key in self._held_by_key:
            releases.append(self._discard(key, now))
        in_progress = len(self._deadline_by_key)
        if self._deadline_by_key.pop(key, None) is None:
            return releases
        if rejected:
            self._capacity = max(self._min_limit, in_progress - 1)
        elif self._capacity is not None and in_progress > self._capacity:
            self._capacity = in_progress
        self._adapt_limit(rejected)
        return releases + self._forward_in_turn(now)

    def on_tick(self, now: float) -> list[Release]:
        """Applies the timeouts that have passed.

        A request is forwarded at the time from which it could no longer be
        answered within its objective: the target's own queue decides then.

        Args:
            now: Present time, seconds.

        Returns:
            The requests to forward now, and those dropped.
        """
        self._end_unanswered(now)
        if not self._held_by_key:
            return []
        in_progress = len(self._deadline_by_key)
        remaining_s = (in_progress + 1) * self.service_s / self._slots
        remaining_s += TICK_INTERVAL_S
        releases = []
        for priority in sorted(self._heap_by_priority):
            while (request := self._head(priority)) is not None:
                if now < _forward_at(request, remaining_s):
                    break
                heapq.heappop(self._heap_by_priority[priority])
                releases.append(self._end_hold(request, now))
        return releases + self._forward_in_turn(now)

    def flush(self, now: float) -> list[Release]:
        """Returns all held requests in order of priority; holds none.

        Args:
            now: Present time, seconds.
        """
        releases = []
        for priority in sorted(self._heap_by_priority):
            while (request := self._head(priority)) is not None:
                heapq.heappop(self._heap_by_priority[priority])
                releases.append(
                    self._forward(request, ReleaseCause.FLUSHED, now)
                )
        self._clear()
        return releases

    def drop_all(self, now: float) -> list[Release]:
        """Returns all held requests as dropped, and ends those in progress.

        Args:
            now: Present time, seconds.
        """
        releases = [
            request.drop(ReleaseCause.DISCARDED, now)
            for request in self._held_by_key.values()
        ]
        self._clear()
        return releases

    def _clear(self) -> None:
        """Removes all requests."""
        self._deadline_by_key.clear()
        self._held_by_key.clear()
        self._heap_by_priority.clear()
        self._held_by_priority.clear()
        self._consecutive_by_priority.clear()
        self._packet_count = 0
        self._outdated_entries = 0
        self.limit = self._min_limit

    @property
    def _min_limit(self) -> int:
        return self._slots + SPARE_REQUESTS

    def _end_unanswered(self, now: float) -> None:
        """Ends the requests whose answer takes too long."""
        while self._deadline_by_key:
            key = next(iter(self._deadline_by_key))
            if self._deadline_by_key[key] > now:
                return
            del self._deadline_by_key[key]
            self._adapt_limit(rejected=False)

    def _adapt_limit(self, rejected: bool) -> None:
        """Sets the limit after the end of a request.

        A rejection shows that the target's queue is full with the requests
        that are left. While nothing waits, the limit returns to its minimum.
        """
        if rejected or not self._held_by_key:
            in_progress = len(self._deadline_by_key)
            self.limit = max(self._min_limit, min(self.limit, in_progress))

    def _forward_in_turn(self, now: float) -> list[Release]:
        """Begins held requests while there is room."""
        releases = []
        while self._held_by_key and len(self._deadline_by_key) < self.limit:
            heap = self._heap_by_priority[self._next_priority()]
            _, _, request = heapq.heappop(heap)
            if _has_expired(request, now):
                releases.append(self._expire(request, now))
            else:
                release = self._forward(request, ReleaseCause.IN_TURN, now)
                releases.append(release)
        return releases

    def _next_priority(self) -> int:
        """Returns the priority whose turn it is; a request must be held."""
        waiting = [
            priority
            for priority in sorted(self._heap_by_priority)
            if self._head(priority) is not None
        ]
        for priority in waiting[:-1]:
            if self._consecutive_by_priority[priority] < MAX_CONSECUTIVE:
                self._consecutive_by_priority[priority] += 1
                return priority
            self._consecutive_by_priority[priority] = 0
        return waiting[-1]

    def _head(self, priority: int) -> _HeldRequest | None:
        """Returns the request of a priority that is due first, if any."""
        heap = self._heap_by_priority[priority]
        while heap:
            request = heap[0][2]
            if self._held_by_key.get(request.key) is request:
                return request
            heapq.heappop(heap)
            self._outdated_entries -= 1
        return None

    def _end_hold(self, request: _HeldRequest, now: float) -> Release:
        """Forwards or drops a request that can't be held any longer."""
        if _has_expired(request, now):
            return self._expire(request, now)
        release = self._forward(request, ReleaseCause.AT_LIMIT, now)
        self.limit = max(self.limit, len(self._deadline_by_key))
        return release

    def _expire(self, request: _HeldRequest, now: float) -> Release:
        """Drops a request whose time budget has passed."""
        self._remove(request)
        return request.drop(ReleaseCause.EXPIRED, now)

    def _forward(
        self, request: _HeldRequest, cause: ReleaseCause, now: float
    ) -> Release:
        """Begins a held request."""
        self._remove(request)
        self.begin(request.key, now)
        return request.release(cause, now)

    def _discard(self, key: bytes, now: float) -> Release:
        """Drops a held request whose flow has ended."""
        request = self._held_by_key[key]
        self._outdated_entries += 1
        self._remove(request)
        return request.drop(ReleaseCause.DISCARDED, now)

    def _remove(self, request: _HeldRequest) -> None:
        """Removes a request that is held; its heap entry may remain."""
        del self._held_by_key[request.key]
        self._held_by_priority[request.priority] -= 1
        self._packet_count -= len(request.data_by_position)
        if self._outdated_entries > MIN_COMPACTION + len(self._held_by_key):
            self._compact()

    def _compact(self) -> None:
        """Rebuilds the heaps without the entries of discarded requests."""
        for priority, heap in list(self._heap_by_priority.items()):
            kept = [
                entry
                for entry in heap
                if self._held_by_key.get(entry[2].key) is entry[2]
            ]
            heapq.heapify(kept)
            self._heap_by_priority[priority] = kept
        self._outdated_entries = 0


def _has_expired(request: _HeldRequest, now: float) -> bool:
    """Returns whether the caller of a request has given up."""
    return now - request.arrived_at >= request.timeout_s


def _forward_at(request: _HeldRequest, remaining_s: float) -> float:
    """Returns the latest time at which a request is forwarded, seconds.

    Args:
        request: The request.
        remaining_s: Expected time from then to its answer, seconds.
    """
    objective_s = request.objective_s
    reserved_s = min(remaining_s, (1.0 - MIN_HELD_SHARE) * objective_s)
    held_s = min(
        objective_s - max(reserved_s, TICK_INTERVAL_S), request.timeout_s
    )
    return request.arrived_at + held_s
