"""Stand-in callers: open TCP and UDP flows at a rate, and log each result."""

import asyncio
import dataclasses
import json
import pathlib
import random
import socket
import time
import typing

import typer
import uvloop

from clementinelead.packets import replies
from standins import fabric
from standins import segments

_FIRST_SOURCE_PORT = 10_000
_SOURCE_PORT_END = 65_000
_SYN_RETRANSMIT_S = 1.0
_DATA_RETRANSMIT_S = 0.4
_MAX_RETRANSMIT_S = 4.0
_MAX_FIN_ATTEMPTS = 5


class Plan(typing.NamedTuple):
    """Arrivals and requests of one kind of flow; an entry of the plan file.

    Attributes:
        service: Name of the service, for the log.
        address: Address of the service.
        port: Port of the service.
        protocol: ``tcp`` or ``udp``.
        rate: Mean arrival rate, flows per second.
        work: Service time of a request at a target of speed 1, seconds; the
            mean of an exponential distribution unless ``fixed``.
        parts: Parts of an answer.
        interval: Time between parts, seconds.
        bytes: Padding of each part, bytes.
        timeout: Time until the caller gives up, seconds.
        fixed: Whether all requests have the same service time.
    """

    service: str
    address: str
    port: int
    protocol: str
    rate: float
    work: float
    parts: int
    interval: float
    bytes: int
    timeout: float
    fixed: bool


@dataclasses.dataclass
class Outcome:
    """Result of a flow; a line of the log.

    Attributes:
        request: Identifier of the request.
        service: Name of the service.
        source: Address and port of the caller.
        started: When the flow was opened, Unix time in seconds.
        result: How it ended.
        connected: When a target accepted it, Unix time in seconds; None if
            none did, and for UDP.
        finished: When the answer was complete, Unix time in seconds; None if
            it was not.
        retry_after_ms: Delay that a refusal asks for, milliseconds; None
            without one.
        wrong: The part of an answer that was not expected, empty if none.
    """

    request: str
    service: str
    source: str
    started: float
    result: str = "unanswered"
    connected: float | None = None
    finished: float | None = None
    retry_after_ms: int | None = None
    wrong: str = ""


