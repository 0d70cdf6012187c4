"""Probes that show which configuration a balancer has in force."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import socket
import time

from bench.soak import audit as audit_module
from bench.soak import programs
from clementinelead.platform.standins import packets

__all__ = ["ConfigProbes", "DroppedRoutes", "StoreFaults"]

PROBE_INTERVAL_S = 0.2

CHANGE_BOUND_S = 3.0
"""Time after which a change must be in force, seconds."""

CONTACT_S = 4.0
"""Time without disturbance after which the bound holds, seconds."""

FIRST_PORT, LAST_PORT = 1_024, 65_000


class StoreFaults:
    """When the store or the connections to it were last disturbed."""

    def __init__(self) -> None:
        self._active = 0
        self._ended_at = float("-inf")

    @contextlib.contextmanager
    def inject(self) -> collections.abc.Iterator[None]:
        """Counts a fault as active until the context ends."""
        self._active += 1
        try:
            yield
        finally:
            self._active -= 1
            self._ended_at = time.monotonic()

    def is_calm(self, now: float) -> bool:
        """Returns whether there was no fault for ``CONTACT_S``."""
        return not self._active and now - self._ended_at >= CONTACT_S


class DroppedRoutes:
    """Since when addresses have had no route.

    Attributes:
        dropped_at: Monotonic time of the drop in seconds, by port.
    """

    def __init__(self) -> None:
        self.dropped_at: dict[int, float] = {}
        self._ports: frozenset[int] = frozenset()

    def on_change(self, ports: frozenset[int], now: float) -> None:
        """Records a change of the configuration.

        Args:
            ports: Ports that have a route now.
            now: Present time, seconds.
        """
        for port in self._ports - ports:
            self.dropped_at[port] = now
        for port in ports:
            self.dropped_at.pop(port, None)
        self._ports = ports

    def must_be_refused(self, port: int, now: float) -> bool:
        """Returns whether a route was dropped longer ago than the bound."""
        dropped_at = self.dropped_at.get(port)
        return dropped_at is not None and now - dropped_at > CHANGE_BOUND_S


@dataclasses.dataclass(frozen=True)
class _Probe:
    """An opening packet.

    Attributes:
        balancer: Name of the balancer that it was sent to.
        port: Port whose route it tests.
        must_be_refused: Whether no target may accept it.
    """

    balancer: str
    port: int
    must_be_refused: bool


class ConfigProbes:
    """Sends opening packets to each balancer for routes that were dropped.

    A target that accepts one after the bound is a violation, if the balancer
    and the store have been undisturbed for ``CONTACT_S``. It is recorded once
    for each balancer.
    """

    def __init__(
        self,
        address: str,
        port: int,
        service_address: str,
        balancer_by_address: dict[str, programs.Program],
        routes: DroppedRoutes,
        store_faults: StoreFaults,
        audit: audit_module.Audit,
    ):
        """Opens the socket.

        Args:
            address: IP address of the prober.
            port: UDP port of callers and of balancers.
            service_address: IP address whose ports are tested.
            balancer_by_address: Programs of the balancers.
            routes: The ports to test.
            store_faults: Faults of the store.
            audit: Collector of violations and outcomes.
        """
        self._number = int.from_bytes(socket.inet_aton(address), "big")
        service = socket.inet_aton(service_address)
        self._service_number = int.from_bytes(service, "big")
        self._fabric_port = port
        self._balancer_by_address = balancer_by_address
        self._routes = routes
        self._store_faults = store_faults
        self._audit = audit
        self._port = FIRST_PORT
        self._probe_by_port: dict[int, _Probe] = {}
        self._late: set[str] = set()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((address, port))

    async def run(self) -> None:
        """Probes until cancelled."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._read)
        try:
            while True:
                await asyncio.sleep(PROBE_INTERVAL_S)
                for address in self._balancer_by_address:
                    for port in self._routes.dropped_at:
                        self._probe(address, port, time.monotonic())
        finally:
            loop.remove_reader(self._socket.fileno())
            self._socket.close()

    def _probe(self, address: str, port: int, now: float) -> None:
        """Sends an opening packet to a balancer."""
        balancer = self._balancer_by_address[address]
        must_be_refused = (
            self._routes.must_be_refused(port, now)
            and self._store_faults.is_calm(now)
            and balancer.undisturbed_s(now) >= CONTACT_S
        )
        self._port = self._port + 1 if self._port < LAST_PORT else FIRST_PORT
        self._probe_by_port[self._port] = _Probe(
            balancer.name, port, must_be_refused
        )
        self._audit.outcomes["probes"] += 1
        self._audit.outcomes["probes to be refused"] += must_be_refused
        packet = packets.Packet(
            packets.SYN,
            0,
            0,
            self._number,
            self._port,
            self._service_number,
            port,
        )
        with contextlib.suppress(OSError):  # the balancer's port is closed
            self._socket.sendto(
                packets.encode(packet), (address, self._fabric_port)
            )

    def _read(self) -> None:
        while True:
            try:
                data = self._socket.recv(2_048)
            except OSError:
                return
            packet, _ = packets.decode(data)
            probe = self._probe_by_port.get(packet.dport)
            if probe is None or not packet.flags & packets.SYN:
                continue
            self._audit.outcomes["probes accepted"] += 1
            if probe.must_be_refused and probe.balancer not in self._late:
                self._late.add(probe.balancer)
                self._audit.record_violation(
                    f"{probe.balancer} served a dropped route, port"
                    f" {probe.port}",
                    time.monotonic(),
                )
