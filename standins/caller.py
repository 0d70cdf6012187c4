"""Callers: open TCP and UDP flows at a rate and log what became of each."""

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

_FIRST_PORT = 10_000
_LAST_PORT = 65_000
_SYN_RETRANSMIT_S = 1.0
_DATA_RETRANSMIT_S = 0.4
_MAX_RETRANSMIT_S = 4.0
_CLOSE_TRIES = 5


class Plan(typing.NamedTuple):
    """Work of one kind of flow, as the plan file has it."""

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
    """What became of a flow."""

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
    """One caller's flow."""

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
        self._next = sequence
        self._expected = 0
        self._incoming = b""
        self._acknowledged = sequence
        self._event = asyncio.Event()
        self._end = ""
        self._closed = False

    @property
    def _protocol(self) -> int:
        return segments.TCP if self._plan.protocol == "tcp" else segments.UDP

    async def run(self) -> None:
        """Opens the flow, asks, waits for the whole answer, closes."""
        try:
            async with asyncio.timeout(self._plan.timeout):
                if self._protocol == segments.UDP:
                    await self._repeat_until(
                        lambda: self._send(0, self._payload),
                        lambda: bool(self._incoming),
                        _SYN_RETRANSMIT_S,
                    )
                else:
                    await self._converse()
        except TimeoutError:
            pass
        outcome = self.outcome
        if self._end == "done":
            outcome.result = "ok"
            outcome.finished = time.time()
        elif self._end:
            outcome.result = self._end
        elif outcome.connected is not None:
            outcome.result = "timeout"

    async def _converse(self) -> None:
        initial = self._next
        await self._repeat_until(
            lambda: self._send(segments.SYN, b"", initial),
            lambda: self._expected > 0,
            _SYN_RETRANSMIT_S,
        )
        if self._end:
            return
        self._next = initial + 1
        self._send(segments.ACK, b"")
        self._next += len(self._payload)
        await self._repeat_until(
            lambda: self._send(segments.ACK, self._payload, initial + 1),
            lambda: self._acknowledged >= self._next,
            _DATA_RETRANSMIT_S,
        )
        while not self._end:
            await self._wait(_MAX_RETRANSMIT_S)
        if self._end == "done":
            await self._close()

    async def _close(self) -> None:
        final = self._next
        for _ in range(_CLOSE_TRIES):
            self._next = final
            self._send(segments.FIN | segments.ACK, b"", final)
            self._next = final + 1
            await self._wait(_DATA_RETRANSMIT_S)
            if self._closed:
                return

    async def _repeat_until(
        self,
        send: typing.Callable[[], None],
        done: typing.Callable[[], bool],
        wait_s: float,
    ) -> None:
        while not done() and not self._end:
            send()
            deadline = time.monotonic() + wait_s
            while not done() and not self._end:
                left = deadline - time.monotonic()
                if left <= 0:
                    break
                await self._wait(left)
            wait_s = min(_MAX_RETRANSMIT_S, wait_s * 2)

    async def _wait(self, seconds: float) -> None:
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
                self._next if sequence is None else sequence,
                self._expected,
                payload,
            )
        )
        self._callers.send(packet)

    # Answers.

    def on_refused(self, retry_after_ms: int) -> None:
        """Takes the system's word that the flow was not run."""
        self.outcome.retry_after_ms = retry_after_ms
        self._finish("refused")

    def on_segment(self, segment: segments.Segment) -> None:
        """Takes a packet of the target, or a reset."""
        self._event.set()
        if segment.protocol == segments.UDP:
            self._incoming += segment.payload
            self._check_answer()
            return
        if segment.flags & segments.RST:
            opened = self._expected > 0
            self._finish("reset" if opened else "refused")
            return
        self._acknowledged = max(self._acknowledged, segment.acknowledgement)
        if segment.flags & segments.SYN:
            if not self._expected:
                self._expected = segment.sequence + 1
                self.outcome.connected = time.time()
            return
        if segment.flags & segments.FIN:
            self._closed = True
            return
        if segment.payload:
            if segment.sequence == self._expected:
                self._expected += len(segment.payload)
                self._incoming += segment.payload
                self._check_answer()
            self._send(segments.ACK, b"")

    def _check_answer(self) -> None:
        """Checks that the answer is whole and to the own request."""
        lines = self._incoming.split(b"\n")[:-1]
        for number, text in enumerate(lines):
            part = json.loads(text)
            if part["id"] != self._request["id"] or part["part"] != number:
                self.outcome.wrong = f"{part['id']} part {part['part']}"
                self._finish("wrong answer")
                return
            if number + 1 == part["of"]:
                self._finish("done")

    def _finish(self, end: str) -> None:
        if not self._end:
            self._end = end
        self._event.set()


class Callers:
    """All callers of a run, on a few addresses."""

    def __init__(
        self, fabric_address: tuple[str, int], seed: int, log: typing.TextIO
    ):
        self.flows: dict[tuple[str, int], Flow] = {}
        self._fabric = fabric_address
        self._random = random.Random(seed)
        self._log = log
        self._transports: list[asyncio.DatagramTransport] = []
        self._addresses: list[str] = []
        self._next_port = _FIRST_PORT
        self._number = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def open(self, addresses: list[str], return_port: int) -> None:
        """Binds the callers' addresses."""
        loop = asyncio.get_running_loop()
        for address in addresses:
            transport, _ = await loop.create_datagram_endpoint(
                lambda: Answers(self),
                local_addr=(address, return_port),
                family=socket.AF_INET,
            )
            fabric.enlarge(transport)
            self._transports.append(transport)
        self._addresses = addresses

    def send(self, packet: bytes) -> None:
        """Hands a packet to the fabric."""
        self._transports[0].sendto(packet, self._fabric)

    async def run_plan(self, plan: Plan, seconds: float) -> None:
        """Opens flows of one kind at random times."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        at = loop.time()
        while True:
            at += self._random.expovariate(plan.rate)
            if at >= end:
                return
            await asyncio.sleep(max(0.0, at - loop.time()))
            task = loop.create_task(self._run_flow(plan))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def finish(self) -> None:
        """Waits for all flows to end."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    async def _run_flow(self, plan: Plan) -> None:
        source = self._source()
        self._number += 1
        work = plan.work
        if not plan.fixed:
            work = self._random.expovariate(1 / plan.work)
        request = {
            "id": f"{plan.service}-{plan.parts}-{self._number}",
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

    def _source(self) -> tuple[str, int]:
        while True:
            self._next_port += 1
            if self._next_port >= _LAST_PORT:
                self._next_port = _FIRST_PORT
            source = (self._random.choice(self._addresses), self._next_port)
            if source not in self.flows:
                return source


class Answers(asyncio.DatagramProtocol):
    """Takes packets for one caller address."""

    def __init__(self, callers: Callers):
        self._callers = callers

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        """Handles one datagram."""
        wait = replies.parse_retry_after_ms(data)
        if wait is not None:
            quoted = replies.quoted_flow_key(data)
            address = ".".join(str(octet) for octet in quoted[0:4])
            port = int.from_bytes(quoted[8:10], "big")
            flow = self._callers.flows.get((address, port))
            if flow is not None:
                flow.on_refused(wait)
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
    """Runs the stand-in callers."""
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
