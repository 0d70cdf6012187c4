"""Callers: open flows through the router, send requests, watch the answers."""

import asyncio
import random
import socket
import time
import typing

from bench.soak import audit as audit_module
from bench.soak import router as router_module
from clementinelead.platform.standins import packets

__all__ = ["Caller"]

OPEN_S = 1.4
ANSWER_S = 1.5
COPIES_AT_S = (0.0, 0.2, 0.6)
REPEATS_AT_S = (0.0, 0.2, 0.6, 1.2)
MAX_REQUESTS = 12
RETRIES = 2
PAUSE_S = (0.05, 0.4)

Holds = typing.Callable[[tuple[int, int, int, int]], bool]


class _RefusedError(Exception):
    """A reset came."""


class Caller:
    """Sends request after request, on feeds or a flow each."""

    def __init__(
        self,
        name: str,
        address: str,
        port: int,
        route: tuple[str, int, str],
        router: router_module.Router,
        holds: Holds,
        audit: audit_module.Audit,
        generator: random.Random,
    ):
        self._name = name
        self._number = int.from_bytes(socket.inet_aton(address), "big")
        self._service = route[2]
        service = socket.inet_aton(route[0])
        self._service_address = int.from_bytes(service, "big")
        self._service_port = route[1]
        self._router = router
        self._holds = holds
        self._audit = audit
        self._random = generator
        self._port = 1_024
        self._count = 0
        self._seq = 0
        self._queue: asyncio.Queue[packets.Packet] = asyncio.Queue()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((address, port))

    async def run(self, feeds: bool) -> None:
        """Sends requests until cancelled."""
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._read)
        try:
            while True:
                requests = self._random.randint(2, MAX_REQUESTS) if feeds else 1
                await self._use_flow(requests)
        finally:
            loop.remove_reader(self._socket.fileno())
            self._socket.close()

    def _read(self) -> None:
        while True:
            try:
                data = self._socket.recv(2_048)
            except OSError:
                return
            packet, whole = packets.decode(data)
            if not whole and not packet.flags & packets.RST:
                self._audit.record_violation(
                    f"{self._name} got a changed packet", time.monotonic()
                )
            if packet.dport == self._port:
                self._queue.put_nowait(packet)

    async def _use_flow(self, requests: int) -> None:
        request = self._next_request()
        for _ in range(1 + RETRIES):
            opened = await self._open(request)
            if opened is not None:
                break
        else:
            return
        for number in range(requests):
            if number:
                await asyncio.sleep(self._random.uniform(*PAUSE_S))
                request = self._next_request()
            if not await self._ask(request, opened):
                return
        self._send(packets.FIN | packets.ACK, opened)

    def _next_request(self) -> str:
        self._count += 1
        self._audit.asked.append(time.monotonic())
        return f"{self._name}.{self._count}"

    async def _open(self, request: str) -> int | None:
        """Opens a flow; returns the number that the target chose."""
        self._port = self._port + 1 if self._port < 65_000 else 1_024
        self._seq = self._random.getrandbits(30)
        while not self._queue.empty():
            self._queue.get_nowait()
        try:
            answer = await self._exchange(
                packets.SYN, 0, b"", COPIES_AT_S, OPEN_S
            )
        except _RefusedError:
            # Nothing was sent on this flow yet, so nothing may run.
            self._audit.refused(f"{request}/{self._port}", time.monotonic())
            await asyncio.sleep(0.05)
            return None
        if answer is None:
            self._audit.outcomes["not opened"] += 1
            return None
        self._seq += 1
        self._send(packets.ACK, answer.seq + 1)
        return answer.seq + 1

    async def _ask(self, request: str, opened: int) -> bool:
        """Sends a request; tells whether the flow can be used further."""
        text = f"{request}/{self._port} {self._service}".encode()
        flow = self._flow()
        try:
            answer = await self._exchange(
                packets.ACK, opened, text, REPEATS_AT_S, ANSWER_S
            )
        except _RefusedError:
            self._audit.outcomes["reset"] += 1
            if self._holds(flow):
                self._audit.record_violation(
                    f"{self._name}: a flow was reset that its target holds",
                    time.monotonic(),
                )
            return False
        self._seq += len(text)
        if answer is None:
            self._audit.outcomes["no answer"] += 1
            return False
        self._audit.answered(
            f"{request}/{self._port}", answer.data.decode(), time.monotonic()
        )
        return True

    async def _exchange(
        self,
        flags: int,
        ack: int,
        data: bytes,
        send_at: tuple[float, ...],
        timeout_s: float,
    ) -> packets.Packet | None:
        """Sends a packet, and again, until its answer is there.

        Raises:
            _RefusedError: The flow was reset.
        """
        begun = time.monotonic()
        moments = [begun + moment for moment in send_at]
        while time.monotonic() < begun + timeout_s:
            if moments and time.monotonic() >= moments[0]:
                moments.pop(0)
                copies = len(send_at) - len(moments) - 1
                opening = flags == packets.SYN
                self._send(flags, copies if opening else ack, data)
            following = moments[0] if moments else begun + timeout_s
            wait = max(0.0, following - time.monotonic())
            try:
                async with asyncio.timeout(wait):
                    packet = await self._queue.get()
            except TimeoutError:
                continue
            if packet.flags & packets.RST:
                raise _RefusedError
            opening = bool(packet.flags & packets.SYN)
            if opening == bool(flags & packets.SYN) and (
                opening or packet.data
            ):
                if opening or packet.ack == self._seq + len(data):
                    return packet
        return None

    def _flow(self) -> tuple[int, int, int, int]:
        return (
            self._number,
            self._port,
            self._service_address,
            self._service_port,
        )

    def _send(self, flags: int, ack: int, data: bytes = b"") -> None:
        src, sport, dst, dport = self._flow()
        packet = packets.Packet(
            flags, self._seq, ack, src, sport, dst, dport, data
        )
        self._router.forward(packet.flow, packets.encode(packet))
