"""Requests that wait beside a target, and the order of their turns.

Highest priority first; within a priority, earliest deadline first. Lower
priorities get every fourth turn, so that none starves. Requests that can no
longer be answered in time have their turn when no other one waits.
"""

import collections
import heapq

import msgspec

from clementinelead.relays import formats

__all__ = ["OVERDUE_PRIORITY", "HeldRequest", "HeldRequests", "Packet"]

MAX_CONSECUTIVE = 3
"""Turns of a priority in succession while lower priorities wait."""

OVERDUE_PRIORITY = 256
"""Stands for the priority of requests that can no longer be in time."""

MAX_OUTDATED_ENTRIES = 64
"""Entries of removed requests, beyond one for each held request, in the heaps.

Requests are removed out of turn when their flows end; with more entries the
heaps are rebuilt.
"""


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


class HeldRequest(msgspec.Struct, eq=False):
    """A request whose packets are held.

    Attributes:
        key: Flow key.
        priority: Priority of its route, 0 is served first, or
            ``OVERDUE_PRIORITY``.
        objective_s: Latency objective of its route, seconds.
        timeout_s: Time after which its caller gives up, seconds.
        arrived_at: Arrival of its first packet, seconds.
        data_by_position: Its packets in order of arrival.
    """

    key: bytes
    priority: int
    objective_s: float
    timeout_s: float
    arrived_at: float
    data_by_position: dict[tuple[int, int, bool], bytes]

    @property
    def deadline(self) -> float:
        """Time by which it is to be answered, seconds."""
        return self.arrived_at + self.objective_s

    def has_expired(self, now: float) -> bool:
        """Returns whether its caller has given up.

        Args:
            now: Present time, seconds.
        """
        return now - self.arrived_at >= self.timeout_s


# Deadline, number of the arrival, request.
_Entry = tuple[float, int, HeldRequest]


class HeldRequests:
    """Held requests by flow key and in order of their turns.

    Attributes:
        by_key: The requests by flow key.
        packet_count: Number of their packets.
    """

    def __init__(self) -> None:
        self.by_key: dict[bytes, HeldRequest] = {}
        self.packet_count = 0
        self._heap_by_priority: dict[int, list[_Entry]] = {}
        self._count_by_priority: dict[int, int] = {}
        # Turns since one of a lower priority.
        self._turns_by_priority: collections.Counter[int] = (
            collections.Counter()
        )
        self._arrivals = 0
        self._lowest_refused = -1
        self._outdated_entries = 0

    def add(self, request: HeldRequest) -> None:
        """Adds a request.

        Args:
            request: The request; its flow has no other one here.
        """
        priority = request.priority
        self.by_key[request.key] = request
        self.packet_count += len(request.data_by_position)
        heap = self._heap_by_priority.setdefault(priority, [])
        self._arrivals += 1
        heapq.heappush(heap, (request.deadline, self._arrivals, request))
        count = self._count_by_priority.get(priority, 0)
        self._count_by_priority[priority] = count + 1

    def add_packet(self, request: HeldRequest, packet: Packet) -> None:
        """Adds a packet to a request.

        Args:
            request: A held request.
            packet: The packet, not held yet.
        """
        request.data_by_position[packet.position] = packet.data
        self.packet_count += 1

    def remove(self, request: HeldRequest) -> None:
        """Removes a request.

        Args:
            request: A held request.
        """
        del self.by_key[request.key]
        self.packet_count -= len(request.data_by_position)
        self._count_by_priority[request.priority] -= 1
        self._outdated_entries += 1
        allowed = MAX_OUTDATED_ENTRIES + len(self.by_key)
        if self._outdated_entries > allowed:
            self._rebuild()

    def mark_overdue(self, request: HeldRequest) -> None:
        """Moves a request behind those that can be answered in time.

        Args:
            request: A held request.
        """
        self.note_refused(request.priority)
        self.remove(request)
        self.add(msgspec.structs.replace(request, priority=OVERDUE_PRIORITY))

    def clear(self) -> None:
        """Removes all requests."""
        self.by_key.clear()
        self.packet_count = 0
        self._count_by_priority.clear()
        self._rebuild()

    def priorities(self) -> list[int]:
        """Returns the priorities of which a request is held, ascending.

        ``OVERDUE_PRIORITY`` is the last one.
        """
        return sorted(
            priority
            for priority, count in self._count_by_priority.items()
            if count
        )

    def head(self, priority: int) -> HeldRequest | None:
        """Returns the request of a priority with the earliest deadline.

        Args:
            priority: The priority.
        """
        heap = self._heap_by_priority.get(priority, [])
        while heap:
            request = heap[0][2]
            if self.by_key.get(request.key) is request:
                return request
            heapq.heappop(heap)
            self._outdated_entries -= 1
        return None

    def take_turn(self) -> HeldRequest | None:
        """Removes and returns the request whose turn it is, if any."""
        waiting = self.priorities()
        if not waiting:
            return None
        request = self.head(self._priority_in_turn(waiting))
        assert request is not None, "a count differs from its heap"
        self.remove(request)
        return request

    def _priority_in_turn(self, waiting: list[int]) -> int:
        """Returns the priority of the next turn, and counts the turn.

        Args:
            waiting: Priorities of which a request is held, ascending.
        """
        if waiting[-1] == OVERDUE_PRIORITY and len(waiting) > 1:
            waiting = waiting[:-1]
        for priority in waiting:
            lower_wants = priority < max(waiting[-1], self._lowest_refused)
            if not lower_wants:
                return priority
            if self._turns_by_priority[priority] < MAX_CONSECUTIVE:
                self._turns_by_priority[priority] += 1
                return priority
        return waiting[-1]

    @property
    def counts_turns(self) -> bool:
        """Whether a priority has had turns that lower ones waited for."""
        return bool(self._turns_by_priority)

    def note_refused(self, priority: int) -> None:
        """Records that a request found no place, as if it waited for a turn.

        Args:
            priority: Its priority.
        """
        self._lowest_refused = max(self._lowest_refused, priority)

    def note_forwarded(self, priority: int) -> None:
        """Counts a request as a turn of its priority.

        Args:
            priority: Its priority.
        """
        if priority >= self._lowest_refused:
            self._lowest_refused = -1
        turns = self._turns_by_priority
        for higher in [other for other in turns if other < priority]:
            del turns[higher]

    def is_due(self, priority: int) -> bool:
        """Returns whether a new request has the next turn.

        So it is if a higher priority has had its turns in succession and no
        other request waits for this one. A priority whose requests are refused
        because higher ones fill the target would starve otherwise.

        Args:
            priority: Priority of the request.
        """
        if self._count_by_priority.get(priority):
            return False
        return any(
            turns >= MAX_CONSECUTIVE and other < priority
            for other, turns in self._turns_by_priority.items()
        )

    def count_before(self, priority: int) -> int:
        """Returns the number of requests whose turn is before a new one's.

        Args:
            priority: Priority of the new request.
        """
        ahead = behind = 0
        for other, count in self._count_by_priority.items():
            if other <= priority:
                ahead += count
            elif other != OVERDUE_PRIORITY:
                behind += count
        return ahead + min(behind, ahead // MAX_CONSECUTIVE)

    def _rebuild(self) -> None:
        """Rebuilds the heaps without the entries of removed requests."""
        for priority, heap in list(self._heap_by_priority.items()):
            kept = [
                entry
                for entry in heap
                if self.by_key.get(entry[2].key) is entry[2]
            ]
            heapq.heapify(kept)
            self._heap_by_priority[priority] = kept
        self._outdated_entries = 0
