"""Free ports on loopback."""

import random
import socket

__all__ = ["Ports", "loopback"]

FIRST_PORT = 10_000
LAST_PORT = 32_000
"""Limit of the picked ports, below the kernel's ephemeral port range."""


def loopback() -> str:
    """Returns a random loopback address, so that runs do not share one."""
    generator = random.SystemRandom()
    return f"127.{generator.randrange(64, 250)}.{generator.randrange(250)}.1"


class Ports:
    """Picks unused ports, none of them twice.

    The generator is not seeded: concurrent runs must not pick the same ports.
    """

    def __init__(self) -> None:
        self._random = random.SystemRandom()
        self._picked_ports: set[int] = set()

    def pick(self, address: str) -> int:
        """Returns a port that is free for UDP and TCP on an address."""
        while True:
            port = self._random.randrange(FIRST_PORT, LAST_PORT)
            if port not in self._picked_ports and _is_free(address, port):
                self._picked_ports.add(port)
                return port


def _is_free(address: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((address, port))
            except OSError:
                return False
    return True
