"""Targets: run requests, return foreign packets, announce themselves."""

import asyncio
import collections
import json
import random
import socket
import time
import typing

from clementinelead.platform.standins import packets
from clementinelead.processes import http_client

__all__ = ["Target", "Witness"]

WORK_S = (0.004, 0.03)
HEARTBEAT_S = 0.4
HANDSHAKE_BITS = 30
DRAIN_BOUND_S = 3.0
LONGER_S = (0.0, 3.0)
"""How much longer than it has to a target serves on, as targets do."""


class Witness(typing.Protocol):
    """Hears what a target sees.

    Attributes:
        outcomes: How attempts ended.
    """

    outcomes: collections.Counter[str]

    def ran(self, request: str, service: str, own: str, now: float) -> None:
        """Called when a target of the service ``own`` runs a request."""

    def violate(self, text: str, now: float) -> None:
        """Called when a promise is broken."""


class Target:
    """A server beside a side process; ``serving`` while it lives."""

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        ports: typing.Mapping[str, int],
        audit: Witness,
        generator: random.Random,
    ):
        self.name = name
        self.service = service
        self.address = address
        self.serving = False
        self.flows: dict[tuple[int, int, int, int], int] = {}
        self._ports = ports
        self._audit = audit
        self._random = generator
        self._answer_by_request: dict[str, packets.Packet | None] = {}
        self._slots = asyncio.Semaphore(2)
        self._state = "ready"
        self._draining_since: float | None = None
        self._sequence = 0
        self._born = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._socket: socket.socket | None = None
        self._listener: socket.socket | None = None

    def start(self) -> None:
        """Starts a new incarnation."""
        self.serving = True
        self.flows.clear()
        self._answer_by_request.clear()
        self._state = "ready"
        self._draining_since = None
        self._sequence = 0
        self._born = time.time_ns() // 1_000_000
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((self.address, self._ports["app"]))
        # A target lives as long as its TCP port for health checks listens.
        self._listener = socket.create_server(
            (self.address, self._ports["app"])
        )
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._read, self._socket)
        self._spawn(self._announce_forever())

    def crash(self) -> None:
        """Ends at once; flows and work are lost."""
        self.serving = False
        self.flows.clear()
        for task in list(self._tasks):
            task.cancel()
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None
        if self._listener is not None:
            self._listener.close()
            self._listener = None

    async def drain(self) -> None:
        """Announces the end, serves on for a while, and ends.

        Does nothing if this incarnation already drains; an incarnation that
        crashes meanwhile is not followed by the next one.
        """
        if self._state == "draining":
            return
        born = self._born
        self._state = "draining"
        begun = time.monotonic()
        while self._born == born and time.monotonic() - begun < DRAIN_BOUND_S:
            if await self._announce(born):
                break
            await asyncio.sleep(0.1)
        await asyncio.sleep(DRAIN_BOUND_S + self._random.uniform(*LONGER_S))
        if self.serving and self._born == born:
            await self._call("DELETE", "draining")
            if self._born == born:
                self.crash()

    def _spawn(self, coroutine: typing.Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _announce_forever(self) -> None:
        while True:
            await self._announce(self._born)
            await asyncio.sleep(HEARTBEAT_S)

    async def _announce(self, born: int) -> bool:
        """Sends a heartbeat; tells whether it was acknowledged."""
        state = self._state
        acknowledged = await self._call("PUT", state)
        told = acknowledged and state == "draining" and self._born == born
        if told and self._draining_since is None:
            self._draining_since = time.monotonic()
        return acknowledged

    async def _call(self, method: str, state: str) -> bool:
        self._sequence += 1
        content = {
            "service": self.service,
            "capacity": 2,
            "state": state,
            "sequence": self._sequence,
            "born": self._born,
        }
        answer = await http_client.call(
            (self.address, self._ports["control"]),
            method,
            f"/instances/{self.name}",
            json.dumps(content).encode(),
            1.0,
        )
        return isinstance(answer, http_client.Response) and answer.status == 200

    def _read(self, raw: socket.socket) -> None:
        while True:
            try:
                data = raw.recv(2_048)
            except OSError:
                return
            self._receive(data)

    def _receive(self, data: bytes) -> None:
        now = time.monotonic()
        packet, whole = packets.read(data)
        if not whole:
            self._audit.violate(f"{self.name} got a changed packet", now)
        if packet.flags & packets.SYN and packet.flow not in self.flows:
            since = self._draining_since
            if since is not None and now - since > DRAIN_BOUND_S:
                self._audit.violate(f"{self.name} drains, got a flow", now)
            self.flows[packet.flow] = self._random.getrandbits(HANDSHAKE_BITS)
        if packet.flow not in self.flows:
            self._send(bytes((data[0] | packets.BOUNCED,)) + data[1:])
            return
        if packet.flags & packets.SYN:
            self._reply(packet, packets.SYN | packets.ACK)
        elif packet.data:
            self._take_request(packet, now)
        elif packet.flags & packets.FIN:
            self._reply(packet, packets.FIN | packets.ACK)

    def _take_request(self, packet: packets.Packet, now: float) -> None:
        request, service = packet.data.decode().split()
        if request in self._answer_by_request:
            answer = self._answer_by_request[request]
            if answer is not None:
                self._send(packets.write(answer))
            return
        self._answer_by_request[request] = None
        self._audit.ran(request, service, self.service, now)
        self._spawn(self._work(packet, request))

    async def _work(self, packet: packets.Packet, request: str) -> None:
        async with self._slots:
            await asyncio.sleep(self._random.uniform(*WORK_S))
        text = f"done {request}".encode()
        answer = self._reply(packet, packets.ACK, text)
        self._answer_by_request[request] = answer

    def _reply(
        self, packet: packets.Packet, flags: int, data: bytes = b""
    ) -> packets.Packet:
        answer = packets.Packet(
            flags,
            self.flows.get(packet.flow, 0),
            packet.seq + max(1, len(packet.data)),
            packet.dst,
            packet.dport,
            packet.src,
            packet.sport,
            data,
        )
        self._send(packets.write(answer))
        return answer

    def _send(self, data: bytes) -> None:
        if self._socket is not None:
            outbound = (self.address, self._ports["outbound"])
            try:
                self._socket.sendto(data, outbound)
            except OSError:
                # The side process is gone; callers send again.
                self._audit.outcomes["answers lost"] += 1
