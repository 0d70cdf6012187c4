"""The router: hashes flows over the balancers whose readiness probes pass."""

import asyncio
import socket

import xxhash

from clementinelead.processes import http_client

__all__ = ["Router"]

PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.5
UNREADY_AFTER_FAILURES = 2
"""Consecutive failed probes that take a balancer out of rotation."""


class Router:
    """Forwards callers' packets to balancers by a rendezvous hash.

    Attributes:
        failed_sends: Number of packets whose sending failed.
    """

    def __init__(self, balancers: list[str], port_by_name: dict[str, int]):
        self._balancers = balancers
        self._port_by_name = port_by_name
        self._failures_by_address = dict.fromkeys(
            balancers, UNREADY_AFTER_FAILURES
        )
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self.failed_sends = 0

    @property
    def ready(self) -> list[str]:
        """Addresses of the balancers in rotation."""
        return [
            address
            for address in self._balancers
            if self._failures_by_address[address] < UNREADY_AFTER_FAILURES
        ]

    async def run(self) -> None:
        """Probes the balancers until cancelled."""
        while True:
            await asyncio.gather(*map(self._probe, self._balancers))
            await asyncio.sleep(PROBE_INTERVAL_S)

    async def _probe(self, address: str) -> None:
        answer = await http_client.call(
            (address, self._port_by_name["ready"]),
            "GET",
            "/readiness",
            b"",
            PROBE_TIMEOUT_S,
        )
        if isinstance(answer, http_client.Response) and answer.status == 200:
            self._failures_by_address[address] = 0
        else:
            self._failures_by_address[address] += 1

    def forward(self, flow: tuple[int, int, int, int], data: bytes) -> None:
        """Sends a packet to the flow's balancer."""
        address = (self.choose(flow), self._port_by_name["datagrams"])
        try:
            self._socket.sendto(data, address)
        except OSError:
            # The balancer's port is closed; the caller retransmits.
            self.failed_sends += 1

    def choose(self, flow: tuple[int, int, int, int]) -> str:
        """Returns the address of the flow's balancer.

        All balancers are candidates while less than half of them are ready.
        """
        candidates = self.ready
        if 2 * len(candidates) < len(self._balancers):
            candidates = self._balancers
        text = repr(flow).encode()
        return max(
            candidates,
            key=lambda address: xxhash.xxh64_intdigest(text + address.encode()),
        )
