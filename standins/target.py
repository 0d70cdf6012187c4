"""Stand-in target: a server with slots, with a minimal TCP and UDP stack."""

import asyncio
import collections
import dataclasses
import json
import pathlib
import signal
import time
import typing

from aiohttp import web
import typer
import uvloop

from standins import fabric
from standins import segments

_SEGMENT_BYTES = 1000
_WINDOW_SEGMENTS = 8
_RETRANSMIT_S = 0.3
_CLOSED_CONNECTION_RETENTION_S = 3.0
_TIMER_INTERVAL_S = 0.05
_COLD_SPEED_SHARE = 0.25

_Key = tuple[tuple[str, int], tuple[str, int]]


@dataclasses.dataclass
class _Connection:
    """A TCP connection, or the addresses of a UDP flow.

    Attributes:
        protocol: ``segments.TCP`` or ``segments.UDP``.
        caller: Address and port of the caller.
        service: Address and port of the service.
        initial_sequence: Sequence number of the caller's SYN.
        next_expected: Next sequence number expected from the caller.
        first_unacknowledged: First sequence number that the caller has not
            acknowledged; the own SYN has number 0.
        send_buffer: All data for the caller.
        sent: Bytes of it that have been sent.
        last_sent: When some were sent last, monotonic time in seconds.
        request_received: Whether the request is complete.
        closed_at: When the caller's FIN came, monotonic time in seconds; None
            before.
        receive_buffer: All data from the caller.
    """

    protocol: int
    caller: tuple[str, int]
    service: tuple[str, int]
    initial_sequence: int
    next_expected: int
    first_unacknowledged: int
    send_buffer: bytes = b""
    sent: int = 0
    last_sent: float = 0.0
    request_received: bool = False
    closed_at: float | None = None
    receive_buffer: bytes = b""


@dataclasses.dataclass
class _Job:
    connection: _Connection
    request: dict[str, typing.Any]


