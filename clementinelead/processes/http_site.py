"""A small HTTP/1.1 server on one port: readiness, heartbeats, metrics.

It is built on ``h11`` because a process beside a target has to start within
tenths of a second of processor time.
"""

import asyncio
import collections.abc
import socket
import urllib.parse

import h11
import loguru
import msgspec

__all__ = [
    "BAD_REQUEST",
    "CONFLICT",
    "INTERNAL_SERVER_ERROR",
    "METHOD_NOT_ALLOWED",
    "NOT_FOUND",
    "NOT_MODIFIED",
    "OK",
    "PARTIAL_CONTENT",
    "SERVICE_UNAVAILABLE",
    "HttpSite",
    "Request",
    "Response",
]

# Status codes (RFC 9110). The standard library's enumeration takes longer to
# import than a process beside a target can spare.
OK = 200
PARTIAL_CONTENT = 206
NOT_MODIFIED = 304
BAD_REQUEST = 400
NOT_FOUND = 404
METHOD_NOT_ALLOWED = 405
CONFLICT = 409
INTERNAL_SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503

IDLE_TIMEOUT_S = 30.0
"""Time without a request after which a connection is closed."""

MAX_REQUEST_BODY_BYTES = 65_536
"""A heartbeat has some hundred bytes."""

SHUTDOWN_TIMEOUT_S = 0.2
"""Time that a stop waits for requests that are on their way, seconds."""

SHUTDOWN_POLL_INTERVAL_S = 0.01

MAX_CONNECTIONS = 64
_READ_BYTES = 16_384
_NO_BODY = b""


class Request(msgspec.Struct, frozen=True):
    """A request.

    Attributes:
        method: Method in capitals.
        path: Path without the query, percent-decoded.
        query: Values of the query by name, the last of each.
        body: Whole body.
    """

    method: str
    path: str
    query: dict[str, str]
    body: bytes


class Response(msgspec.Struct, frozen=True):
    """A response."""

    status: int
    body: bytes = _NO_BODY
    content_type: str = "application/json"
    headers: tuple[tuple[str, str], ...] = ()


Handler = collections.abc.Callable[[Request], Response]


class HttpSite:
    """Serves handlers by method and path prefix."""

    def __init__(self) -> None:
        self._handlers: list[tuple[str, str, Handler]] = []
        self._server: asyncio.Server | None = None
        self._connections = 0
        self._unanswered = 0

    def add_handler(self, method: str, prefix: str, handler: Handler) -> None:
        """Serves a method and all paths that begin with a prefix."""
        self._handlers.append((method, prefix, handler))

    async def start(self, listening: socket.socket) -> None:
        """Serves a port.

        Args:
            listening: A bound TCP socket.
        """
        self._server = await asyncio.start_server(
            self._serve, sock=listening, limit=_READ_BYTES
        )

    @property
    def port(self) -> int:
        """Port that the site serves."""
        assert self._server is not None, "the site has not started"
        return int(self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Closes the port, and answers the requests that have come."""
        if self._server is None:
            return
        self._server.close()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + SHUTDOWN_TIMEOUT_S
        while self._unanswered and loop.time() < deadline:
            await asyncio.sleep(SHUTDOWN_POLL_INTERVAL_S)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self._connections >= MAX_CONNECTIONS:
            writer.close()
            return
        self._connections += 1
        connection = h11.Connection(h11.SERVER)
        try:
            self._unanswered += 1
            try:
                more = await self._serve_one(connection, reader, writer)
            finally:
                self._unanswered -= 1
            while more:
                connection.start_next_cycle()
                more = await self._serve_one(connection, reader, writer)
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            loguru.logger.debug("connection ended: {}", error)
        finally:
            self._connections -= 1
            writer.close()

    async def _serve_one(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers a request; tells whether another one may follow."""
        request = await _read_request(connection, reader)
        if request is None:
            return False
        response = self.respond(request)
        headers = [
            ("Content-Type", response.content_type),
            *response.headers,
            ("Content-Length", str(len(response.body))),
        ]
        head = h11.Response(status_code=response.status, headers=headers)
        data = connection.send(head) or b""
        if request.method != "HEAD":
            data += connection.send(h11.Data(data=response.body)) or b""
        data += connection.send(h11.EndOfMessage()) or b""
        writer.write(data)
        async with asyncio.timeout(IDLE_TIMEOUT_S):
            await writer.drain()
        return bool(
            connection.our_state is h11.DONE
            and connection.their_state is h11.DONE
        )

    def respond(self, request: Request) -> Response:
        """Returns the response of the first handler that fits."""
        found = False
        for method, prefix, handler in self._handlers:
            if request.path.startswith(prefix):
                found = True
                if method == request.method:
                    return _handled(handler, request)
        return Response(METHOD_NOT_ALLOWED if found else NOT_FOUND)


def _handled(handler: Handler, request: Request) -> Response:
    """Returns a handler's response, whatever a request makes it raise."""
    try:
        return handler(request)
    except Exception as error:
        loguru.logger.bind(method=request.method, path=request.path).opt(
            exception=error
        ).error("request failed")
        return Response(INTERNAL_SERVER_ERROR)


async def _read_request(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> Request | None:
    """Returns the next request, None if the peer has closed.

    Raises:
        h11.ProtocolError: The peer does not speak HTTP.
        TimeoutError: Nothing came for a while.
    """
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                data = await reader.read(_READ_BYTES)
            connection.receive_data(data)
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_REQUEST_BODY_BYTES:
                raise h11.RemoteProtocolError("the body is too large")
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return _request(head, bytes(body))
        else:
            return None


def _request(head: h11.Request, body: bytes) -> Request:
    target = head.target.decode("latin-1")
    path, _, query = target.partition("?")
    pairs = urllib.parse.parse_qsl(query)
    method = head.method.decode("latin-1").upper()
    return Request(method, urllib.parse.unquote(path), dict(pairs), body)
