"""The soak's proxy harms connections as it says."""

import asyncio

import pytest

from bench import ports as ports_module
from bench.soak import proxy


def ask(fault, late=None):
    """Sends a line through a proxy to an echo; returns what comes back."""

    async def whole():
        address = ports_module.loopback()
        picked = ports_module.Ports()
        behind, before = ((address, picked.pick(address)) for _ in range(2))
        got = []

        async def echo(reader, writer):
            line = await reader.readline()
            got.append(line)
            writer.write(line)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(echo, *behind)
        between = proxy.Proxy(behind)
        await between.start(before)
        between.inject(fault)
        try:
            reader, writer = await asyncio.open_connection(*before)
            writer.write(b"x\n")
            if late is not None:
                await asyncio.sleep(0.05)
                between.inject(late)
            try:
                async with asyncio.timeout(1.0):
                    answer = await reader.readline()
            except TimeoutError:
                answer = None
            except ConnectionError:
                answer = ConnectionError
            writer.transport.abort()
        finally:
            await between.stop()
            server.close()
        return answer, got

    return asyncio.run(whole())


@pytest.mark.parametrize("fault", [proxy.Fault.NONE, proxy.Fault.DELAYED])
def test_passes_on(fault):
    assert ask(fault) == (b"x\n", [b"x\n"])


def test_cuts_one_way():
    assert ask(proxy.Fault.REQUESTS_LOST) == (None, [])
    answer, got = ask(proxy.Fault.ANSWERS_LOST)
    assert answer in (b"", None)
    assert got == [b"x\n"]


def test_silences_and_resets():
    assert ask(proxy.Fault.SILENT) == (None, [])
    assert ask(proxy.Fault.RESET)[0] in (b"", ConnectionError)
    late = ask(proxy.Fault.SILENT, late=proxy.Fault.RESET)
    assert late[0] in (b"", ConnectionError)
