"""Free ports on loopback."""

import socket

__all__ = ["Ports"]


class Ports:
    """Picks ports that nothing uses now, none of them twice."""

    def __init__(self) -> None:
        self._given: set[int] = set()

    def pick(self, address: str) -> int:
        """Returns a port that is free for UDP and TCP on an address."""
        while True:
            with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp:
                tcp.bind((address, 0))
                port: int = tcp.getsockname()[1]
                if port in self._given:
                    continue
                try:
                    with socket.socket(
                        socket.AF_INET, socket.SOCK_DGRAM
                    ) as udp:
                        udp.bind((address, port))
                except OSError:
                    continue
            self._given.add(port)
            return port
