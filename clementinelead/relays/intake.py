"""The order in which a balancer handles what has come.

Load pattern: more comes than the processor handles, as after a restart in a
burst, when callers repeat their packets. Answers that wait unread then look
like silent targets; questions asked again because of that are further work,
which keeps the process behind. So answers are read before the packets of
callers and before anybody is found silent, and packets of open flows go before
those that open one. While it is behind, a balancer takes the newest opening
packets first, and copies of older ones last: the others are of the flows that
can still be in time.
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
"""Interval of the decisions' timer while any flow waits, seconds."""

POLL_INTERVAL_S = 0.002
"""Pause before a source that was empty is read unasked, seconds."""

BEHIND_AFTER_S = 0.02
"""Wait of an opening packet from which on this process is behind, seconds."""

MAX_OPENING_WAIT_S = opening_retransmissions.FIRST_RETRANSMISSION_S
"""Wait after which an opening packet is dropped, seconds.

Its caller has sent a copy by then.
"""

MAX_QUEUED_PACKETS = 1_024
"""Packets of each sort that wait; the oldest are dropped beyond it."""

_Datagram = tuple[bytes, tuple[str, int]]


class _QueuedPacket(msgspec.Struct, frozen=True):
    """A caller's packet that has not been handled.

    Attributes:
        data: The packet.
        segment: Its header, None if it is malformed.
        read_at: When it was read, seconds.
    """

    data: bytes
    segment: formats.Segment | None
    read_at: float


_Queue = collections.deque[_QueuedPacket]


class DatagramSource(typing.Protocol):
    """Where datagrams come from."""

    def receive(self) -> _Datagram | None:
        """Returns the next datagram with its sender, None if there is none."""


class Intake:
    """Hands datagrams to the decisions, the most urgent first.

    Attributes:
        counts: Opening packets dropped and served out of order, by cause.
        behind: Whether more comes than is handled.
    """

    def __init__(
        self,
        decisions: steering.Steering,
        packet_format: formats.PacketFormat,
        peers: DatagramSource,
        callers: DatagramSource,
    ):
        """Starts with nothing that waits.

        Args:
            decisions: What is handed the datagrams.
            packet_format: Format of the callers' packets.
            peers: Datagrams of side processes.
            callers: Packets of callers.
        """
        self.counts = counters.CounterSet()
        self.behind = False
        self._decisions = decisions
        self._format = packet_format
        self._peers = peers
        self._callers = callers
        self._peers_due = 0.0
        self._callers_due = 0.0
        self._tick_due = 0.0
        self._continuing: _Queue = collections.deque(maxlen=MAX_QUEUED_PACKETS)
        self._opening: _Queue = collections.deque(maxlen=MAX_QUEUED_PACKETS)
        self._copies: _Queue = collections.deque(maxlen=MAX_QUEUED_PACKETS)

    @property
    def backlog(self) -> int:
        """Packets of callers that have been read and not handled."""
        opening = len(self._opening) + len(self._copies)
        return len(self._continuing) + opening

    def on_readable(self) -> None:
        """Notes that a source has something."""
        self._peers_due = 0.0
        self._callers_due = 0.0

    def process_next(self, now: float) -> list[outcomes.Outcome] | None:
        """Handles what is most urgent.

        Args:
            now: Present time, seconds.

        Returns:
            What to send, or None if there is nothing to do now.
        """
        if now >= self._peers_due:
            datagram = self._peers.receive()
            if datagram is not None:
                data, source = datagram
                return self._decisions.on_frame(data, source, now)
            self._peers_due = now + POLL_INTERVAL_S
        if now >= self._tick_due and self._decisions.busy:
            self._tick_due = now + ACTIVE_TICK_INTERVAL_S
            return self._decisions.on_tick(now)
        if now >= self._callers_due:
            self._read_callers(now)
        self._drop_expired(now)
        waiting = self._pop_next()
        if waiting is None:
            return None
        return self._decisions.on_segment(waiting.segment, waiting.data, now)

    def _read_callers(self, now: float) -> None:
        """Reads what callers have sent, so that its age is known."""
        for _ in range(MAX_QUEUED_PACKETS):
            datagram = self._callers.receive()
            if datagram is None:
                self._callers_due = now + POLL_INTERVAL_S
                return
            data, _ = datagram
            segment = self._format.from_caller(data)
            queue = self._queue_for(segment)
            if len(queue) == MAX_QUEUED_PACKETS:
                self.counts.add("dropped_full")
            queue.append(_QueuedPacket(data, segment, now))

    def _queue_for(self, segment: formats.Segment | None) -> _Queue:
        """Returns where a packet waits."""
        if segment is None or not segment.opens:
            return self._continuing
        return self._copies if segment.copies else self._opening

    def _drop_expired(self, now: float) -> None:
        """Drops opening packets that have been repeated; notes the delay."""
        oldest = now
        for queue in (self._opening, self._copies):
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
        """Returns the next packet of a caller."""
        if self._continuing:
            return self._continuing.popleft()
        queue = self._opening or self._copies
        if not queue:
            return None
        if not self.behind:
            return queue.popleft()
        self.counts.add("opening_newest_first")
        return queue.pop()