class Flow:
    """State machine of one flow at its caller.

    Attributes:
        outcome: Result of the flow so far.
    """

    def __init__(
        self,
        callers: "Callers",
        source: tuple[str, int],
        plan: Plan,
        request: dict[str, typing.Any],
        sequence: int,
    ):
        self.outcome = Outcome(
            request["id"],
            plan.service,
            f"{source[0]}:{source[1]}",
            time.time(),
        )
        self._callers = callers
        self._source = source
        self._plan = plan
        self._request = request
        self._payload = json.dumps(request).encode() + b"\n"
        self._next_sequence = sequence
        self._next_expected = 0
        self._received_data = b""
        self._acknowledged_sequence = sequence
        self._event = asyncio.Event()
        self._end_reason = ""
        self._fin_received = False

    @property
    def _protocol(self) -> int:
        return segments.TCP if self._plan.protocol == "tcp" else segments.UDP

    async def run(self) -> None:
        """Opens the flow, sends the request, receives the answer and closes.

        Returns at the timeout of the plan at the latest.
        """
        try:
            async with asyncio.timeout(self._plan.timeout):
                if self._protocol == segments.UDP:
                    await self._retransmit_until(
                        lambda: self._send(0, self._payload),
                        lambda: bool(self._received_data),
                        _SYN_RETRANSMIT_S,
                    )
                else:
                    await self._exchange_over_tcp()
        except TimeoutError:
            pass
        outcome = self.outcome
        if self._end_reason == "done":
            outcome.result = "ok"
            outcome.finished = time.time()
        elif self._end_reason:
            outcome.result = self._end_reason
        elif outcome.connected is not None:
            outcome.result = "timeout"

    async def _exchange_over_tcp(self) -> None:
        initial = self._next_sequence
        await self._retransmit_until(
            lambda: self._send(segments.SYN, b"", initial),
            lambda: self._next_expected > 0,
            _SYN_RETRANSMIT_S,
        )
        if self._end_reason:
            return
        self._next_sequence = initial + 1
        self._send(segments.ACK, b"")
        self._next_sequence += len(self._payload)
        await self._retransmit_until(
            lambda: self._send(segments.ACK, self._payload, initial + 1),
            lambda: self._acknowledged_sequence >= self._next_sequence,
            _DATA_RETRANSMIT_S,
        )
        while not self._end_reason:
            await self._wait_for_packet(_MAX_RETRANSMIT_S)
        if self._end_reason == "done":
            await self._close_connection()

    async def _close_connection(self) -> None:
        final = self._next_sequence
        for _ in range(_MAX_FIN_ATTEMPTS):
            self._next_sequence = final
            self._send(segments.FIN | segments.ACK, b"", final)
            self._next_sequence = final + 1
            await self._wait_for_packet(_DATA_RETRANSMIT_S)
            if self._fin_received:
                return

    async def _retransmit_until(
        self,
        send: typing.Callable[[], None],
        done: typing.Callable[[], bool],
        wait_s: float,
    ) -> None:
        while not done() and not self._end_reason:
            send()
            deadline = time.monotonic() + wait_s
            while not done() and not self._end_reason:
                remaining_s = deadline - time.monotonic()
                if remaining_s <= 0:
                    break
                await self._wait_for_packet(remaining_s)
            wait_s = min(_MAX_RETRANSMIT_S, wait_s * 2)

    async def _wait_for_packet(self, seconds: float) -> None:
        self._event.clear()
        try:
            await asyncio.wait_for(self._event.wait(), seconds)
        except TimeoutError:
            pass

    def _send(
        self, flags: int, payload: bytes, sequence: int | None = None
    ) -> None:
        packet = segments.build(
            segments.Segment(
                self._protocol,
                self._source,
                (self._plan.address, self._plan.port),
                flags,
                self._next_sequence if sequence is None else sequence,
                self._next_expected,
                payload,
            )
        )
        self._callers.send(packet)

    # Packets received.

    def on_refused(self, retry_after_ms: int) -> None:
        """Handles a refusal by the system: the request has not run.

        Args:
            retry_after_ms: Delay before a retry, milliseconds.
        """
        self.outcome.retry_after_ms = retry_after_ms
        self._set_end_reason("refused")

    def on_segment(self, segment: segments.Segment) -> None:
        """Handles a packet of the target, or a reset.

        Args:
            segment: The packet.
        """
        self._event.set()
        if segment.protocol == segments.UDP:
            self._received_data += segment.payload
            self._check_answer()
            return
        if segment.flags & segments.RST:
            opened = self._next_expected > 0
            self._set_end_reason("reset" if opened else "refused")
            return
        self._acknowledged_sequence = max(
            self._acknowledged_sequence, segment.acknowledgement
        )
        if segment.flags & segments.SYN:
            if not self._next_expected:
                self._next_expected = segment.sequence + 1
                self.outcome.connected = time.time()
            return
        if segment.flags & segments.FIN:
            self._fin_received = True
            return
        if segment.payload:
            if segment.sequence == self._next_expected:
                self._next_expected += len(segment.payload)
                self._received_data += segment.payload
                self._check_answer()
            self._send(segments.ACK, b"")

    def _check_answer(self) -> None:
        """Checks that parts are in order and belong to the flow's request."""
        lines = self._received_data.split(b"\n")[:-1]
        for number, text in enumerate(lines):
            part = json.loads(text)
            if part["id"] != self._request["id"] or part["part"] != number:
                self.outcome.wrong = f"{part['id']} part {part['part']}"
                self._set_end_reason("wrong answer")
                return
            if number + 1 == part["of"]:
                self._set_end_reason("done")

    def _set_end_reason(self, end: str) -> None:
        if not self._end_reason:
            self._end_reason = end
        self._event.set()


