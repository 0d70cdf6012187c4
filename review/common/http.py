"""Small HTTP/1.1 server and client with JSON bodies, one call a connection."""

import asyncio
import collections.abc
import json
import typing
import urllib.parse

Answer = tuple[int, typing.Any]
Handler = collections.abc.Callable[
    [str, str, dict[str, str], typing.Any], collections.abc.Awaitable[Answer]
]


async def _read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, typing.Any]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    length = 0
    for line in head.split("\r\n")[1:]:
        name, _, value = line.partition(":")
        if name.lower() == "content-length":
            length = int(value)
    body = await reader.readexactly(length)
    first = head.split("\r\n", 1)[0]
    return first, json.loads(body) if body else None


async def serve(address: str, port: int, handler: Handler) -> asyncio.Server:
    """Serves a handler, which gets method, path, query and body."""

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            first, content = await _read_message(reader)
            method, target, _ = first.split(" ")
            path, _, query = target.partition("?")
            pairs = dict(urllib.parse.parse_qsl(query))
            status, answer = await handler(method, path, pairs, content)
            body = json.dumps(answer).encode()
            head = (
                f"HTTP/1.1 {status} .\r\nContent-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            )
            writer.write(head.encode() + body)
            await writer.drain()
        except (OSError, EOFError, ValueError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, address, port)


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    content: typing.Any,
    timeout_s: float,
) -> int | None:
    """Returns the status of a call's answer, None without an answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            body = b"" if content is None else json.dumps(content).encode()
            head = (
                f"{method} {target} HTTP/1.1\r\nHost: {address[0]}\r\n"
                "Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
            )
            writer.write(head.encode() + body)
            first, _ = await _read_message(reader)
            return int(first.split(" ")[1])
    except (OSError, EOFError, ValueError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()
