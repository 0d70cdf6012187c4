"""Free ports on loopback."""

import random
import socket

__all__ = ["Ports", "loopback"]

FIRST_PORT = 10_000
LAST_PORT = 32_000
"""Below the range from which the kernel gives ports to connections."""


def loopback() -> str:
    """Returns a loopback address for one run, so that runs do not meet."""
    generator = random.SystemRandom()
    return f"127.{generator.randrange(64, 250)}.{generator.randrange(250)}.1"


class Ports:
    """Picks ports that nothing uses now, none of them twice.

    The generator is not seeded: two runs side by side must not pick alike.
    """

    def __init__(self) -> None:
        self._random = random.SystemRandom()
        self._given: set[int] = set()

    def pick(self, address: str) -> int:
        """Returns a port that is free for UDP and TCP on an address."""
        while True:
            port = self._random.randrange(FIRST_PORT, LAST_PORT)
            if port not in self._given and _is_free(address, port):
                self._given.add(port)
                return port


def _is_free(address: str, port: int) -> bool:
    for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
        with socket.socket(socket.AF_INET, kind) as trial:
            try:
                trial.bind((address, port))
            except OSError:
                return False
    return True
