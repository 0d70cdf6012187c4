"""Stand-in targets: run requests, return foreign packets, send heartbeats."""

import asyncio
import collections
import dataclasses
import json
import random
import socket
import time
import typing

from clementinelead.platform.standins import packets
from clementinelead.processes import http_client

__all__ = ["Audit", "Behaviour", "Target"]

HEARTBEAT_INTERVAL_S = 0.4
DRAIN_RETRY_INTERVAL_S = 0.1
CALL_TIMEOUT_S = 1.0
SEQUENCE_BITS = 30
MAX_DATAGRAM_BYTES = 2_048
DRAIN_TIMEOUT_S = 3.0
EXTRA_SERVING_TIME_RANGE_S = (0.0, 3.0)
"""Time that a target serves on after its drain timeout, as real targets do."""


@dataclasses.dataclass(frozen=True)
class Behaviour:
    """How a target serves requests.

    Attributes:
        slots: Requests that it serves at once.
        service_time_range_s: Shortest and longest service time, seconds.
        queue_limit: Requests that it queues; it rejects further ones with an
            answer. None for no limit.
    """

    slots: int = 2
    service_time_range_s: tuple[float, float] = (0.004, 0.03)
    queue_limit: int | None = None


class Audit(typing.Protocol):
    """Records what targets observe.

    Attributes:
        outcomes: Number of attempts by outcome.
    """

    outcomes: collections.Counter[str]

    def record_run(
        self, request: str, service: str, own: str, now: float
    ) -> None:
        """Records that a target has run a request.

        Args:
            request: Identifier of the request.
            service: Service that the request is for.
            own: Service of the target.
            now: Present time, seconds.
        """

    def record_packet(
        self, target: str, packet: packets.Packet, now: float
    ) -> None:
        """Records a packet of a flow that a target holds.

        Args:
            target: Name of the target.
            packet: The packet.
            now: Present time, seconds.
        """

    def record_violation(self, text: str, now: float) -> None:
        """Records the violation of a guarantee.

        Args:
            text: Description of the violation.
            now: Present time, seconds.
        """


_DEFAULT_BEHAVIOUR = Behaviour()


