"""Callers: open flows through the router, send requests, check answers."""

import asyncio
import dataclasses
import random
import socket
import time
import typing

from bench.soak import audit as audit_module
from bench.soak import displacements
from bench.soak import router as router_module
from clementinelead.platform.standins import packets

__all__ = ["Caller", "Competition"]

OPEN_TIMEOUT_S = 1.4
ANSWER_TIMEOUT_S = 1.5
OPENING_SEND_TIMES_S = (0.0, 0.2, 0.6)
REQUEST_SEND_TIMES_S = (0.0, 0.2, 0.6, 1.2)
MAX_REQUESTS_PER_FLOW = 12
MAX_OPEN_RETRIES = 2
REQUEST_PAUSE_RANGE_S = (0.05, 0.4)
COMPETING_PAUSE_RANGE_S = (0.0, 0.005)
IDLE_CHECK_S = 0.2

IsFlowHeld = typing.Callable[[tuple[int, int, int, int]], bool]


@dataclasses.dataclass(frozen=True)
class Competition:
    """How a caller competes with callers of another priority.

    Its requests are not counted in the share of answered requests: there are
    several times as many as those of the other callers.

    Attributes:
        displacements: Check of the order of priorities.
        urgent: Whether the caller's route has the higher priority.
    """

    displacements: displacements.Displacements
    urgent: bool


class _RefusedError(Exception):
    """The flow was reset."""


