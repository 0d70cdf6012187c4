"""Sockets that are bound before the rest of a program is loaded.

Loading takes some tenths of a second on a small instance. What comes meanwhile
waits in the sockets: packets of callers and targets, questions of peers, and
heartbeats, which a target would otherwise repeat much later.
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

LISTEN_BACKLOG_CONNECTIONS = 128
"""Connections that wait to be accepted."""

Address = tuple[str, int]


class PreboundSockets:
    """Bound sockets by address; each is taken once."""

    def __init__(self) -> None:
        self._udp_by_address: dict[Address, socket.socket] = {}
        self._tcp_by_address: dict[Address, socket.socket] = {}

    def open_udp(self, address: Address) -> None:
        """Binds a UDP socket, to be taken later.

        Args:
            address: IP address and port.

        Raises:
            OSError: The port is taken.
        """
        self._udp_by_address[address] = _udp(address)

    def open_tcp(self, address: Address) -> None:
        """Binds a TCP socket and lets connections wait, to be taken later.

        Args:
            address: IP address and port.

        Raises:
            OSError: The port is taken.
        """
        self._tcp_by_address[address] = _tcp(address)

    def claim_udp(self, address: Address) -> socket.socket:
        """Returns the UDP socket of an address, bound now if it was not.

        Raises:
            OSError: The port is taken.
        """
        opened = self._udp_by_address.pop(address, None)
        return _udp(address) if opened is None else opened

    def claim_tcp(self, address: Address) -> socket.socket:
        """Returns the listening socket of an address, bound now if it was not.

        Raises:
            OSError: The port is taken.
        """
        opened = self._tcp_by_address.pop(address, None)
        return _tcp(address) if opened is None else opened


def _udp(address: Address) -> socket.socket:
    opened = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    opened.setblocking(False)
    enlarge_socket_buffers(opened)
    opened.bind(address)
    return opened


def _tcp(address: Address) -> socket.socket:
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    opened.setblocking(False)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    opened.bind(address)
    opened.listen(LISTEN_BACKLOG_CONNECTIONS)
    return opened


def enlarge_socket_buffers(raw: socket.socket) -> None:
    """Asks the kernel for room for bursts of packets."""
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BYTES)


def enlarge_transport_buffers(transport: "asyncio.BaseTransport") -> None:
    """Asks the kernel for room for bursts of packets of a transport."""
    enlarge_socket_buffers(transport.get_extra_info("socket"))