class Target:
    """A target beside a side process.

    Attributes:
        name: Identifier of the target.
        service: Service that it serves.
        address: IP address of its side process and of itself.
        serving: Whether an incarnation is running.
        started_at: Start of the latest incarnation, monotonic seconds.
        flows: Sequence number in the target's packets, by flow.
    """

    def __init__(
        self,
        name: str,
        service: str,
        address: str,
        ports: typing.Mapping[str, int],
        audit: Audit,
        generator: random.Random,
        zone: str,
        behaviour: Behaviour = _DEFAULT_BEHAVIOUR,
    ):
        self.name = name
        self.service = service
        self.address = address
        self.serving = False
        self.started_at = float("-inf")
        self.flows: dict[tuple[int, int, int, int], int] = {}
        self._ports = ports
        self._audit = audit
        self._random = generator
        self._zone = zone
        self._reply_by_request: dict[str, packets.Packet | None] = {}
        self._behaviour = behaviour
        self._slots = asyncio.Semaphore(behaviour.slots)
        self._unanswered_requests: set[str] = set()
        self._state = "ready"
        self._draining_since: float | None = None
        self._sequence = 0
        self._started_ms = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._socket: socket.socket | None = None
        self._listener: socket.socket | None = None

    def start(self) -> None:
        """Starts a new incarnation: opens its sockets, sends heartbeats."""
        self.serving = True
        self.started_at = time.monotonic()
        self.flows.clear()
        self._reply_by_request.clear()
        self._unanswered_requests.clear()
        self._state = "ready"
        self._draining_since = None
        self._sequence = 0
        self._started_ms = time.time_ns() // 1_000_000
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((self.address, self._ports["app"]))
        # Health checks count a target as alive while its TCP port listens.
        self._listener = socket.create_server(
            (self.address, self._ports["app"])
        )
        loop = asyncio.get_running_loop()
        loop.add_reader(
            self._socket.fileno(), self._receive_waiting, self._socket
        )
        self._spawn(self._send_heartbeats_forever())

    def crash(self) -> None:
        """Ends at once; flows and requests in progress are lost."""
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
        """Reports the drain, goes on to serve until its timeout, and ends.

        Does nothing if this incarnation is already draining. If it crashes
        meanwhile, the drain does not apply to the next incarnation.
        """
        if self._state == "draining":
            return
        started_ms = self._started_ms
        self._state = "draining"
        began_s = time.monotonic()
        while (
            self._started_ms == started_ms
            and time.monotonic() - began_s < DRAIN_TIMEOUT_S
        ):
            if await self._send_heartbeat(started_ms):
                break
            await asyncio.sleep(DRAIN_RETRY_INTERVAL_S)
        await asyncio.sleep(
            DRAIN_TIMEOUT_S + self._random.uniform(*EXTRA_SERVING_TIME_RANGE_S)
        )
        if self.serving and self._started_ms == started_ms:
            await self._call("DELETE", "draining")
            if self._started_ms == started_ms:
                self.crash()

    def _spawn(self, coroutine: typing.Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _send_heartbeats_forever(self) -> None:
        while True:
            await self._send_heartbeat(self._started_ms)
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _send_heartbeat(self, started_ms: int) -> bool:
        """Sends a heartbeat, and returns whether it was acknowledged.

        Args:
            started_ms: Start of the incarnation that sends it.
        """
        state = self._state
        acknowledged = await self._call("PUT", state)
        drain_acknowledged = (
            acknowledged
            and state == "draining"
            and self._started_ms == started_ms
        )
        if drain_acknowledged and self._draining_since is None:
            self._draining_since = time.monotonic()
        return acknowledged

    async def _call(self, method: str, state: str) -> bool:
        self._sequence += 1
        content = {
            "service": self.service,
            "address": f"{self.address}:{self._ports['app']}",
            "zone": self._zone,
            "version": "v1",
            "warmup_left_ms": 0,
            "capacity": self._behaviour.slots,
            "state": state,
            "sequence": self._sequence,
            "born": self._started_ms,
        }
        answer = await http_client.call(
            (self.address, self._ports["control"]),
            method,
            f"/instances/{self.name}",
            json.dumps(content).encode(),
            CALL_TIMEOUT_S,
        )
        return isinstance(answer, http_client.Response) and answer.status == 200

    def _receive_waiting(self, receiver: socket.socket) -> None:
        while True:
            try:
                data = receiver.recv(MAX_DATAGRAM_BYTES)
            except OSError:
                return
            self._receive(data)

    def _receive(self, data: bytes) -> None:
        now = time.monotonic()
        packet, checksum_matches = packets.decode(data)
        if not checksum_matches:
            self._audit.record_violation(
                f"{self.name} received a corrupted packet", now
            )
        if packet.flags & packets.SYN and packet.flow not in self.flows:
            since = self._draining_since
            if since is not None and now - since > DRAIN_TIMEOUT_S:
                self._audit.record_violation(
                    f"{self.name} received a new flow after its drain timeout",
                    now,
                )
            self.flows[packet.flow] = self._random.getrandbits(SEQUENCE_BITS)
        if packet.flow not in self.flows:
            self._send(bytes((data[0] | packets.RETURNED,)) + data[1:])
            return
        self._audit.record_packet(self.name, packet, now)
        if packet.flags & packets.SYN:
            self._reply(packet, packets.SYN | packets.ACK)
        elif packet.data:
            self._on_request(packet, now)
        elif packet.flags & packets.FIN:
            self._reply(packet, packets.FIN | packets.ACK)

    @property
    def _is_full(self) -> bool:
        """Whether it rejects a further request."""
        limit = self._behaviour.queue_limit
        if limit is None:
            return False
        return len(self._unanswered_requests) >= self._behaviour.slots + limit

    def _on_request(self, packet: packets.Packet, now: float) -> None:
        request, service = packet.data.decode().split()
        if request in self._reply_by_request:
            reply = self._reply_by_request[request]
            if reply is not None:
                self._send(packets.encode(reply))
            return
        if self._is_full:
            text = f"rejected {request}".encode()
            reply = self._reply(packet, packets.ACK, text)
            self._reply_by_request[request] = reply
            return
        self._reply_by_request[request] = None
        self._unanswered_requests.add(request)
        self._audit.record_run(request, service, self.service, now)
        self._spawn(self._run_request(packet, request))

    async def _run_request(self, packet: packets.Packet, request: str) -> None:
        async with self._slots:
            range_s = self._behaviour.service_time_range_s
            await asyncio.sleep(self._random.uniform(*range_s))
        self._unanswered_requests.discard(request)
        text = f"done {request}".encode()
        reply = self._reply(packet, packets.ACK, text)
        self._reply_by_request[request] = reply

    def _reply(
        self, packet: packets.Packet, flags: int, data: bytes = b""
    ) -> packets.Packet:
        reply = packets.Packet(
            flags,
            self.flows.get(packet.flow, 0),
            packet.seq + max(1, len(packet.data)),
            packet.dst,
            packet.dport,
            packet.src,
            packet.sport,
            data,
        )
        self._send(packets.encode(reply))
        return reply

    def _send(self, data: bytes) -> None:
        if self._socket is not None:
            outbound = (self.address, self._ports["outbound"])
            try:
                self._socket.sendto(data, outbound)
            except OSError:
                # The side process has ended; callers retransmit.
                self._audit.outcomes["answers lost"] += 1
