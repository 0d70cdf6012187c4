"""Callers that send requests at a rate, however many are under way."""

import asyncio
import collections
import dataclasses
import random
import socket
import time

from bench.soak import audit as audit_module
from bench.soak import router as router_module
from clementinelead.platform.standins import packets

__all__ = ["Callers", "Kind"]

OPENING_SEND_TIMES_S = (0.0, 0.2, 0.6)
OPEN_TIMEOUT_S = 1.4
REQUEST_SEND_TIMES_S = (0.0, 0.2, 0.6, 1.4)
RETRY_DELAY_S = 0.3
MAX_ATTEMPTS = 2
"""Flows that a caller opens for a request; more would overload this process."""

FIRST_PORT = 1_024
LAST_PORT = 65_000
MAX_DATAGRAM_BYTES = 2_048

_Flow = tuple[int, int, int, int]


@dataclasses.dataclass(frozen=True)
class Kind:
    """Requests of one route.

    Attributes:
        name: Name of the kind, for the figures.
        service: Service of the route.
        address: IP address and port of the route.
        objective_s: Time in which an answer is in time, seconds.
        timeout_s: Time after which the caller gives up, seconds.
    """

    name: str
    service: str
    address: tuple[str, int]
    objective_s: float
    timeout_s: float


class Callers:
    """Opens a flow for each request, from one address.

    Attributes:
        outcomes: Number of requests by name of the kind and outcome:
            ``offered``, and ``in_time``, ``late``, ``refused``, ``rejected``,
            ``not_opened``, ``reset`` or ``unanswered``.
        longest_delay_s: Longest time by which a request was sent late, seconds.
            Delays of this process count as those of the answers.
    """

    def __init__(
        self,
        address: tuple[str, int],
        router: router_module.Router,
        audit: audit_module.Audit,
        generator: random.Random,
    ):
        """Binds the callers' address.

        Args:
            address: IP address and port.
            router: Where packets are sent.
            audit: Collector of violations.
            generator: Generator of arrivals.
        """
        self.outcomes: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.longest_delay_s = 0.0
        self._host = int.from_bytes(socket.inet_aton(address[0]), "big")
        self._router = router
        self._audit = audit
        self._random = generator
        self._port = FIRST_PORT
        self._request_count = 0
        self._packets_by_port: dict[int, asyncio.Queue[packets.Packet]] = {}
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind(address)

    def start(self) -> None:
        """Starts to receive."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._read)

    def close(self) -> None:
        """Ends receiving, and closes the socket."""
        asyncio.get_running_loop().remove_reader(self._socket.fileno())
        self._socket.close()

    async def offer(
        self, kind: Kind, rate: float, settle_s: float, counted_s: float
    ) -> None:
        """Sends requests at random times and waits until all have ended.

        Args:
            kind: Their kind.
            rate: Their mean rate, requests per second.
            settle_s: Time at the start whose requests are not counted, seconds.
            counted_s: Time after that in which requests are sent, seconds.
        """
        begun_s = due_s = time.monotonic()
        async with asyncio.TaskGroup() as group:
            while True:
                due_s += self._random.expovariate(rate)
                if due_s >= begun_s + settle_s + counted_s:
                    break
                await asyncio.sleep(max(0.0, due_s - time.monotonic()))
                delay_s = time.monotonic() - due_s
                self.longest_delay_s = max(self.longest_delay_s, delay_s)
                is_counted = due_s >= begun_s + settle_s
                group.create_task(self._request(kind, is_counted))

    async def _request(self, kind: Kind, is_counted: bool) -> None:
        """Sends a request and counts its outcome."""
        begun_s = time.monotonic()
        self._request_count += 1
        name = f"{kind.name}.{self._request_count}"
        for attempt in range(MAX_ATTEMPTS):
            if attempt:
                await asyncio.sleep(RETRY_DELAY_S)
            outcome = await self._attempt(kind, name, begun_s)
            if outcome not in ("refused", "rejected"):
                break
        answered_s = time.monotonic() - begun_s
        if outcome == "answered":
            in_time = answered_s <= kind.objective_s
            outcome = "in_time" if in_time else "late"
        if is_counted:
            self.outcomes[kind.name, "offered"] += 1
            self.outcomes[kind.name, outcome] += 1

    async def _attempt(self, kind: Kind, name: str, begun_s: float) -> str:
        """Sends a request on a new flow and returns the outcome."""
        self._port = self._port + 1 if self._port < LAST_PORT else FIRST_PORT
        port = self._port
        self._packets_by_port[port] = asyncio.Queue()
        host, service_port = kind.address
        number = int.from_bytes(socket.inet_aton(host), "big")
        flow = (self._host, port, number, service_port)
        try:
            return await self._use(flow, kind, name, begun_s)
        finally:
            del self._packets_by_port[port]

    async def _use(
        self, flow: _Flow, kind: Kind, name: str, begun_s: float
    ) -> str:
        """Opens a flow, sends a request on it and returns the outcome."""
        end_s = begun_s + kind.timeout_s
        sequence = self._random.getrandbits(30)
        opening = packets.Packet(packets.SYN, sequence, 0, *flow)
        open_end_s = min(end_s, time.monotonic() + OPEN_TIMEOUT_S)
        accepted = await self._exchange(
            opening, OPENING_SEND_TIMES_S, open_end_s
        )
        request = f"{name}/{flow[1]}"
        if accepted is None:
            return "not_opened"
        if accepted.flags & packets.RST:
            self._audit.record_refusal(request, time.monotonic())
            return "refused"
        sequence, ack = sequence + 1, accepted.seq + 1
        self._send(packets.Packet(packets.ACK, sequence, ack, *flow))
        data = f"{request} {kind.service}".encode()
        packet = packets.Packet(packets.ACK, sequence, ack, *flow, data)
        answer = await self._exchange(packet, REQUEST_SEND_TIMES_S, end_s)
        if answer is None:
            return "unanswered"
        if answer.flags & packets.RST:
            return "reset"
        closing = packets.FIN | packets.ACK
        sequence += len(data)
        self._send(packets.Packet(closing, sequence, ack, *flow))
        if answer.data == f"rejected {request}".encode():
            return "rejected"
        self._audit.record_answer(
            request, answer.data.decode(), time.monotonic()
        )
        return "answered"

    async def _exchange(
        self,
        packet: packets.Packet,
        send_times_s: tuple[float, ...],
        end_s: float,
    ) -> packets.Packet | None:
        """Sends a packet and its copies; returns the answer or the reset.

        Args:
            packet: The packet.
            send_times_s: Times of transmission, seconds from the first.
            end_s: When to give up, monotonic time in seconds.
        """
        begun_s = time.monotonic()
        for number in range(len(send_times_s)):
            # The acknowledgement number of opening packets counts copies.
            copy = packet
            if packet.flags & packets.SYN:
                copy = dataclasses.replace(packet, ack=number)
            self._send(copy)
            later = send_times_s[number + 1 :]
            until_s = min(end_s, begun_s + later[0]) if later else end_s
            answer = await self._receive(packet, until_s)
            if answer is not None or time.monotonic() >= end_s:
                return answer
        return None

    async def _receive(
        self, packet: packets.Packet, until_s: float
    ) -> packets.Packet | None:
        """Returns the answer to a packet or the reset, None if none comes."""
        queue = self._packets_by_port[packet.sport]
        opening = packet.flags & packets.SYN
        try:
            async with asyncio.timeout(max(0.0, until_s - time.monotonic())):
                while True:
                    answer = await queue.get()
                    if answer.flags & packets.RST:
                        return answer
                    is_accept = bool(answer.flags & packets.SYN)
                    if is_accept if opening else answer.data:
                        return answer
        except TimeoutError:
            return None

    def _send(self, packet: packets.Packet) -> None:
        self._router.forward(packet.flow, packets.encode(packet))

    def _read(self) -> None:
        while True:
            try:
                data = self._socket.recv(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            packet, _ = packets.decode(data)
            queue = self._packets_by_port.get(packet.dport)
            if queue is not None:
                queue.put_nowait(packet)
