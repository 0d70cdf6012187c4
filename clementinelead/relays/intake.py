"""The order in which a balancer processes the datagrams that it has received.

Load pattern: datagrams arrive faster than the process handles them, as after a
restart during a burst, when callers retransmit their packets. Replies of side
processes that stay unread then look like missing ones, and the queries repeated
for that reason are further load, which keeps the process overloaded. Therefore
replies are read before the timers, which detect missing replies, and before the
packets of callers. Packets of open flows are processed before opening packets.

While it is behind, a balancer processes the newest opening packets first and
retransmitted ones last, because the flows of the new ones can still meet their
latency objectives.
"""

import collections
import typing

import msgspec

from clementinelead.relays import formats
from clementinelead.relays import opening_retransmissions
from clementinelead.relays import outcomes
from clementinelead.relays import steering
from clementinelead.telemetry import counters

__all__ = ["ACTIVE_TICK_INTERVAL_S", "DatagramSource", "Intake"]

ACTIVE_TICK_INTERVAL_S = 0.004
"""Interval of ``Steering.on_tick`` while a flow is pending, seconds."""

POLL_INTERVAL_S = 0.002
"""Time until an empty source is read again without notice, seconds."""

BEHIND_AFTER_S = 0.02
"""Age of a queued opening packet from which a process is behind, seconds."""

MAX_OPENING_WAIT_S = opening_retransmissions.FIRST_RETRANSMISSION_S
"""Age at which a queued opening packet is dropped, seconds.

Its caller has retransmitted it by then.
"""

MAX_QUEUED_PACKETS = 1_024
"""Capacity of each queue, packets; the oldest packets are dropped first."""

_Datagram = tuple[bytes, tuple[str, int]]


class _QueuedPacket(msgspec.Struct, frozen=True):
    """A caller's packet that has not been processed.

    Attributes:
        data: The packet.
        segment: Its header, None if it is malformed.
        read_at: Time when it was read, seconds.
    """

    data: bytes
    segment: formats.Segment | None
    read_at: float


_Queue = collections.deque[_QueuedPacket]


class DatagramSource(typing.Protocol):
    """A non-blocking source of received datagrams."""

    def receive(self) -> _Datagram | None:
        """Returns the next datagram and its sender, None if there is none."""


class Intake:
    """Passes datagrams to the decisions in order of priority.

    Attributes:
        counts: Opening packets dropped or processed out of order, by cause.
        behind: Whether a queued opening packet is ``BEHIND_AFTER_S`` old or
            older.
    """

    def __init__(
        self,
        decisions: steering.Steering,
        packet_format: formats.PacketFormat,
        peers: DatagramSource,
        callers: DatagramSource,
    ):
        """Starts with empty queues.

        Args:
            decisions: Receives the datagrams and ticks.
            packet_format: Format of the callers' packets.
            peers: Source of side processes' datagrams.
            callers: Source of callers' packets.
        """
        self.counts = counters.CounterSet()
        self.behind = False
        self._decisions = decisions
        self._format = packet_format
        self._peers = peers
        self._callers = callers
        self._next_peers_read = 0.0
        self._next_callers_read = 0.0
        self._next_tick = 0.0
        self._open_flow_queue: _Queue = collections.deque(
            maxlen=MAX_QUEUED_PACKETS
        )
        self._opening_queue: _Queue = collections.deque(
            maxlen=MAX_QUEUED_PACKETS
        )
        self._retransmitted_queue: _Queue = collections.deque(
            maxlen=MAX_QUEUED_PACKETS
        )

    @property
    def backlog(self) -> int:
        """Number of callers' packets that have been read but not processed."""
        opening = len(self._opening_queue) + len(self._retransmitted_queue)
        return len(self._open_flow_queue) + opening

    def on_readable(self) -> None:
        """Schedules both sources to be read without waiting for the poll."""
        self._next_peers_read = 0.0
        self._next_callers_read = 0.0

    def process_next(self, now: float) -> list[outcomes.Outcome] | None:
        """Processes the datagram or tick of the highest priority.

        Args:
            now: Present time, seconds.

        Returns:
            What to send, None if there is nothing to process now.
        """
        if now >= self._next_peers_read:
            datagram = self._peers.receive()
            if datagram is not None:
                data, source = datagram
                return self._decisions.on_frame(data, source, now)
            self._next_peers_read = now + POLL_INTERVAL_S
        if now >= self._next_tick and self._decisions.busy:
            self._next_tick = now + ACTIVE_TICK_INTERVAL_S
            return self._decisions.on_tick(now)
        if now >= self._next_callers_read:
            self._read_callers(now)
        self._drop_expired(now)
        packet = self._pop_next()
        if packet is None:
            return None
        return self._decisions.on_segment(packet.segment, packet.data, now)

    def _read_callers(self, now: float) -> None:
        """Reads callers' packets into the queues and records when."""
        for _ in range(MAX_QUEUED_PACKETS):
            datagram = self._callers.receive()
            if datagram is None:
                self._next_callers_read = now + POLL_INTERVAL_S
                return
            data, _ = datagram
            segment = self._format.from_caller(data)
            queue = self._queue_for(segment)
            if len(queue) == MAX_QUEUED_PACKETS:
                self.counts.add("dropped_full")
            queue.append(_QueuedPacket(data, segment, now))

    def _queue_for(self, segment: formats.Segment | None) -> _Queue:
        """Returns the queue for a packet, by its header."""
        if segment is None or not segment.opens:
            return self._open_flow_queue
        return (
            self._retransmitted_queue if segment.copies else self._opening_queue
        )

    def _drop_expired(self, now: float) -> None:
        """Drops outdated opening packets and updates ``behind``."""
        oldest = now
        for queue in (self._opening_queue, self._retransmitted_queue):
            while queue and now - queue[0].read_at >= MAX_OPENING_WAIT_S:
                queue.popleft()
                self.counts.add("opening_dropped_old")
            if queue:
                oldest = min(oldest, queue[0].read_at)
        behind = now - oldest >= BEHIND_AFTER_S
        if behind is not self.behind:
            self.behind = behind
            self._decisions.set_backlogged(behind)

    def _pop_next(self) -> _QueuedPacket | None:
        """Returns and removes the next packet, None if the queues are empty."""
        if self._open_flow_queue:
            return self._open_flow_queue.popleft()
        queue = self._opening_queue or self._retransmitted_queue
        if not queue:
            return None
        if not self.behind:
            return queue.popleft()
        self.counts.add("opening_newest_first")
        return queue.pop()
