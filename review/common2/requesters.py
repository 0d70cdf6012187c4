"""Requesters and the platform's routers, after PROTOCOL.md."""

import asyncio
import random
import socket
import time
import typing
import zlib

from review.common2 import http
from review.common2 import wire

SYN_TIMES_S = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S = 1.4


class Routers:
    """Readiness probes twice a second, and the choice of a node for a flow."""

    def __init__(
        self, edges_by_zone: dict[str, list[str]], ports: dict[str, int]
    ):
        self._edges_by_zone = edges_by_zone
        self._ports = ports
        self._misses = {e: 2 for es in edges_by_zone.values() for e in es}

    async def run(self) -> None:
        """Probes all nodes until cancelled."""
        while True:
            await asyncio.gather(*map(self._probe, self._misses))
            await asyncio.sleep(0.5)

    async def _probe(self, edge: str) -> None:
        status = await http.call(
            (edge, self._ports["ready"]), "GET", "/readiness", timeout_s=0.4
        )
        self._misses[edge] = 0 if status == 200 else self._misses[edge] + 1

    def in_rotation(self, zone: str) -> list[str]:
        """Returns the nodes of a zone that are in rotation."""
        return [e for e in self._edges_by_zone[zone] if self._misses[e] < 2]

    def choose(self, zone: str, flow: tuple) -> tuple[str, int]:
        """Returns the address of the node that gets a packet of the flow."""
        own = self.in_rotation(zone)
        if own and 2 * len(own) < len(self._edges_by_zone[zone]):
            own = self._edges_by_zone[zone]
        if not own:  # the nodes of the nearest zones
            others = [z for z in self._edges_by_zone if z != zone]
            own = next(
                (self.in_rotation(z) for z in others if self.in_rotation(z)),
                self._edges_by_zone[zone],
            )

        def weight(edge: str) -> int:
            return zlib.crc32(f"{flow} {edge}".encode())

        return max(own, key=weight), self._ports["datagrams"]


class Requester:
    """A requester's address: one socket, flows on several ports.

    Attributes:
        resets: Resets by flow port, with their times, while the flow was open.
        answered: Number of requests answered.
        unanswered: Number of requests without an answer.
    """

    def __init__(
        self,
        host: str,
        zone: str,
        routers: Routers,
        ports: dict[str, int],
        log: typing.Callable[[str], None],
    ):
        self.host, self.zone = host, zone
        self.resets: list[tuple[int, float]] = []
        self.opened = self.answered = self.unanswered = self.refused = 0
        self._routers = routers
        self._log = log
        self._queues: dict[int, asyncio.Queue] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((host, ports["datagrams"]))
        asyncio.get_running_loop().add_reader(self._socket.fileno(), self._read)

    def close(self) -> None:
        """Closes the socket."""
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()

    def _read(self) -> None:
        while True:
            try:
                data = self._socket.recv(2048)
            except OSError:
                return
            packet, _ = wire.decode(data)
            queue = self._queues.get(packet.dport)
            if queue is not None:
                queue.put_nowait(packet)

    async def long_flow(
        self,
        port: int,
        service: tuple[str, int],
        until: float,
        pause_s: float,
        budget_s: float = 1.0,
    ) -> str:
        """Opens a flow and sends requests with pauses; returns how it ended."""
        flow = _Flow(self, port, service)
        self._queues[port] = flow.queue
        try:
            return await self._converse(flow, until, pause_s, budget_s)
        finally:
            del self._queues[port]

    async def _converse(
        self, flow: "_Flow", until: float, pause_s: float, budget_s: float
    ) -> str:
        if not await flow.open():
            self.refused += 1
            return "not opened"
        self.opened += 1
        self._log(f"{self.zone}: flow {flow.port} opened")
        count = 0
        while time.monotonic() < until:
            count += 1
            request = f"{flow.port}-{count}"
            outcome = await flow.request(request.encode(), budget_s)
            self._log(f"{self.zone}: request {request}: {outcome}")
            if outcome == "answered":
                self.answered += 1
            elif outcome == "reset":
                self.resets.append((flow.port, time.monotonic()))
                return "reset"
            else:
                self.unanswered += 1
                return "unanswered"
            idle_until = time.monotonic() + pause_s
            while (left_s := idle_until - time.monotonic()) > 0:
                packet = await flow.next_packet(left_s)
                if packet is not None and packet.flags & wire.RST:
                    self._log(f"{self.zone}: flow {flow.port} reset in a pause")
                    self.resets.append((flow.port, time.monotonic()))
                    return "reset"
        flow.send(wire.FIN | wire.ACK)
        return "closed"

    def send(self, packet: wire.Packet) -> None:
        """Sends a packet through the routers."""
        address = self._routers.choose(self.zone, packet.flow)
        try:
            self._socket.sendto(wire.encode(packet), address)
        except OSError:
            pass  # the node's port is closed


