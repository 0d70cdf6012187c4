"""Models of a balancer's socket buffers and processor time."""

import collections
import collections.abc

from clementinelead.relays import outcomes
from clementinelead.replays import event_queues

__all__ = ["UNPROBED_FLOW_TIME_S", "Processor", "SocketBuffer"]

SOCKET_BUFFER_DATAGRAMS = 256
"""Datagrams that a socket buffer holds; the kernel drops further ones."""

HANDLE_TIME_S = 0.00005
"""Processor time to handle a datagram or a timer, seconds."""

SEND_TIME_S = 0.00002
"""Processor time to send a datagram, seconds."""

LOG_TIME_S = 0.00001
"""Processor time to write a log line, seconds."""

UNPROBED_FLOW_TIME_S = 4 * HANDLE_TIME_S + 3 * SEND_TIME_S + LOG_TIME_S
"""Processor time of a flow that is placed without a probe, seconds.

The opening packet, the request and the closing packet are handled and
forwarded, the target's answer is handled, and the placement is logged.
"""

_Datagram = tuple[bytes, tuple[str, int]]
_Sends = list[outcomes.Outcome]


class SocketBuffer:
    """The receive buffer of a socket, of limited size.

    Attributes:
        open: Whether the socket is bound; else datagrams are dropped.
        dropped: Number of datagrams dropped, as it was full or not open.
    """

    def __init__(self) -> None:
        self.open = True
        self.dropped = 0
        self._datagrams: collections.deque[_Datagram] = collections.deque()

    def enqueue(self, data: bytes, source: tuple[str, int]) -> None:
        """Adds a datagram, or drops it if the buffer is full or not open.

        Args:
            data: The datagram.
            source: Address of its sender.
        """
        if not self.open or len(self._datagrams) >= SOCKET_BUFFER_DATAGRAMS:
            self.dropped += 1
            return
        self._datagrams.append((data, source))

    def receive(self) -> _Datagram | None:
        """Removes and returns the oldest datagram with its source address.

        None if the buffer is empty.
        """
        return self._datagrams.popleft() if self._datagrams else None

    def clear(self) -> None:
        """Discards the waiting datagrams, without counting them as dropped."""
        self._datagrams.clear()


class Processor:
    """Runs the steps of a process in turn; each takes processor time.

    Attributes:
        running: Whether the process runs; set by the process's model.
        log_lines: Log lines written in the present step; counted by the
            process's model.
    """

    def __init__(
        self,
        event_queue: event_queues.EventQueue,
        share: float | None,
        step: collections.abc.Callable[[float], _Sends | None],
        send: collections.abc.Callable[[_Sends], None],
    ):
        """Initializes an idle processor.

        Args:
            event_queue: The simulation's event queue.
            share: Share of a processor that the process has, None if its
                work takes no time.
            step: Handles the most urgent event at a time, seconds; returns
                what it sends, None if there was nothing to do.
            send: Sends what a step has returned, when the step has ended.
        """
        self.running = True
        self.log_lines = 0
        self._event_queue = event_queue
        self._share = float("inf") if share is None else share
        self._step = step
        self._send = send
        self._step_scheduled = False
        self._free_at_s = 0.0

    def wake(self) -> None:
        """Schedules the next step for when the processor is free."""
        if self.running and not self._step_scheduled:
            self._step_scheduled = True
            start_s = max(self._event_queue.now, self._free_at_s)
            self._event_queue.schedule(start_s, self._run_step)

    def _run_step(self) -> None:
        self._step_scheduled = False
        if not self.running:
            return
        now = self._event_queue.now
        self.log_lines = 0
        sends = self._step(now)
        if sends is None:
            return
        duration_s = (
            HANDLE_TIME_S
            + SEND_TIME_S * len(sends)
            + LOG_TIME_S * self.log_lines
        ) / self._share
        self._free_at_s = now + duration_s
        self._event_queue.schedule(self._free_at_s, lambda: self._send(sends))
        self.wake()
