"""Sockets that are bound before the rest of a program is imported.

Loading takes some tenths of a second on a small instance. Meanwhile the sockets
queue packets of callers and targets, requests of peers, and heartbeats, which a
target would otherwise repeat much later.
"""

import socket
import typing

if typing.TYPE_CHECKING:
    import asyncio

__all__ = [
    "PreboundSockets",
    "enlarge_socket_buffers",
    "enlarge_transport_buffers",
]

SOCKET_BUFFER_BYTES = 4 << 20
"""Requested size of each receive and send buffer, bytes."""

LISTEN_BACKLOG_CONNECTIONS = 128
"""Length of the queue of connections that are not yet accepted."""

Address = tuple[str, int]


class PreboundSockets:
    """Sockets that are bound early, each to be claimed once by its address."""

    def __init__(self) -> None:
        self._udp_by_address: dict[Address, socket.socket] = {}
        self._tcp_by_address: dict[Address, socket.socket] = {}

    def open_udp(self, address: Address) -> None:
        """Binds a UDP socket, to be claimed later.

        Args:
            address: IP address and port.

        Raises:
            OSError: The port is in use.
        """
        self._udp_by_address[address] = _bind_udp(address)

    def open_tcp(self, address: Address) -> None:
        """Binds a listening TCP socket, to be claimed later.

        Connections wait in its backlog until then.

        Args:
            address: IP address and port.

        Raises:
            OSError: The port is in use.
        """
        self._tcp_by_address[address] = _bind_tcp(address)

    def claim_udp(self, address: Address) -> socket.socket:
        """Returns the UDP socket of an address, binding it now if necessary.

        Args:
            address: IP address and port.

        Raises:
            OSError: The port is in use.
        """
        bound = self._udp_by_address.pop(address, None)
        return _bind_udp(address) if bound is None else bound

    def claim_tcp(self, address: Address) -> socket.socket:
        """Returns the listening socket of an address, bound now if necessary.

        Args:
            address: IP address and port.

        Raises:
            OSError: The port is in use.
        """
        bound = self._tcp_by_address.pop(address, None)
        return _bind_tcp(address) if bound is None else bound


def _bind_udp(address: Address) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    bound.setblocking(False)
    enlarge_socket_buffers(bound)
    bound.bind(address)
    return bound


def _bind_tcp(address: Address) -> socket.socket:
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setblocking(False)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.bind(address)
    bound.listen(LISTEN_BACKLOG_CONNECTIONS)
    return bound


def enlarge_socket_buffers(raw: socket.socket) -> None:
    """Requests buffers of ``SOCKET_BUFFER_BYTES`` for bursts of packets.

    Args:
        raw: The socket.
    """
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)


def enlarge_transport_buffers(transport: "asyncio.BaseTransport") -> None:
    """Requests larger buffers for the socket of a transport.

    Args:
        transport: Transport of a socket.
    """
    enlarge_socket_buffers(transport.get_extra_info("socket"))