class _Flow:
    def __init__(self, owner: Requester, port: int, service: tuple[str, int]):
        self.port = port
        self.queue: asyncio.Queue = asyncio.Queue()
        self._owner = owner
        self._src = wire.number(owner.host)
        self._dst, self._dport = wire.number(service[0]), service[1]
        self._seq = random.getrandbits(32)
        self._ack = 0

    def send(self, flags: int, data: bytes = b"") -> None:
        self._owner.send(
            wire.Packet(
                flags,
                self._seq & 0xFFFFFFFF,
                self._ack & 0xFFFFFFFF,
                self._src,
                self.port,
                self._dst,
                self._dport,
                data,
            )
        )

    async def next_packet(self, timeout_s: float) -> wire.Packet | None:
        try:
            async with asyncio.timeout(max(0.0, timeout_s)):
                return await self.queue.get()
        except TimeoutError:
            return None

    async def open(self) -> bool:
        start = time.monotonic()
        for copies in range(len(SYN_TIMES_S)):
            self._ack = copies
            self.send(wire.SYN)
            ends = (*SYN_TIMES_S[1:], OPEN_TIMEOUT_S)[copies]
            while (left_s := start + ends - time.monotonic()) > 0:
                packet = await self.next_packet(left_s)
                if packet is None:
                    break
                if packet.flags & wire.RST:
                    return False
                if packet.flags & wire.SYN:
                    self._seq += 1
                    self._ack = packet.seq + 1
                    self.send(wire.ACK)
                    return True
        return False

    async def request(self, data: bytes, budget_s: float) -> str:
        start = time.monotonic()
        interval_s = 0.2
        while (now := time.monotonic()) < start + budget_s:
            self.send(wire.ACK, data)
            until = min(now + interval_s, start + budget_s)
            interval_s = min(1.6, 2 * interval_s)
            while (left_s := until - time.monotonic()) > 0:
                packet = await self.next_packet(left_s)
                if packet is None:
                    break
                if packet.flags & wire.RST:
                    return "reset"
                if packet.data == b"done " + data:
                    self._seq += len(data)
                    self._ack = packet.seq + len(packet.data)
                    self.send(wire.ACK)
                    return "answered"
        return "unanswered"


async def fresh_requests(
    caller: Requester,
    service: tuple[str, int],
    until: float,
    interval_s: float,
    budget_s: float = 3.0,
) -> list[tuple[float, bool]]:
    """Sends requests, each on a new flow; returns when and whether served."""
    results: list[tuple[float, bool]] = []
    tasks = []
    port = 30_000

    async def send_one(port: int) -> None:
        sent_at = time.monotonic()
        flow = _Flow(caller, port, service)
        caller._queues[port] = flow.queue
        request = f"{caller.zone}-{port}"
        try:
            outcome = "not opened"
            if await flow.open():
                outcome = await flow.request(request.encode(), budget_s)
                flow.send(wire.FIN | wire.ACK)
        finally:
            del caller._queues[port]
        caller._log(f"{caller.zone}: request {request}: {outcome}")
        results.append((sent_at, outcome == "answered"))

    while time.monotonic() < until:
        port += 1
        tasks.append(asyncio.create_task(send_one(port)))
        await asyncio.sleep(interval_s)
    await asyncio.gather(*tasks)
    return results
