"""The soak's stand-in targets follow the targets' protocol."""

import asyncio
import json
import random

import pytest

from bench import ports as ports_module
from bench.soak import audit
from clementinelead.platform.standins import targets

_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"


class _Control:
    """Records heartbeats; delays answers while ``open`` is not set."""

    def __init__(self) -> None:
        self.calls: list[tuple[str, str, int]] = []
        self.open = asyncio.Event()
        self.open.set()

    async def serve(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode().lower().split("\r\n")
        length = next(
            int(line.split(":")[1])
            for line in lines
            if line.startswith("content-length")
        )
        content = json.loads(await reader.readexactly(length))
        method = lines[0].split()[0].upper()
        self.calls.append((method, content["state"], content["sequence"]))
        await self.open.wait()
        writer.write(_ANSWER)
        await writer.drain()
        writer.close()


@pytest.fixture
def ports():
    address = ports_module.loopback()
    port_picker = ports_module.Ports()
    names = ("control", "app", "outbound")
    return address, {name: port_picker.pick(address) for name in names}


def run(ports, script):
    """Runs a script with a target and its control address."""

    async def run_script():
        address, port_by_name = ports
        control = _Control()
        server = await asyncio.start_server(
            control.serve, address, port_by_name["control"]
        )
        observed = audit.Audit()
        target = targets.Target(
            "t0",
            "lookups",
            address,
            port_by_name,
            observed,
            random.Random(1),
            "a",
        )
        target.start()
        await script(target, control)
        target.crash()
        server.close()
        await server.wait_closed()

    asyncio.run(run_script())


def test_target_never_reports_ready_after_draining(ports):
    async def script(target, control):
        await asyncio.sleep(0.1)
        control.open.clear()  # the side process is paused
        drain = asyncio.create_task(target.drain())
        await asyncio.sleep(1.6)
        control.open.set()
        await asyncio.sleep(0.8)
        drain.cancel()
        in_order = sorted(control.calls, key=lambda call: call[2])
        states = [state for _, state, _ in in_order]
        first = states.index("draining")
        assert set(states[first:]) == {"draining"}
        assert len(states[first:]) > 2

    run(ports, script)


def test_next_incarnation_does_not_inherit_drain(ports):
    async def script(target, control):
        await asyncio.sleep(0.1)
        control.open.clear()
        drain = asyncio.create_task(target.drain())
        await asyncio.sleep(0.2)
        target.crash()
        target.start()
        before = len(control.calls)
        control.open.set()
        await asyncio.sleep(1.0)
        drain.cancel()
        assert target.serving
        states = [state for _, state, _ in control.calls[before:]]
        assert states[-2:] == ["ready", "ready"]

    run(ports, script)
