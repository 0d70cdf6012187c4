"""Fabric that hands each packet to any balancer, and answers to callers."""

import asyncio
import ipaddress
import random
import socket
import typing

import aiohttp
import typer
import uvloop

_CHECK_INTERVAL_S = 0.1
_CHECK_TIMEOUT_S = 0.5
_BUFFER_BYTES = 8 << 20


class Ingress(asyncio.DatagramProtocol):
    """Sprays callers' packets over the balancers that are ready."""

    def __init__(self, generator: random.Random, drop: float):
        self.ready: list[tuple[str, int]] = []
        self._random = generator
        self._drop = drop
        self._transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)
        enlarge(transport)

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        """Handles one datagram."""
        if not self.ready or self._random.random() < self._drop:
            return
        self._transport.sendto(data, self._random.choice(self.ready))


class Egress(asyncio.DatagramProtocol):
    """Delivers packets of the system to the callers."""

    def __init__(self, return_port: int):
        self._return_port = return_port
        self._transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        """Handles one datagram."""
        destination = str(ipaddress.IPv4Address(data[16:20]))
        self._transport.sendto(data, (destination, self._return_port))


def enlarge(transport: asyncio.BaseTransport) -> None:
    """Asks for large socket buffers."""
    wrapped = transport.get_extra_info("socket")
    wrapped.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _BUFFER_BYTES)


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    timeout = aiohttp.ClientTimeout(total=_CHECK_TIMEOUT_S)
    try:
        async with session.get(url, timeout=timeout) as response:
            return response.status == 200
    except (aiohttp.ClientError, OSError, TimeoutError):
        return False


async def _run(
    ingress: tuple[str, int],
    egress: tuple[str, int],
    return_port: int,
    balancers: list[tuple[str, int, int]],
    seed: int,
    drop: float,
) -> None:
    loop = asyncio.get_running_loop()
    spray = Ingress(random.Random(seed), drop)
    await loop.create_datagram_endpoint(lambda: spray, local_addr=ingress)
    await loop.create_datagram_endpoint(
        lambda: Egress(return_port), local_addr=egress
    )
    async with aiohttp.ClientSession() as session:
        while True:
            checks = [
                _is_ready(session, f"http://{address}:{http_port}/ready")
                for address, _, http_port in balancers
            ]
            results = await asyncio.gather(*checks)
            spray.ready = [
                (address, data_port)
                for (address, data_port, _), good in zip(
                    balancers, results, strict=True
                )
                if good
            ]
            await asyncio.sleep(_CHECK_INTERVAL_S)


def _pair(text: str) -> tuple[str, int]:
    address, port = text.split(":")
    return address, int(port)


def main(
    ingress: typing.Annotated[str, typer.Option(help="address:port")],
    egress: typing.Annotated[str, typer.Option(help="address:port")],
    return_port: typing.Annotated[int, typer.Option()],
    balancer: typing.Annotated[
        list[str], typer.Option(help="address:data_port:http_port")
    ],
    seed: typing.Annotated[int, typer.Option()] = 1,
    drop: typing.Annotated[
        float, typer.Option(help="Share of callers' packets to lose.")
    ] = 0.0,
) -> None:
    """Runs the stand-in fabric."""
    parsed = []
    for text in balancer:
        address, data_port, http_port = text.split(":")
        parsed.append((address, int(data_port), int(http_port)))
    uvloop.run(
        _run(_pair(ingress), _pair(egress), return_port, parsed, seed, drop)
    )


if __name__ == "__main__":
    typer.run(main)
