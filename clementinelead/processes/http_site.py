"""Minimal HTTP/1.1 server on one port: readiness, heartbeats, metrics.

It is built on ``h11`` because a side process has to start within tenths of a
second of processor time.
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

# Status codes (RFC 9110). The standard library's enumeration takes too long to
# import for a side process.
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
"""Time without data after which a connection is closed, seconds."""

MAX_REQUEST_BODY_BYTES = 65_536
"""Size of a request body above which a connection is closed, bytes.

A heartbeat has some hundred bytes.
"""

SHUTDOWN_TIMEOUT_S = 0.2
"""Longest time that a stop waits for requests in flight, seconds."""

SHUTDOWN_POLL_INTERVAL_S = 0.01
"""Interval at which a stop checks for requests in flight, seconds."""

MAX_CONNECTIONS = 64
"""Open connections above which new ones are closed at once."""

_READ_CHUNK_BYTES = 16_384
_NO_BODY = b""


class Request(msgspec.Struct, frozen=True):
    """A complete request.

    Attributes:
        method: Method in capitals.
        path: Path without the query, percent-decoded.
        query: Values of the query by name; the last value of each name.
        body: Complete body.
    """

    method: str
    path: str
    query: dict[str, str]
    body: bytes


class Response(msgspec.Struct, frozen=True):
    """Response of a handler.

    Attributes:
        status: Status code.
        body: Complete body.
        content_type: Value of the header field ``Content-Type``.
        headers: Names and values of further header fields.
    """

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
        self._first_requests_pending = 0

    def add_handler(self, method: str, prefix: str, handler: Handler) -> None:
        """Adds a handler for a method and all paths with a prefix.

        Args:
            method: Method in capitals.
            prefix: Prefix of the percent-decoded path.
            handler: Returns the response to a request.
        """
        self._handlers.append((method, prefix, handler))

    async def start(self, listening: socket.socket) -> None:
        """Starts to serve.

        Args:
            listening: A bound TCP socket.
        """
        self._server = await asyncio.start_server(
            self._serve, sock=listening, limit=_READ_CHUNK_BYTES
        )

    @property
    def port(self) -> int:
        """TCP port of a started site."""
        assert self._server is not None, "the site has not started"
        return int(self._server.sockets[0].getsockname()[1])

    async def stop(self) -> None:
        """Closes the port, then waits for requests in flight.

        Only connections whose first request is unanswered are waited for, at
        most ``SHUTDOWN_TIMEOUT_S``; idle connections don't delay a stop.
        """
        if self._server is None:
            return
        self._server.close()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + SHUTDOWN_TIMEOUT_S
        while self._first_requests_pending and loop.time() < deadline:
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
            self._first_requests_pending += 1
            try:
                reusable = await self._serve_request(connection, reader, writer)
            finally:
                self._first_requests_pending -= 1
            while reusable:
                connection.start_next_cycle()
                reusable = await self._serve_request(connection, reader, writer)
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            loguru.logger.debug("connection ended: {}", error)
        finally:
            self._connections -= 1
            writer.close()

    async def _serve_request(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answers a request; returns whether the connection can be reused."""
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
        """Returns the response of the first handler that matches a request.

        Args:
            request: The request.

        Returns:
            The handler's response, or one with status 404 (no such path), 405
            (other methods only) or 500 (the handler raised an error).
        """
        path_exists = False
        for method, prefix, handler in self._handlers:
            if request.path.startswith(prefix):
                path_exists = True
                if method == request.method:
                    return _call_handler(handler, request)
        return Response(METHOD_NOT_ALLOWED if path_exists else NOT_FOUND)


def _call_handler(handler: Handler, request: Request) -> Response:
    """Returns a handler's response; logs an error and returns status 500."""
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
    """Returns the next request, None if the peer has closed the connection.

    Raises:
        h11.ProtocolError: The peer violates HTTP or the body is too large.
        TimeoutError: No data came for ``IDLE_TIMEOUT_S``.
    """
    head: h11.Request | None = None
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            async with asyncio.timeout(IDLE_TIMEOUT_S):
                data = await reader.read(_READ_CHUNK_BYTES)
            connection.receive_data(data)
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_REQUEST_BODY_BYTES:
                raise h11.RemoteProtocolError("request body too large")
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            return _parse_request(head, bytes(body))
        else:
            return None


def _parse_request(head: h11.Request, body: bytes) -> Request:
    target = head.target.decode("latin-1")
    path, _, query = target.partition("?")
    pairs = urllib.parse.parse_qsl(query)
    method = head.method.decode("latin-1").upper()
    return Request(method, urllib.parse.unquote(path), dict(pairs), body)
