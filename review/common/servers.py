"""Stand-in of the platform's servers."""

import asyncio
import collections.abc
import dataclasses
import random
import socket
import time
import typing

from common import http
from common import packets
from common import record as record_module

RETRANSMISSIONS_S = (0.2, 0.4, 0.8, 1.6, 1.6, 1.6, 1.6, 1.6)
PING_TIMEOUT_S = 1.0
MAX_DATAGRAM_BYTES = 2_048
SEQUENCE_BITS = 31

Flow = tuple[int, int, int, int]
Observer = collections.abc.Callable[
    ["Server", packets.Packet, bool, float], None
]


@dataclasses.dataclass
class _HeldFlow:
    """A flow at a server."""

    own_seq: int
    requester_seq: int
    is_open: bool = False
    closed: bool = False
    unacknowledged: dict[int, bytes] = dataclasses.field(default_factory=dict)
    answered: set[int] = dataclasses.field(default_factory=set)


class Server:
    """A server beside a node of the system."""

    def __init__(
        self,
        name: str,
        service: str,
        zone: str,
        address: str,
        ports: dict[str, int],
        heartbeat_s: float,
        work_s: float,
        capacity: int,
        record: record_module.Record,
        observer: Observer,
    ):
        """Creates a server that does not run yet.

        ``observer`` gets each packet that arrives, and whether the server
        holds its flow.
        """
        self.name = name
        self.service = service
        self.address = address
        self.acknowledged_states: list[tuple[float, str]] = []
        self.runs: list[str] = []
        self.state = "ready"
        self.born = 0
        self.return_delay_s = 0.0
        self._zone = zone
        self._ports = ports
        self._heartbeat_s = heartbeat_s
        self._work_s = work_s
        self._capacity = capacity
        self._slots = asyncio.Semaphore(capacity)
        self._record = record
        self._observer = observer
        self._sequence = 0
        self._flows: dict[Flow, _HeldFlow] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._random = random.Random(name)
        self._socket: socket.socket
        self._health: asyncio.Server

    async def start(self) -> None:
        """Opens the sockets and starts to send pings."""
        self.born = time.time_ns() // 1_000_000
        endpoint = (self.address, self._ports["app"])
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(endpoint)
        self._health = await http.serve(*endpoint, self._on_health)
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._read)
        self.spawn(self._ping_forever())

    def spawn(self, work: collections.abc.Coroutine[None, None, None]) -> None:
        """Runs a coroutine until it ends or the server stops."""
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def stop(self) -> None:
        """Ends the server."""
        for task in list(self._tasks):
            task.cancel()
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()
        self._health.close()

    def holds(self, flow: Flow) -> bool:
        """Returns whether a flow is open here."""
        held = self._flows.get(flow)
        return held is not None and held.is_open and not held.closed

    async def _on_health(
        self, method: str, path: str, query: dict[str, str], content: typing.Any
    ) -> http.Answer:
        return 200, {}

    async def _ping_forever(self) -> None:
        while True:
            await self.ping()
            await asyncio.sleep(self._heartbeat_s)

    async def ping(self) -> int | None:
        """Sends a ping, and returns the status of the answer."""
        self._sequence += 1
        state = self.state
        content = {
            "service": self.service,
            "address": f"{self.address}:{self._ports['app']}",
            "zone": self._zone,
            "version": "v1",
            "capacity": self._capacity,
            "state": state,
            "warmup_left_ms": 0,
            "sequence": self._sequence,
            "born": self.born,
        }
        status = await http.call(
            (self.address, self._ports["control"]),
            "PUT",
            f"/instances/{self.name}",
            content,
            PING_TIMEOUT_S,
        )
        if status is not None and 200 <= status < 300:
            self.acknowledged_states.append((time.monotonic(), state))
        return status

    def _read(self) -> None:
        while True:
            try:
                datagram = self._socket.recv(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self._on_datagram(datagram)

    def _on_datagram(self, datagram: bytes) -> None:
        packet, whole = packets.decode(datagram)
        now = time.monotonic()
        if not whole:
            self._record.line(f"server {self.name} got a changed packet")
        flow = packet.from_requester
        held = self._flows.get(flow)
        if packet.flags & packets.SYN:
            if held is None:
                held = _HeldFlow(
                    self._random.getrandbits(SEQUENCE_BITS), packet.seq
                )
                self._flows[flow] = held
            self._observer(self, packet, True, now)
            self._send(packet, packets.SYN | packets.ACK, held.own_seq, b"")
            return
        mine = held is not None and (
            held.is_open or packet.ack == held.own_seq + 1
        )
        self._observer(self, packet, mine, now)
        if held is None or not mine:
            returned = bytes((datagram[0] | packets.BOUNCED,))
            self._return(returned + bytes(5) + datagram[6:])
            return
        held.is_open = True
        self._on_packet_of_flow(packet, held)

    def _return(self, datagram: bytes) -> None:
        """Returns a packet of a flow that the server does not hold."""
        if not self.return_delay_s:
            self._send_bytes(datagram)
            return
        asyncio.get_running_loop().call_later(
            self.return_delay_s, self._send_bytes, datagram
        )

    def _on_packet_of_flow(
        self, packet: packets.Packet, held: _HeldFlow
    ) -> None:
        if packet.flags & packets.RST:
            held.closed = True
            held.unacknowledged.clear()
            return
        for end in [end for end in held.unacknowledged if end <= packet.ack]:
            del held.unacknowledged[end]
        if packet.data and packet.seq not in held.answered:
            held.answered.add(packet.seq)
            self.spawn(self._work(packet, held))
        if packet.flags & packets.FIN:
            held.closed = True
            self._send(packet, packets.FIN | packets.ACK, packet.ack, b"")

    async def _work(self, packet: packets.Packet, held: _HeldFlow) -> None:
        request = packet.data.decode().split("Attempt-Id: ")[1].split("\r")[0]
        self.runs.append(request)
        self._record.line(f"server {self.name} runs {request}")
        async with self._slots:
            await asyncio.sleep(self._work_s)
        body = f"done {request}"
        text = (
            "HTTP/1.1 200 OK\r\nX-Clementinelead-Response-Seal: "
            f"{request}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        )
        seq = packet.ack
        data = text.encode()
        end = seq + len(data)
        held.unacknowledged[end] = data
        self._send(packet, packets.ACK, seq, data)
        for pause_s in RETRANSMISSIONS_S:
            await asyncio.sleep(pause_s)
            if end not in held.unacknowledged:
                return
            self._send(packet, packets.ACK, seq, data)

    def _send(
        self, packet: packets.Packet, flags: int, seq: int, data: bytes
    ) -> None:
        """Sends a packet to the requester that wrote another one."""
        syn = bool(packet.flags & (packets.SYN | packets.FIN))
        answer = packets.Packet(
            flags,
            seq,
            packet.seq + len(packet.data) + (1 if syn else 0),
            packet.dst,
            packet.dport,
            packet.src,
            packet.sport,
            data,
        )
        self._send_bytes(packets.encode(answer))

    def _send_bytes(self, datagram: bytes) -> None:
        try:
            self._socket.sendto(
                datagram, (self.address, self._ports["outbound"])
            )
        except OSError:
            self._record.line(f"server {self.name} could not send a packet")
