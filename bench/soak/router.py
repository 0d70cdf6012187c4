"""The router: hashes flows over the balancers that say that they are ready."""

import asyncio
import socket

import xxhash

from clementinelead.processes import http_client

__all__ = ["Router"]

PROBE_S = 0.5
MISSES = 2


class Router:
    """Forwards callers' packets to balancers by a steady hash."""

    def __init__(self, balancers: list[str], ports: dict[str, int]):
        self._balancers = balancers
        self._ports = ports
        self._misses_by_address = dict.fromkeys(balancers, MISSES)
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self.lost = 0

    @property
    def ready(self) -> list[str]:
        """Balancers in rotation."""
        return [
            address
            for address in self._balancers
            if self._misses_by_address[address] < MISSES
        ]

    async def run(self) -> None:
        """Asks the balancers until cancelled."""
        while True:
            await asyncio.gather(*map(self._probe, self._balancers))
            await asyncio.sleep(PROBE_S)

    async def _probe(self, address: str) -> None:
        answer = await http_client.call(
            (address, self._ports["ready"]), "GET", "/readiness", b"", PROBE_S
        )
        if isinstance(answer, http_client.Response) and answer.status == 200:
            self._misses_by_address[address] = 0
        else:
            self._misses_by_address[address] += 1

    def forward(self, flow: tuple[int, int, int, int], data: bytes) -> None:
        """Sends a packet to the flow's balancer."""
        candidates = self.ready
        if 2 * len(candidates) < len(self._balancers):
            candidates = self._balancers
        text = repr(flow).encode()
        chosen = max(
            candidates,
            key=lambda address: xxhash.xxh64_intdigest(text + address.encode()),
        )
        try:
            self._socket.sendto(data, (chosen, self._ports["datagrams"]))
        except OSError:
            # The port is closed just now; the caller sends again.
            self.lost += 1
