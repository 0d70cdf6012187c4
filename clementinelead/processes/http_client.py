"""Minimal HTTP/1.1 client with one connection and one deadline per call.

Connections may stop responding without a reset, so they are not reused between
calls, and the deadline covers the whole call.
"""

import asyncio

import h11
import msgspec

__all__ = ["RequestFailure", "Response", "call"]

MAX_RESPONSE_BODY_BYTES = 8 << 20
"""Size of a response body above which a call fails, bytes."""

_READ_CHUNK_BYTES = 65_536


class Response(msgspec.Struct, frozen=True):
    """A complete response.

    Attributes:
        status: Status code.
        body: Complete body.
        headers: Names in lower case and values of the header fields.
    """

    status: int
    body: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()

    def values(self, name: bytes) -> list[bytes]:
        """Returns the values of a header field in their order.

        Args:
            name: Name of the field in lower case.
        """
        return [value for field, value in self.headers if field == name]


class RequestFailure(msgspec.Struct, frozen=True):
    """A call without a complete response.

    Attributes:
        reason: Text of the error, ``deadline`` for a timeout.
        sent: Whether the request may have reached the server.
    """

    reason: str
    sent: bool


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    body: bytes,
    timeout_s: float,
) -> Response | RequestFailure:
    """Sends a request and returns its response.

    Args:
        address: IP address and port of the server.
        method: Method in capitals.
        target: Path and query, encoded.
        body: Body, JSON if not empty.
        timeout_s: Timeout of the whole call, seconds.

    Returns:
        The response whatever its status, or the failure of the call; errors of
        the network and of HTTP are not raised.
    """
    exchange = _Exchange(address, method, target, body)
    try:
        async with asyncio.timeout(timeout_s):
            return await exchange.run()
    except TimeoutError:
        return RequestFailure("deadline", exchange.sent)
    except (OSError, h11.ProtocolError) as error:
        return RequestFailure(str(error) or type(error).__name__, exchange.sent)
    finally:
        exchange.close()


class _Exchange:
    """One request and its response."""

    def __init__(
        self, address: tuple[str, int], method: str, target: str, body: bytes
    ):
        self.sent = False
        self._address = address
        self._method = method
        self._target = target
        self._body = body
        self._writer: asyncio.StreamWriter | None = None

    async def run(self) -> Response:
        host, port = self._address
        reader, self._writer = await asyncio.open_connection(host, port)
        connection = h11.Connection(h11.CLIENT)
        headers = [
            ("Host", f"{host}:{port}"),
            ("Connection", "close"),
            ("Content-Length", str(len(self._body))),
        ]
        if self._body:
            headers.append(("Content-Type", "application/json"))
        head = h11.Request(
            method=self._method, target=self._target, headers=headers
        )
        data = connection.send(head) or b""
        if self._body:
            data += connection.send(h11.Data(data=self._body)) or b""
        data += connection.send(h11.EndOfMessage()) or b""
        self.sent = True
        self._writer.write(data)
        return await _read_response(connection, reader)

    def close(self) -> None:
        if self._writer is not None:
            self._writer.transport.abort()


async def _read_response(
    connection: h11.Connection, reader: asyncio.StreamReader
) -> Response:
    status = 0
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body = bytearray()
    while True:
        event = connection.next_event()
        if event is h11.NEED_DATA:
            connection.receive_data(await reader.read(_READ_CHUNK_BYTES))
        elif isinstance(event, h11.Response):
            status = event.status_code
            headers = tuple(event.headers)
        elif isinstance(event, h11.Data):
            body += event.data
            if len(body) > MAX_RESPONSE_BODY_BYTES:
                raise h11.RemoteProtocolError("response body too large")
        elif isinstance(event, h11.EndOfMessage):
            return Response(status, bytes(body), headers)
        elif isinstance(event, h11.ConnectionClosed):
            raise h11.RemoteProtocolError(
                "connection closed before the response was complete"
            )
