"""Socket options of the packet path."""

import asyncio
import socket

__all__ = ["enlarge", "enlarge_buffers"]

BUFFER_BYTES = 4 << 20


def enlarge(raw: socket.socket) -> None:
    """Asks the kernel for room for bursts of packets."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)


def enlarge_buffers(transport: asyncio.BaseTransport) -> None:
    """Asks the kernel for room for bursts of packets of a transport."""
    enlarge(transport.get_extra_info("socket"))
