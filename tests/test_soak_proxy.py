"""The soak's proxy harms connections as it says."""

import asyncio

import pytest

from bench import ports as ports_module
from bench.soak import proxy


def ask(harm, late=None):
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
        between.suffer(harm)
        try:
            reader, writer = await asyncio.open_connection(*before)
            writer.write(b"x\n")
            if late is not None:
                await asyncio.sleep(0.05)
                between.suffer(late)
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


@pytest.mark.parametrize("harm", [proxy.Harm.NONE, proxy.Harm.DELAYED])
def test_passes_on(harm):
    assert ask(harm) == (b"x\n", [b"x\n"])


def test_cuts_one_way():
    assert ask(proxy.Harm.REQUESTS_LOST) == (None, [])
    answer, got = ask(proxy.Harm.ANSWERS_LOST)
    assert answer in (b"", None)
    assert got == [b"x\n"]


def test_silences_and_resets():
    assert ask(proxy.Harm.SILENT) == (None, [])
    assert ask(proxy.Harm.RESET)[0] in (b"", ConnectionError)
    late = ask(proxy.Harm.SILENT, late=proxy.Harm.RESET)
    assert late[0] in (b"", ConnectionError)
