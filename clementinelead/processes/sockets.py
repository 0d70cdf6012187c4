"""Socket options of the packet path."""

import asyncio
import socket

__all__ = ["enlarge_buffers"]

BUFFER_BYTES = 4 << 20


def enlarge_buffers(transport: asyncio.BaseTransport) -> None:
    """Asks the kernel for room for bursts of packets."""
    wrapped = transport.get_extra_info("socket")
    wrapped.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    wrapped.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
