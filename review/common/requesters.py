"""Stand-ins of the platform's routers and requesters."""

import asyncio
import collections.abc
import socket
import time
import zlib

from common import http
from common import packets
from common import record as record_module

SYN_TIMES_S = (0.0, 0.2, 0.6)
SYN_TIMEOUT_S = 1.4
DATA_TIMES_S = (0.0, 0.2, 0.6, *(1.4 + 1.6 * n for n in range(9)))
PROBE_INTERVAL_S = 0.5
MAX_MISSED_PROBES = 2
MAX_DATAGRAM_BYTES = 2_048
FIRST_PORT = 1_024


class Router:
    """Sends packets to the nodes in rotation, by a steady hash."""

    def __init__(self, zones: dict[str, list[str]], ports: dict[str, int]):
        """Creates a router before nodes, whose addresses stand by zone."""
        self._zones = zones
        self._ports = ports
        self._misses = {
            address: MAX_MISSED_PROBES
            for addresses in zones.values()
            for address in addresses
        }
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)

    @property
    def ready(self) -> list[str]:
        """Addresses of the nodes in rotation."""
        return [
            address
            for address, missed in self._misses.items()
            if missed < MAX_MISSED_PROBES
        ]

    async def run(self) -> None:
        """Asks all nodes for their readiness, twice a second."""
        while True:
            await asyncio.gather(
                asyncio.sleep(PROBE_INTERVAL_S), *map(self._probe, self._misses)
            )

    async def _probe(self, address: str) -> None:
        status = await http.call(
            (address, self._ports["ready"]),
            "GET",
            "/readiness",
            None,
            PROBE_INTERVAL_S,
        )
        self._misses[address] = (
            0 if status == 200 else self._misses[address] + 1
        )

    def send(self, zone: str, packet: packets.Packet) -> str:
        """Forwards a packet, and returns the address of the node."""
        node = self._node(zone, repr(packet.from_requester).encode())
        try:
            self._socket.sendto(
                packets.encode(packet), (node, self._ports["datagram"])
            )
        except OSError:
            return f"{node} (not reached)"
        return node

    def _node(self, zone: str, flow: bytes) -> str:
        ready = set(self.ready)
        own = self._zones.get(zone, [])
        nodes = [address for address in own if address in ready]
        if nodes and 2 * len(nodes) < len(own):
            nodes = own
        if not nodes:
            nodes = sorted(ready) or sorted(self._misses)
        return max(nodes, key=lambda node: zlib.crc32(flow + node.encode()))


