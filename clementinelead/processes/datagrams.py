"""UDP sockets of the packet path, read in batches."""

import asyncio
import collections.abc
import socket
import time

import loguru

from clementinelead.telemetry import counters
from clementinelead.telemetry import logs

__all__ = ["DatagramSocket"]

MAX_BATCH_DATAGRAMS = 64
"""Datagrams read per wake-up, so that other work of the loop gets a turn."""

MAX_CONSECUTIVE_ERRORS = 8
"""Errors of reading after which a socket counts as empty for the moment."""

ERROR_LINES_PER_S = 2.0
"""Highest rate of logged unexpected errors per second; all are counted."""

_MAX_DATAGRAM_BYTES = 2_048

Receiver = collections.abc.Callable[[bytes, tuple[str, int]], None]


class DatagramSocket:
    """A UDP socket that reads several queued datagrams per wake-up.

    Attributes:
        error_counts: Errors of sending, receiving and handling datagrams, by
            cause.
    """

    def __init__(self, bound: socket.socket, receiver: Receiver | None = None):
        """Wraps a socket, which ``close`` closes.

        Args:
            bound: A bound, non-blocking UDP socket.
            receiver: Called with each datagram and its source; None if the
                owner calls ``receive`` itself.
        """
        self.error_counts = counters.CounterSet()
        self._receiver = receiver
        self._error_limit = logs.RateLimiter(ERROR_LINES_PER_S)
        self._socket = bound
        self._closed = False

    def start(
        self,
        loop: asyncio.AbstractEventLoop,
        on_readable: collections.abc.Callable[[], None] | None = None,
    ) -> None:
        """Starts to read.

        Args:
            loop: Event loop that watches the socket.
            on_readable: Called when datagrams are waiting, if the owner calls
                ``receive`` itself.
        """
        loop.add_reader(self._socket.fileno(), on_readable or self._read)

    def close(self, loop: asyncio.AbstractEventLoop) -> None:
        """Stops reading and closes the socket.

        Args:
            loop: Event loop that was passed to ``start``.
        """
        self._closed = True
        loop.remove_reader(self._socket.fileno())
        self._socket.close()

    def send(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram, or drops and counts it if that fails.

        Args:
            data: Payload of the datagram.
            address: IP address and port of the receiver.
        """
        try:
            self._socket.sendto(data, address)
        except OSError as error:
            self.error_counts.add(type(error).__name__)

    def receive(self) -> tuple[bytes, tuple[str, int]] | None:
        """Returns the next datagram and its source.

        Returns:
            The datagram, None if none is queued, if the socket is closed, or
            if reading fails again and again.
        """
        if self._closed:
            return None
        for _ in range(MAX_CONSECUTIVE_ERRORS):
            try:
                return self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return None
            except OSError as error:
                # It mostly concerns one datagram that was sent to a closed
                # port, and does not return.
                self.error_counts.add(type(error).__name__)
        return None

    def _read(self) -> None:
        for _ in range(MAX_BATCH_DATAGRAMS):
            datagram = self.receive()
            if datagram is None:
                return
            self._handle(*datagram)

    def _handle(self, data: bytes, source: tuple[str, int]) -> None:
        """Passes a datagram to the receiver.

        An error is reported, so that the rest of the batch is still read.
        """
        assert self._receiver is not None, "the owner reads for itself"
        try:
            self._receiver(data, source)
        except Exception as error:
            self.report_unhandled(error, source=source[0], size=len(data))

    def report_unhandled(self, error: Exception, **fields: object) -> None:
        """Counts an error that a datagram caused, and logs it if allowed.

        Args:
            error: The error.
            fields: Fields of the log line that describe the datagram.
        """
        self.error_counts.add(f"unhandled {type(error).__name__}")
        if self._error_limit.allows(time.monotonic()):
            loguru.logger.bind(**fields).opt(exception=error).error(
                "datagram not handled"
            )
