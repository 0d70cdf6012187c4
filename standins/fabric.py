"""Stand-in fabric: spreads callers' packets over balancers, returns answers."""

import asyncio
import ipaddress
import random
import socket
import typing

import aiohttp
import typer
import uvloop

_READINESS_CHECK_INTERVAL_S = 0.1
_READINESS_CHECK_TIMEOUT_S = 0.5
_RECEIVE_BUFFER_BYTES = 8 << 20


class Ingress(asyncio.DatagramProtocol):
    """Forwards each packet of a caller to a random ready balancer.

    Attributes:
        ready: Data addresses of the balancers that are ready.
    """

    def __init__(self, generator: random.Random, drop: float):
        self.ready: list[tuple[str, int]] = []
        self._random = generator
        self._drop = drop
        self._transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport for sending."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)
        enlarge_receive_buffer(transport)

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        """Forwards or drops one packet.

        Args:
            data: The IPv4 packet.
        """
        if not self.ready or self._random.random() < self._drop:
            return
        self._transport.sendto(data, self._random.choice(self.ready))


class Egress(asyncio.DatagramProtocol):
    """Forwards packets of the system to the callers."""

    def __init__(self, return_port: int):
        self._return_port = return_port
        self._transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport for sending."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        """Forwards one packet to its destination address.

        Args:
            data: The IPv4 packet.
        """
        destination = str(ipaddress.IPv4Address(data[16:20]))
        self._transport.sendto(data, (destination, self._return_port))


def enlarge_receive_buffer(transport: asyncio.BaseTransport) -> None:
    """Enlarges the receive buffer of a transport's socket.

    Args:
        transport: The transport; it must have a socket.
    """
    udp_socket = transport.get_extra_info("socket")
    udp_socket.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
    )


async def _is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    timeout = aiohttp.ClientTimeout(total=_READINESS_CHECK_TIMEOUT_S)
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
    ingress_protocol = Ingress(random.Random(seed), drop)
    await loop.create_datagram_endpoint(
        lambda: ingress_protocol, local_addr=ingress
    )
    await loop.create_datagram_endpoint(
        lambda: Egress(return_port), local_addr=egress
    )
    async with aiohttp.ClientSession() as session:
        while True:
            checks = [
                _is_ready(session, f"http://{address}:{http_port}/ready")
                for address, _, http_port in balancers
            ]
            readiness = await asyncio.gather(*checks)
            ingress_protocol.ready = [
                (address, data_port)
                for (address, data_port, _), is_ready in zip(
                    balancers, readiness, strict=True
                )
                if is_ready
            ]
            await asyncio.sleep(_READINESS_CHECK_INTERVAL_S)


def _parse_address(text: str) -> tuple[str, int]:
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
    balancer_addresses = []
    for text in balancer:
        address, data_port, http_port = text.split(":")
        balancer_addresses.append((address, int(data_port), int(http_port)))
    uvloop.run(
        _run(
            _parse_address(ingress),
            _parse_address(egress),
            return_port,
            balancer_addresses,
            seed,
            drop,
        )
    )


if __name__ == "__main__":
    typer.run(main)