class Requester:
    """A requester at one address, with flows at several ports."""

    def __init__(
        self,
        name: str,
        zone: str,
        address: str,
        port: int,
        router: Router,
        record: record_module.Record,
    ):
        self.name = name
        self._zone = zone
        self._number = packets.number(address)
        self._router = router
        self._record = record
        self._last_port = FIRST_PORT
        self._flow_by_port: dict[int, Flow] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((address, port))
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._read)

    def close(self) -> None:
        """Closes the socket."""
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()

    def flow(self, service: tuple[str, int]) -> "Flow":
        """Returns a new flow to a route, not opened yet."""
        self._last_port += 1
        flow = Flow(self, self._last_port, service)
        self._flow_by_port[self._last_port] = flow
        return flow

    def send(self, packet: packets.Packet) -> str:
        """Sends a packet; returns the address of the node that gets it."""
        return self._router.send(self._zone, packet)

    @property
    def number(self) -> int:
        """Address as a number."""
        return self._number

    @property
    def record(self) -> record_module.Record:
        """Record of the script."""
        return self._record

    def _read(self) -> None:
        while True:
            try:
                datagram = self._socket.recv(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            packet, whole = packets.decode(datagram)
            flow = self._flow_by_port.get(packet.dport)
            if flow is None:
                self._record.line(f"{self.name} got a foreign packet")
            else:
                flow.on_packet(packet, whole)


class Flow:
    """A flow of a requester."""

    def __init__(
        self, requester: Requester, port: int, service: tuple[str, int]
    ):
        self.key = (
            requester.number,
            port,
            packets.number(service[0]),
            service[1],
        )
        self.name = f"{requester.name}:{port}"
        self.resets: list[tuple[float, bool]] = []
        self.last_sent_at = 0.0
        self._requester = requester
        self._seq = zlib.crc32(self.name.encode()) >> 1
        self._ack = 0
        self._queue: asyncio.Queue[packets.Packet] = asyncio.Queue()

    def on_packet(self, packet: packets.Packet, whole: bool) -> None:
        """Takes a packet that has arrived."""
        if packet.flags & packets.RST:
            self.resets.append((time.monotonic(), whole))
            by = "its server" if whole else "the system"
            self._requester.record.line(f"flow {self.name} reset by {by}")
        elif not whole:
            self._requester.record.line(f"flow {self.name}: changed packet")
            return
        self._queue.put_nowait(packet)

    async def open(self) -> bool:
        """Opens the flow; returns whether that succeeded."""
        answer = await self._exchange(
            packets.SYN,
            b"",
            SYN_TIMES_S,
            SYN_TIMEOUT_S,
            lambda packet: bool(packet.flags & packets.SYN),
        )
        if answer is None:
            return False
        self._seq += 1
        self._ack = answer.seq + 1
        self._send(packets.ACK, self._ack, b"")
        return True

    async def request(self, identifier: str, budget_s: float) -> str:
        """Sends a request; returns ``answered``, ``reset`` or ``deadline``."""
        text = (
            "GET /board HTTP/1.1\r\nHost: board\r\n"
            f"X-Clementinelead-Attempt-Id: {identifier}\r\n\r\n"
        )
        data = text.encode()
        end = self._seq + len(data)
        begin = time.monotonic()
        self._requester.record.line(f"flow {self.name} sends {identifier}")
        answer = await self._exchange(
            packets.ACK,
            data,
            DATA_TIMES_S,
            budget_s,
            lambda packet: bool(packet.data) and packet.ack == end,
        )
        outcome = "answered"
        if answer is None:
            outcome = "reset" if self.resets else "deadline"
        else:
            self._seq = end
            self._ack = answer.seq + len(answer.data)
            self._send(packets.ACK, self._ack, b"")
            if f"done {identifier}".encode() not in answer.data:
                outcome = "foreign answer"
        took_ms = (time.monotonic() - begin) * 1000
        self._requester.record.line(
            f"flow {self.name} request {identifier}: {outcome}"
            f" after {took_ms:.0f} ms"
        )
        return outcome

    async def _exchange(
        self,
        flags: int,
        data: bytes,
        times_s: tuple[float, ...],
        timeout_s: float,
        is_answer: collections.abc.Callable[[packets.Packet], bool],
    ) -> packets.Packet | None:
        """Sends a packet and its copies until an answer or the timeout."""
        begin = time.monotonic()
        sent = 0
        while True:
            elapsed = time.monotonic() - begin
            if elapsed >= timeout_s or self.resets:
                return None
            if sent < len(times_s) and elapsed >= times_s[sent]:
                ack = sent if flags & packets.SYN else self._ack
                node = self._send(flags, ack, data)
                if sent and data:
                    self._requester.record.line(
                        f"flow {self.name} sends copy {sent} to {node}"
                    )
                sent += 1
                continue
            next_s = times_s[sent] if sent < len(times_s) else timeout_s
            wait_s = min(next_s, timeout_s) - elapsed
            try:
                async with asyncio.timeout(max(0.0, wait_s)):
                    packet = await self._queue.get()
            except TimeoutError:
                continue
            if is_answer(packet):
                return packet

    def _send(self, flags: int, ack: int, data: bytes) -> str:
        source, port, service, service_port = self.key
        self.last_sent_at = time.monotonic()
        return self._requester.send(
            packets.Packet(
                flags,
                self._seq,
                ack,
                source,
                port,
                service,
                service_port,
                data,
            )
        )
