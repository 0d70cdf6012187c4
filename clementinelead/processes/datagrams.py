"""UDP sockets of the packet path, read until they are empty."""

import asyncio
import collections.abc
import socket
import time

import loguru

from clementinelead.telemetry import counters
from clementinelead.telemetry import logs

__all__ = ["DatagramSocket"]

MAX_BATCH = 64
"""Datagrams read before other work gets a turn."""

ERROR_LINES_PER_S = 2.0
"""Unexpected errors logged a second; all are counted."""

_MAX_BYTES = 2_048

Receiver = collections.abc.Callable[[bytes, tuple[str, int]], None]


class DatagramSocket:
    """A UDP socket that reads all that has come with one wake-up.

    Attributes:
        counts: Datagrams that could not be sent or handled, by cause.
    """

    def __init__(self, bound: socket.socket, receiver: Receiver | None = None):
        """Takes a socket over.

        Args:
            bound: A bound UDP socket that does not block.
            receiver: Gets each datagram and its source, unless the owner
                reads for itself.
        """
        self.counts = counters.CounterSet()
        self._receiver = receiver
        self._errors = logs.RateLimiter(ERROR_LINES_PER_S)
        self._socket = bound

    def start(
        self,
        loop: asyncio.AbstractEventLoop,
        readable: collections.abc.Callable[[], None] | None = None,
    ) -> None:
        """Reads from now on.

        Args:
            loop: The loop.
            readable: Called when there is something to be received, if the
                owner reads for itself.
        """
        loop.add_reader(self._socket.fileno(), readable or self._read)

    def close(self, loop: asyncio.AbstractEventLoop) -> None:
        """Closes the socket."""
        loop.remove_reader(self._socket.fileno())
        self._socket.close()

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram; one that finds no room is lost and counted."""
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            self.counts.add(type(error).__name__)

    def receive(self) -> tuple[bytes, tuple[str, int]] | None:
        """Returns the next datagram with its sender, None if there is none."""
        while True:
            try:
                return self._socket.recvfrom(_MAX_BYTES)
            except BlockingIOError:
                return None
            except OSError as error:
                # An earlier datagram met a closed port.
                self.counts.add(type(error).__name__)

    def _read(self) -> None:
        for _ in range(MAX_BATCH):
            datagram = self.receive()
            if datagram is None:
                return
            self._hand_over(*datagram)

    def _hand_over(self, data: bytes, source: tuple[str, int]) -> None:
        """Lets no datagram keep those that came with it from being read."""
        assert self._receiver is not None, "the owner reads for itself"
        try:
            self._receiver(data, source)
        except Exception as error:
            self.note_unhandled(error, source=source[0], size=len(data))

    def note_unhandled(self, error: Exception, **about: object) -> None:
        """Counts and logs an error that a datagram has caused.

        Args:
            error: The error.
            about: What is known of the datagram.
        """
        self.counts.add(f"unhandled {type(error).__name__}")
        if self._errors.allows(time.monotonic()):
            loguru.logger.bind(**about).opt(exception=error).error(
                "datagram not handled"
            )
