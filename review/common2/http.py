"""Minimal HTTP/1.1 client and server for the stand-ins."""

import asyncio
import json
import typing
import urllib.parse

Handler = typing.Callable[
    [str, str, dict[str, str], bytes], typing.Awaitable[tuple[int, object]]
]


async def call(
    address: tuple[str, int],
    method: str,
    path: str,
    body: bytes = b"",
    timeout_s: float = 1.0,
) -> int | None:
    """Returns the status of the answer, None without one in time."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(*address)
            head = (
                f"{method} {path} HTTP/1.1\r\nHost: {address[0]}\r\n"
                "Content-Type: application/json\r\nConnection: close\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            line = await reader.readline()
            return int(line.split()[1])
    except (OSError, TimeoutError, IndexError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.transport.abort()


async def serve(address: tuple[str, int], handler: Handler) -> asyncio.Server:
    """Starts a server that answers each request with JSON and closes."""

    async def on_connection(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            method, target, _ = (await reader.readline()).decode().split()
            length = 0
            while (line := await reader.readline()) not in (b"\r\n", b""):
                name, _, value = line.decode().partition(":")
                if name.lower() == "content-length":
                    length = int(value)
            body = await reader.readexactly(length)
            path, _, query = target.partition("?")
            pairs = dict(urllib.parse.parse_qsl(query))
            status, content = await handler(method, path, pairs, body)
            text = json.dumps(content).encode()
            writer.write(
                f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                f"Connection: close\r\nContent-Length: {len(text)}\r\n\r\n"
                "".encode()
                + text
            )
            await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_connection, *address)
