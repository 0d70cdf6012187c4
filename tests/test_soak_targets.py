"""The targets of the soak test follow the heartbeat protocol."""

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
    allocated_ports = ports_module.Ports()
    names = ("control", "app", "outbound")
    return address, {name: allocated_ports.pick(address) for name in names}


def run(ports, script):
    """Runs a script with a target and the control server of its side process."""

    async def run_script():
        address, port_by_name = ports
        control = _Control()
        server = await asyncio.start_server(
            control.serve, address, port_by_name["control"]
        )
        audit_log = audit.Audit()
        target = targets.Target(
            "t0", "lookups", address, port_by_name, audit_log, random.Random(1)
        )
        target.start()
        await script(target, control)
        target.crash()
        server.close()
        await server.wait_closed()

    asyncio.run(run_script())


def test_target_sends_no_ready_heartbeat_after_draining(ports):
    async def script(target, control):
        await asyncio.sleep(0.1)
        control.open.clear()  # the side process is paused
        drain = asyncio.create_task(target.drain())
        await asyncio.sleep(1.6)
        control.open.set()
        await asyncio.sleep(0.8)
        drain.cancel()
        calls_by_sequence = sorted(control.calls, key=lambda call: call[2])
        states = [state for _, state, _ in calls_by_sequence]
        first_draining = states.index("draining")
        assert set(states[first_draining:]) == {"draining"}
        assert len(states[first_draining:]) > 2

    run(ports, script)


def test_drain_of_an_incarnation_does_not_affect_the_next(ports):
    async def script(target, control):
        await asyncio.sleep(0.1)
        control.open.clear()
        drain = asyncio.create_task(target.drain())
        await asyncio.sleep(0.2)
        target.crash()
        target.start()
        calls_before_restart = len(control.calls)
        control.open.set()
        await asyncio.sleep(1.0)
        drain.cancel()
        assert target.serving
        states = [state for _, state, _ in control.calls[calls_before_restart:]]
        assert states[-2:] == ["ready", "ready"]

    run(ports, script)