class StandInTarget(asyncio.DatagramProtocol):
    """Executes requests and logs each execution.

    Attributes:
        identifier: Name of the target, for the log.
        service: Name of its service, for the log.
        slots: Requests that it executes at once.
        speed: Factor by which it is faster than a target of speed 1.
        busy: Requests in execution.
        load_override: Fields that replace those of the load report.
    """

    def __init__(
        self,
        identifier: str,
        service: str,
        slots: int,
        speed: float,
        max_connections: int,
        return_port: int,
        log: typing.TextIO,
        cold_s: float = 0.0,
    ):
        self.identifier = identifier
        self._started = time.monotonic()
        self._cold_s = cold_s
        self.service = service
        self.slots = slots
        self.speed = speed
        self.busy = 0
        self.load_override: dict[str, object] = {}
        self._max_connections = max_connections
        self._return_port = return_port
        self._log = log
        self._connections: dict[_Key, _Connection] = {}
        self._answers_by_request: dict[str, bytes] = {}
        self._queue: collections.deque[_Job] = collections.deque()
        self._transport: asyncio.DatagramTransport
        self._tasks: set[asyncio.Task[None]] = set()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport for sending."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)
        fabric.enlarge_receive_buffer(transport)

    def record(self, event: str, **fields: object) -> None:
        """Appends an event to the log as a line of JSON.

        Args:
            event: Name of the event.
            **fields: Further fields of the line.
        """
        line = {"event": event, "target": self.identifier, **fields}
        line.update(service=self.service, speed=self.speed, time=time.time())
        self._log.write(json.dumps(line) + "\n")
        self._log.flush()

    # Packets.

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        """Handles one packet.

        Args:
            data: The IPv4 packet.
        """
        segment = segments.parse(data)
        if segment is None:
            return
        key = (segment.source, segment.destination)
        if segment.protocol == segments.UDP:
            self._on_datagram(key, segment)
            return
        connection = self._connections.get(key)
        if segment.flags & segments.RST:
            self._connections.pop(key, None)
        elif segment.flags & segments.SYN:
            self._on_syn(key, connection, segment)
        elif connection is None:
            self._send_reply(
                segment, segments.RST, segment.acknowledgement, 0, b""
            )
        else:
            self._on_segment(connection, segment)

    def _on_syn(
        self,
        key: _Key,
        connection: _Connection | None,
        segment: segments.Segment,
    ) -> None:
        if (
            connection is None
            or connection.initial_sequence != segment.sequence
        ):
            if len(self._connections) >= self._max_connections:
                self._send_reply(segment, segments.RST | segments.ACK, 0,
                           segment.sequence + 1, b"")  # fmt: skip
                return
            connection = _Connection(
                protocol=segment.protocol,
                caller=segment.source,
                service=segment.destination,
                initial_sequence=segment.sequence,
                next_expected=(segment.sequence + 1) % segments.SEQUENCE_SPACE,
                first_unacknowledged=1,
            )
            self._connections[key] = connection
            self.record(
                "open", caller=f"{segment.source[0]}:{segment.source[1]}"
            )
        self._send_reply(
            segment,
            segments.SYN | segments.ACK,
            0,
            connection.next_expected,
            b"",
        )

    def _on_segment(
        self, connection: _Connection, segment: segments.Segment
    ) -> None:
        acknowledged = segment.acknowledgement
        connection.first_unacknowledged = max(
            connection.first_unacknowledged, acknowledged
        )
        size = len(segment.payload)
        if size:
            if segment.sequence == connection.next_expected:
                connection.next_expected += size
                connection.receive_buffer += segment.payload
                self._on_request(connection)
            self._acknowledge(connection)
        if segment.flags & segments.FIN:
            if segment.sequence + size == connection.next_expected:
                connection.next_expected += 1
            connection.closed_at = time.monotonic()
            self._send_on_connection(
                connection,
                segments.FIN | segments.ACK,
                1 + len(connection.send_buffer),
                b"",
            )
        self._send_window(connection)

    def _on_request(self, connection: _Connection) -> None:
        if (
            connection.request_received
            or not connection.receive_buffer.endswith(b"\n")
        ):
            return
        connection.request_received = True
        self._submit(_Job(connection, json.loads(connection.receive_buffer)))

    def _on_datagram(self, key: _Key, segment: segments.Segment) -> None:
        request = json.loads(segment.payload)
        answer = self._answers_by_request.get(request["id"])
        connection = _Connection(
            protocol=segment.protocol,
            caller=segment.source,
            service=segment.destination,
            initial_sequence=0,
            next_expected=0,
            first_unacknowledged=0,
        )
        if answer is None:
            self._answers_by_request[request["id"]] = b""
            self._submit(_Job(connection, request))
        elif answer:
            self._send_on_connection(connection, 0, 0, answer)

    # Execution of requests.

    def _submit(self, job: _Job) -> None:
        self._queue.append(job)
        self.record("request", request=job.request["id"])
        self._start_jobs()

    def _start_jobs(self) -> None:
        while self._queue and self.busy < self.slots:
            job = self._queue.popleft()
            self.busy += 1
            task = asyncio.get_running_loop().create_task(self._execute(job))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _execute(self, job: _Job) -> None:
        request = job.request
        self.record("execute", request=request["id"], work=request["work"])
        await asyncio.sleep(request["work"] / self._current_speed())
        self.busy -= 1
        self._start_jobs()
        parts = request.get("parts", 1)
        for number in range(parts):
            if number:
                await asyncio.sleep(request.get("interval", 0.0))
            line = {"id": request["id"], "part": number, "of": parts}
            line["pad"] = "x" * request.get("bytes", 0)
            self._append_answer(
                job.connection, json.dumps(line).encode() + b"\n"
            )

    def _current_speed(self) -> float:
        """Returns the speed, which grows linearly after a cold start."""
        age_s = time.monotonic() - self._started
        if age_s >= self._cold_s:
            return self.speed
        return self.speed * (
            _COLD_SPEED_SHARE + (1 - _COLD_SPEED_SHARE) * age_s / self._cold_s
        )

    def _append_answer(self, connection: _Connection, data: bytes) -> None:
        if connection.protocol == segments.UDP:
            self._answers_by_request[json.loads(data)["id"]] = data
            self._send_on_connection(connection, 0, 0, data)
            return
        connection.send_buffer += data
        self._send_window(connection)

    # Sending.

    def _send_window(self, connection: _Connection) -> None:
        """Sends as much of the send buffer as the window allows."""
        acknowledged_bytes = connection.first_unacknowledged - 1
        window = _WINDOW_SEGMENTS * _SEGMENT_BYTES
        end = min(len(connection.send_buffer), acknowledged_bytes + window)
        while connection.sent < end:
            chunk = connection.send_buffer[
                connection.sent : min(end, connection.sent + _SEGMENT_BYTES)
            ]
            self._send_on_connection(
                connection, segments.ACK, 1 + connection.sent, chunk
            )
            connection.sent += len(chunk)
            connection.last_sent = time.monotonic()

    def on_timer(self, now: float) -> None:
        """Retransmits lost data and removes closed connections.

        Args:
            now: Present monotonic time, seconds.
        """
        for key, connection in list(self._connections.items()):
            closed_at = connection.closed_at
            if (
                closed_at is not None
                and now - closed_at > _CLOSED_CONNECTION_RETENTION_S
            ):
                del self._connections[key]
                continue
            acknowledged_bytes = connection.first_unacknowledged - 1
            waiting = acknowledged_bytes < connection.sent
            if waiting and now - connection.last_sent > _RETRANSMIT_S:
                connection.sent = max(0, acknowledged_bytes)
                self._send_window(connection)

    def _acknowledge(self, connection: _Connection) -> None:
        self._send_on_connection(
            connection, segments.ACK, 1 + connection.sent, b""
        )

    def _send_on_connection(
        self, connection: _Connection, flags: int, sequence: int, data: bytes
    ) -> None:
        packet = segments.build(
            segments.Segment(
                connection.protocol,
                connection.service,
                connection.caller,
                flags,
                sequence,
                connection.next_expected,
                data,
            )
        )
        destination = (connection.caller[0], self._return_port)
        self._transport.sendto(packet, destination)

    def _send_reply(
        self,
        to: segments.Segment,
        flags: int,
        sequence: int,
        acknowledgement: int,
        data: bytes,
    ) -> None:
        packet = segments.build(
            segments.Segment(
                to.protocol,
                to.destination,
                to.source,
                flags,
                sequence,
                acknowledgement,
                data,
            )
        )
        self._transport.sendto(packet, (to.source[0], self._return_port))