class Callers:
    """All callers of a run, which share a few addresses.

    Attributes:
        flows: Open flows, by source address and port.
    """

    def __init__(
        self, fabric_address: tuple[str, int], seed: int, log: typing.TextIO
    ):
        self.flows: dict[tuple[str, int], Flow] = {}
        self._fabric = fabric_address
        self._random = random.Random(seed)
        self._log = log
        self._transports: list[asyncio.DatagramTransport] = []
        self._addresses: list[str] = []
        self._next_port = _FIRST_SOURCE_PORT
        self._flow_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self, addresses: list[str], return_port: int) -> None:
        """Binds sockets to the callers' addresses.

        Args:
            addresses: IPv4 addresses of the callers.
            return_port: UDP port on which they receive encapsulated packets.
        """
        loop = asyncio.get_running_loop()
        for address in addresses:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: CallerEndpoint(self),
                local_addr=(address, return_port),
                family=socket.AF_INET,
            )
            fabric.enlarge_receive_buffer(transport)
            self._transports.append(transport)
        self._addresses = addresses

    def send(self, packet: bytes) -> None:
        """Sends a packet to the fabric.

        Args:
            packet: The IPv4 packet.
        """
        self._transports[0].sendto(packet, self._fabric)

    async def run_plan(self, plan: Plan, seconds: float) -> None:
        """Opens flows of one kind as a Poisson process.

        Args:
            plan: The kind of flow.
            seconds: Duration of the arrivals, seconds.
        """
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        arrival_s = loop.time()
        while True:
            arrival_s += self._random.expovariate(plan.rate)
            if arrival_s >= end:
                return
            await asyncio.sleep(max(0.0, arrival_s - loop.time()))
            task = loop.create_task(self._run_flow(plan))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Waits until all flows have ended."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _run_flow(self, plan: Plan) -> None:
        source = self._unused_source()
        self._flow_count += 1
        work = plan.work
        if not plan.fixed:
            work = self._random.expovariate(1 / plan.work)
        request = {
            "id": f"{plan.service}-{plan.parts}-{self._flow_count}",
            "work": work,
            "parts": plan.parts,
            "interval": plan.interval,
            "bytes": plan.bytes,
        }
        sequence = self._random.randrange(1 << 31)
        flow = Flow(self, source, plan, request, sequence)
        self.flows[source] = flow
        await flow.run()
        del self.flows[source]
        line = dataclasses.asdict(flow.outcome)
        line["long"] = plan.parts > 1
        line["work"] = work
        self._log.write(json.dumps(line) + "\n")

    def _unused_source(self) -> tuple[str, int]:
        while True:
            self._next_port += 1
            if self._next_port >= _SOURCE_PORT_END:
                self._next_port = _FIRST_SOURCE_PORT
            source = (self._random.choice(self._addresses), self._next_port)
            if source not in self.flows:
                return source


class CallerEndpoint(asyncio.DatagramProtocol):
    """Receives the packets for one caller address."""

    def __init__(self, callers: Callers):
        self._callers = callers

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        """Passes one packet to its flow; ignores it if there is none.

        Args:
            data: The IPv4 packet.
        """
        retry_after_ms = replies.parse_retry_after_ms(data)
        if retry_after_ms is not None:
            flow_header = replies.quoted_flow_key(data)
            address = ".".join(str(octet) for octet in flow_header[0:4])
            port = int.from_bytes(flow_header[8:10], "big")
            flow = self._callers.flows.get((address, port))
            if flow is not None:
                flow.on_refused(retry_after_ms)
            return
        segment = segments.parse(data)
        if segment is None:
            return
        flow = self._callers.flows.get(segment.destination)
        if flow is not None:
            flow.on_segment(segment)


async def _run(
    plans: list[Plan],
    fabric_address: tuple[str, int],
    addresses: list[str],
    return_port: int,
    seconds: float,
    seed: int,
    log: typing.TextIO,
) -> None:
    callers = Callers(fabric_address, seed, log)
    await callers.open(addresses, return_port)
    await asyncio.gather(*(callers.run_plan(plan, seconds) for plan in plans))
    await callers.finish()


def main(
    plan: typing.Annotated[
        pathlib.Path, typer.Option(help="JSON list of plans.")
    ],
    fabric_ingress: typing.Annotated[str, typer.Option(help="address:port")],
    address: typing.Annotated[list[str], typer.Option()],
    return_port: typing.Annotated[int, typer.Option()],
    seconds: typing.Annotated[float, typer.Option()],
    log: typing.Annotated[pathlib.Path, typer.Option()],
    seed: typing.Annotated[int, typer.Option()] = 1,
) -> None:
    """Runs the stand-in callers until all flows have ended."""
    plans = [Plan(**item) for item in json.loads(plan.read_text("utf-8"))]
    host, port = fabric_ingress.split(":")
    with log.open("a", encoding="utf-8") as file:
        uvloop.run(
            _run(
                plans,
                (host, int(port)),
                address,
                return_port,
                seconds,
                seed,
                file,
            )
        )


if __name__ == "__main__":
    typer.run(main)
