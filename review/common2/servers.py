"""Servers beside side processes, after PROTOCOL.md, *Flows* and *Servers*."""

import asyncio
import json
import random
import socket
import time
import typing

from review.common2 import http
from review.common2 import wire

RETRANSMIT_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)


class _Flow:
    def __init__(self, initial: int):
        self.next_seq = (initial + 1) & 0xFFFFFFFF
        self.initial = initial
        self.open = False
        self.received: int | None = None  # sequence number after the last data
        self.answer: bytes | None = None
        self.acknowledged = True


class Server:
    """A server: accepts flows, answers requests, returns foreign packets.

    Attributes:
        flows: Flows that it holds, by the requester's flow.
        alive: Whether it runs.
    """

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        host: str,
        ports: dict[str, int],
        log: typing.Callable[[str], None],
        capacity: int = 4,
        work_s: float = 0.015,
        beat_s: float = 1.2,
    ):
        self.name, self.service, self.zone, self.host = (
            name,
            service,
            zone,
            host,
        )
        self.flows: dict[tuple[int, int, int, int], _Flow] = {}
        self.alive = False
        self.state = "ready"
        self.acknowledged_drain_at: float | None = None
        self._ports = ports
        self._log = log
        self._capacity = capacity
        self._work_s = work_s
        self._beat_s = beat_s
        self._tasks: set[asyncio.Task] = set()
        self._sequence = 0
        self._born = 0
        self._socket: socket.socket | None = None
        self._health: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts a new incarnation."""
        self.alive = True
        self.state = "ready"
        self._born = time.time_ns() // 1_000_000
        self._sequence = 0
        self.flows.clear()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((self.host, self._ports["app"]))
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._read)

        async def answer(*_: object) -> tuple[int, object]:
            return 200, {}

        self._health = await http.serve((self.host, self._ports["app"]), answer)
        self._spawn(self._beat())

    def close(self) -> None:
        """Ends at once and forgets its flows."""
        self.alive = False
        for task in list(self._tasks):
            task.cancel()
        if self._socket is not None:
            asyncio.get_running_loop().remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None
        if self._health is not None:
            self._health.close()
            self._health = None
        self.flows.clear()

    def _spawn(self, work: typing.Coroutine) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _beat(self) -> None:
        while True:
            await self.say("PUT")
            await asyncio.sleep(self._beat_s)

    async def say(self, method: str) -> int | None:
        """Sends a ping or a departure, and returns the status."""
        self._sequence += 1
        state = self.state
        content = {
            "service": self.service,
            "address": f"{self.host}:{self._ports['app']}",
            "zone": self.zone,
            "version": "v1",
            "capacity": self._capacity,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": self._sequence,
            "born": self._born,
        }
        status = await http.call(
            (self.host, self._ports["control"]),
            method,
            f"/instances/{self.name}",
            json.dumps(content).encode(),
        )
        if state == "draining" and status == 200 and method == "PUT":
            if self.acknowledged_drain_at is None:
                self.acknowledged_drain_at = time.monotonic()
                self._log(f"{self.name}: drain acknowledged")
        return status

    def _read(self) -> None:
        while self._socket is not None:
            try:
                data = self._socket.recv(2048)
            except OSError:
                return
            self._on_packet(data)

    def _on_packet(self, data: bytes) -> None:
        packet, total = wire.decode(data)
        if total != wire.checksum(packet):
            self._log(f"{self.name}: UNASKED packet with a wrong sum")
        flow = self.flows.get(packet.flow)
        if packet.flags & wire.SYN and not packet.flags & wire.ACK:
            if flow is None:
                flow = _Flow(random.getrandbits(32))
                self.flows[packet.flow] = flow
            self._send(
                packet, wire.SYN | wire.ACK, flow.initial, packet.seq + 1
            )
            return
        if flow is None:
            returned = data[0] | wire.BOUNCED
            self._send_raw(bytes((returned,)) + bytes(5) + data[6:])
            return
        if not flow.open:
            if packet.ack != (flow.initial + 1) & 0xFFFFFFFF:
                returned = data[0] | wire.BOUNCED
                self._send_raw(bytes((returned,)) + bytes(5) + data[6:])
                return
            flow.open = True
            self._log(f"{self.name}: flow {packet.sport} open")
        if packet.flags & wire.RST:
            del self.flows[packet.flow]
            return
        if packet.ack == flow.next_seq:
            flow.acknowledged = True
        if packet.data:
            self._on_data(packet, flow)
        if packet.flags & wire.FIN:
            self._send(
                packet, wire.FIN | wire.ACK, flow.next_seq, packet.seq + 1
            )
            del self.flows[packet.flow]

    def _on_data(self, packet: wire.Packet, flow: _Flow) -> None:
        end = (packet.seq + len(packet.data)) & 0xFFFFFFFF
        if flow.received is not None and (end - flow.received - 1) >> 31 & 1:
            self._send(packet, wire.ACK, flow.next_seq, flow.received)
            return  # a copy
        if flow.received == end:
            self._send(packet, wire.ACK, flow.next_seq, flow.received)
            return
        flow.received = end
        self._log(
            f"{self.name}: runs {packet.data.decode()} of flow {packet.sport}"
        )
        self._spawn(self._run(packet, flow, end))

    async def _run(self, packet: wire.Packet, flow: _Flow, end: int) -> None:
        await asyncio.sleep(self._work_s)
        answer = b"done " + packet.data
        seq = flow.next_seq
        flow.next_seq = (seq + len(answer)) & 0xFFFFFFFF
        flow.acknowledged = False
        for pause_s in RETRANSMIT_S:
            self._send(packet, wire.ACK, seq, end, answer)
            await asyncio.sleep(pause_s)
            if flow.acknowledged:
                return

    def _send(
        self,
        to: wire.Packet,
        flags: int,
        seq: int,
        ack: int,
        data: bytes = b"",
    ) -> None:
        self._send_raw(
            wire.encode(
                wire.Packet(
                    flags,
                    seq & 0xFFFFFFFF,
                    ack & 0xFFFFFFFF,
                    to.dst,
                    to.dport,
                    to.src,
                    to.sport,
                    data,
                )
            )
        )

    def _send_raw(self, data: bytes) -> None:
        if self._socket is None:
            return
        try:
            self._socket.sendto(data, (self.host, self._ports["outbound"]))
        except OSError:
            pass  # the side process is down