async def _run(
    target: StandInTarget, endpoint: tuple[str, int], http_port: int
) -> None:
    loop = asyncio.get_running_loop()
    stopping = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopping.set)
    await loop.create_datagram_endpoint(lambda: target, local_addr=endpoint)

    async def load(_: web.Request) -> web.Response:
        content = {"busy": target.busy, "slots": target.slots}
        return web.json_response({**content, **target.load_override})

    async def shed(request: web.Request) -> web.Response:
        target.load_override = await request.json()
        return web.json_response(target.load_override)

    application = web.Application()
    application.router.add_get("/load", load)
    application.router.add_put("/shedding", shed)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, endpoint[0], http_port).start()
    while not stopping.is_set():
        target.on_timer(time.monotonic())
        await asyncio.sleep(_TIMER_INTERVAL_S)
    await runner.cleanup()


def main(
    identifier: typing.Annotated[str, typer.Option()],
    service: typing.Annotated[str, typer.Option()],
    address: typing.Annotated[str, typer.Option()],
    port: typing.Annotated[int, typer.Option()],
    http_port: typing.Annotated[int, typer.Option()],
    return_port: typing.Annotated[int, typer.Option()],
    log: typing.Annotated[pathlib.Path, typer.Option()],
    slots: typing.Annotated[int, typer.Option()] = 2,
    speed: typing.Annotated[float, typer.Option()] = 1.0,
    limit: typing.Annotated[int, typer.Option()] = 2000,
    cold_s: typing.Annotated[
        float, typer.Option(help="Seconds until the full speed.")
    ] = 0.0,
) -> None:
    """Runs a stand-in target until SIGTERM."""
    with log.open("a", encoding="utf-8") as file:
        target = StandInTarget(
            identifier, service, slots, speed, limit, return_port, file, cold_s
        )
        uvloop.run(_run(target, (address, port), http_port))


if __name__ == "__main__":
    typer.run(main)
