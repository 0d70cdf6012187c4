"""A balancer's sockets and processor, in the time of a replay."""

import collections
import collections.abc

from clementinelead.relays import outcomes
from clementinelead.replays import event_queues

__all__ = ["UNPROBED_FLOW_TIME_S", "Processor", "SocketBuffer"]

SOCKET_BUFFER_DATAGRAMS = 256
"""Datagrams that a socket holds; the kernel drops what comes beyond."""

HANDLE_TIME_S = 0.00005
SEND_TIME_S = 0.00002
LOG_TIME_S = 0.00001
"""Processor time of a datagram or timer, of one sent and of a log line."""

UNPROBED_FLOW_TIME_S = 4 * HANDLE_TIME_S + 3 * SEND_TIME_S + LOG_TIME_S
"""Processor time of a flow that is placed unasked, seconds.

Opening packet, request and last packet are handled and sent on, the target's
answer is handled, and the placement is logged.
"""

_Datagram = tuple[bytes, tuple[str, int]]
_Sends = list[outcomes.Outcome]


class SocketBuffer:
    """A socket with the room that a kernel gives it.

    Attributes:
        open: Whether it takes datagrams.
        dropped: Datagrams that found no room, or nobody.
    """

    def __init__(self) -> None:
        self.open = True
        self.dropped = 0
        self._datagrams: collections.deque[_Datagram] = collections.deque()

    def enqueue(self, data: bytes, source: tuple[str, int]) -> None:
        """Takes a datagram, or drops it."""
        if not self.open or len(self._datagrams) >= SOCKET_BUFFER_DATAGRAMS:
            self.dropped += 1
            return
        self._datagrams.append((data, source))

    def receive(self) -> _Datagram | None:
        """Returns the next datagram, None if there is none."""
        return self._datagrams.popleft() if self._datagrams else None

    def clear(self) -> None:
        """Loses what waits."""
        self._datagrams.clear()


class Processor:
    """Carries out one step after the other, each at its price.

    Attributes:
        running: Whether the process runs; set by its owner.
        log_lines: Log lines of the present step.
    """

    def __init__(
        self,
        event_queue: event_queues.EventQueue,
        share: float | None,
        step: collections.abc.Callable[[float], _Sends | None],
        send: collections.abc.Callable[[_Sends], None],
    ):
        """Starts idle.

        Args:
            event_queue: Time of the replay.
            share: Share of a processor that the process has, None if its
                work takes no time.
            step: Handles what is most urgent; None if nothing is to be done.
            send: Sends what a step returns, when the step has ended.
        """
        self.running = True
        self.log_lines = 0
        self._event_queue = event_queue
        self._share = float("inf") if share is None else share
        self._step = step
        self._send = send
        self._scheduled = False
        self._free_at = 0.0

    def wake(self) -> None:
        """Lets the process go on as soon as its processor is free."""
        if self.running and not self._scheduled:
            self._scheduled = True
            moment = max(self._event_queue.now, self._free_at)
            self._event_queue.schedule(moment, self._run)

    def _run(self) -> None:
        self._scheduled = False
        if not self.running:
            return
        now = self._event_queue.now
        self.log_lines = 0
        sends = self._step(now)
        if sends is None:
            return
        price = (
            HANDLE_TIME_S
            + SEND_TIME_S * len(sends)
            + LOG_TIME_S * self.log_lines
        ) / self._share
        self._free_at = now + price
        self._event_queue.schedule(self._free_at, lambda: self._send(sends))
        self.wake()
