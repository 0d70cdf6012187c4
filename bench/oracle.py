"""Baseline: joins the shortest queue with complete information.

One process receives every packet, so it has each target's number of open flows,
and it is configured with the true speeds. No real balancer has these; the
scenarios use it as the reference.
"""

import asyncio
import socket
import typing

from aiohttp import web
import typer
import uvloop

from clementinelead.packets import headers
from standins import fabric

__all__ = ["Oracle"]

_ENDS = headers.FIN | headers.RST


class Oracle(asyncio.DatagramProtocol):
    """Sends each new flow to the target with the least completion time."""

    def __init__(self, targets: list[tuple[str, int, float, int]]):
        self._addresses = [(address, port) for address, port, _, _ in targets]
        self._speeds = [speed for _, _, speed, _ in targets]
        self._slots = [slots for _, _, _, slots in targets]
        self._open = [0] * len(targets)
        self._target_by_key: dict[bytes, int] = {}
        self._working: set[bytes] = set()
        self._transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and enlarges its socket buffers."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)
        fabric.enlarge_receive_buffer(transport)

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        """Assigns a new flow to a target and forwards the packet."""
        key = headers.flow_key(data)
        if isinstance(key, headers.DropCause):
            return
        target = self._target_by_key.get(key)
        if target is None:
            target = min(range(len(self._open)), key=self._completion)
            self._target_by_key[key] = target
            self._open[target] += 1
            self._working.add(key)
        elif headers.tcp_flags(data) & _ENDS and key in self._working:
            self._working.discard(key)
            self._open[target] -= 1
        self._transport.sendto(data, self._addresses[target])

    def _completion(self, target: int) -> float:
        """Returns the relative completion time of a new flow at a target."""
        ahead = max(0, self._open[target] + 1 - self._slots[target])
        rounds = 1 + ahead / self._slots[target]
        return rounds / self._speeds[target]


async def _run(
    address: str,
    port: int,
    http_port: int,
    targets: list[tuple[str, int, float, int]],
) -> None:
    async def ready(_: web.Request) -> web.Response:
        return web.Response(text="ready\n")

    application = web.Application()
    application.router.add_get("/ready", ready)
    runner = web.AppRunner(application, access_log=None)
    await runner.setup()
    await web.TCPSite(runner, address, http_port).start()
    await asyncio.get_running_loop().create_datagram_endpoint(
        lambda: Oracle(targets),
        local_addr=(address, port),
        family=socket.AF_INET,
    )
    await asyncio.Event().wait()


def main(
    address: typing.Annotated[str, typer.Option()],
    port: typing.Annotated[int, typer.Option()],
    http_port: typing.Annotated[int, typer.Option()],
    target: typing.Annotated[
        list[str], typer.Option(help="address:port:speed:slots")
    ],
) -> None:
    """Runs the baseline in place of the balancers."""
    parsed = []
    for text in target:
        host, endpoint, speed, slots = text.split(":")
        parsed.append((host, int(endpoint), float(speed), int(slots)))
    uvloop.run(_run(address, port, http_port, parsed))


if __name__ == "__main__":
    typer.run(main)