class Caller:
    """Sends requests in sequence, several on a flow or one on each."""

    def __init__(
        self,
        name: str,
        address: str,
        port: int,
        route: tuple[str, int, str],
        router: router_module.Router,
        is_flow_held: IsFlowHeld,
        audit: audit_module.Audit,
        generator: random.Random,
        competition: Competition | None = None,
    ):
        self._name = name
        self._number = int.from_bytes(socket.inet_aton(address), "big")
        self._service = route[2]
        service = socket.inet_aton(route[0])
        self._service_address = int.from_bytes(service, "big")
        self._service_port = route[1]
        self._router = router
        self._is_flow_held = is_flow_held
        self._audit = audit
        self._random = generator
        self._competition = competition
        self._pause_range_s = (
            COMPETING_PAUSE_RANGE_S if competition else REQUEST_PAUSE_RANGE_S
        )
        self._port = 1_024
        self._request_count = 0
        self._seq = 0
        self._queue: asyncio.Queue[packets.Packet] = asyncio.Queue()
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((address, port))

    async def run(self, persistent: bool) -> None:
        """Sends requests until cancelled.

        Args:
            persistent: Whether a flow carries several requests; otherwise
                each request opens a flow.
        """
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._read)
        try:
            while True:
                requests = (
                    self._random.randint(2, MAX_REQUESTS_PER_FLOW)
                    if persistent
                    else 1
                )
                await self._run_flow(requests)
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

    async def hold_flow(self, release: asyncio.Event) -> None:
        """Opens a flow, leaves it idle, and then sends another request on it.

        The request must be answered. Another flow is opened if its target has
        crashed meanwhile.

        Args:
            release: Set when the processes have recovered from all faults.
        """
        loop = asyncio.get_running_loop()
        loop.add_reader(self._socket.fileno(), self._read)
        try:
            ack = None
            while not release.is_set():
                if ack is None or not self._is_flow_held(self._flow()):
                    ack = await self._open_and_use()
                await asyncio.sleep(IDLE_CHECK_S)
            if ack is None or not self._is_flow_held(self._flow()):
                return
            self._audit.outcomes["idle flows used"] += 1
            if not await self._send_request(self._next_request(), ack):
                self._audit.record_violation(
                    f"{self._name}: an idle flow was not found at its target",
                    time.monotonic(),
                )
        finally:
            loop.remove_reader(self._socket.fileno())
            self._socket.close()

    async def _open_and_use(self) -> int | None:
        """Opens a flow and sends a request on it; returns as ``_open`` does."""
        request = self._next_request()
        ack = await self._open(request)
        if ack is not None:
            await self._send_request(request, ack)
        return ack

    async def _run_flow(self, requests: int) -> None:
        request = self._next_request()
        for _ in range(1 + MAX_OPEN_RETRIES):
            ack = await self._open(request)
            if ack is not None:
                break
        else:
            return
        for number in range(requests):
            if number:
                await asyncio.sleep(self._random.uniform(*self._pause_range_s))
                request = self._next_request()
            if not await self._send_request(request, ack):
                return
        self._send(packets.FIN | packets.ACK, ack)

    def _next_request(self) -> str:
        self._request_count += 1
        if self._competition is None:
            self._audit.request_times_s.append(time.monotonic())
        return f"{self._name}.{self._request_count}"

    async def _open(self, request: str) -> int | None:
        """Opens a flow.

        Returns:
            The acknowledgement number of further packets: the target's initial
            sequence number plus one; None if the flow was not opened.
        """
        self._port = self._port + 1 if self._port < 65_000 else 1_024
        self._seq = self._random.getrandbits(30)
        while not self._queue.empty():
            self._queue.get_nowait()
        try:
            answer = await self._exchange(
                packets.SYN, 0, b"", OPENING_SEND_TIMES_S, OPEN_TIMEOUT_S
            )
        except _RefusedError:
            # No request was sent on this flow yet, so none may be executed.
            self._audit.record_refusal(
                f"{request}/{self._port}", time.monotonic()
            )
            await asyncio.sleep(0.05)
            return None
        if answer is None:
            self._audit.outcomes["not opened"] += 1
            return None
        self._seq += 1
        self._send(packets.ACK, answer.seq + 1)
        return answer.seq + 1

    async def _send_request(self, request: str, ack: int) -> bool:
        """Sends a request and awaits its answer.

        Args:
            request: Identifier of the request.
            ack: Acknowledgement number of the flow's packets.

        Returns:
            Whether the flow can carry another request.
        """
        text = f"{request}/{self._port} {self._service}".encode()
        flow = self._flow()
        try:
            answer = await self._exchange(
                packets.ACK, ack, text, REQUEST_SEND_TIMES_S, ANSWER_TIMEOUT_S
            )
        except _RefusedError:
            self._audit.outcomes["reset"] += 1
            if self._is_flow_held(flow):
                self._audit.record_violation(
                    f"{self._name}: a flow was reset that its target holds",
                    time.monotonic(),
                )
            return False
        self._seq += len(text)
        if answer is None:
            self._audit.outcomes["no answer"] += 1
            return False
        now = time.monotonic()
        self._audit.record_answer(
            f"{request}/{self._port}", answer.data.decode(), now
        )
        if self._competition is None:
            self._audit.answer_times_s.append(now)
        else:
            self._competition.displacements.record_answer(
                flow, self._router.choose(flow), now
            )
        return True

    def _send_acknowledgement(self, ack: int, data: bytes) -> None:
        """Shows the target which request it is to get; see displacements."""
        if self._competition is None:
            return
        flow = self._flow()
        end = self._seq + len(data)
        self._competition.displacements.record_sent(
            flow,
            end,
            self._competition.urgent,
            self._router.choose(flow),
            time.monotonic(),
        )
        packet = packets.Packet(packets.ACK, end, ack, *flow)
        self._router.forward(flow, packets.encode(packet))

    async def _exchange(
        self,
        flags: int,
        ack: int,
        data: bytes,
        send_times_s: tuple[float, ...],
        timeout_s: float,
    ) -> packets.Packet | None:
        """Sends a packet and its retransmissions until an answer arrives.

        Args:
            flags: TCP flags of the packet.
            ack: Acknowledgement number; opening packets carry the number of
                the retransmission in its place.
            data: Payload.
            send_times_s: Times of transmission, seconds from the first.
            timeout_s: Time to wait for the answer, seconds.

        Returns:
            The answer, or None after the timeout.

        Raises:
            _RefusedError: The flow was reset.
        """
        start_s = time.monotonic()
        due_times_s = [start_s + time_s for time_s in send_times_s]
        while time.monotonic() < start_s + timeout_s:
            if due_times_s and time.monotonic() >= due_times_s[0]:
                due_times_s.pop(0)
                retransmission = len(send_times_s) - len(due_times_s) - 1
                opening = flags == packets.SYN
                self._send(flags, retransmission if opening else ack, data)
                if data and not retransmission:
                    self._send_acknowledgement(ack, data)
            next_s = due_times_s[0] if due_times_s else start_s + timeout_s
            wait_s = max(0.0, next_s - time.monotonic())
            try:
                async with asyncio.timeout(wait_s):
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
