"""The soak's proxy injects each fault into its connections."""

import asyncio

import pytest

from bench import ports as ports_module
from bench.soak import proxy

CLOSE_DELAY_S = 0.05


def send_line(fault, late_fault=None):
    """Sends a line through a proxy to an echo server.

    Returns the answer and the lines that the server received.
    """

    async def exchange():
        address = ports_module.loopback()
        port_picker = ports_module.Ports()
        upstream, listening = (
            (address, port_picker.pick(address)) for _ in range(2)
        )
        received = []

        async def echo(reader, writer):
            if line := await reader.readline():
                received.append(line)
                writer.write(line)
                await writer.drain()
            writer.close()

        server = await asyncio.start_server(echo, *upstream)
        tested_proxy = proxy.Proxy(upstream)
        await tested_proxy.start(listening)
        tested_proxy.inject(fault)
        try:
            reader, writer = await asyncio.open_connection(*listening)
            writer.write(b"x\n")
            if late_fault is not None:
                await asyncio.sleep(0.05)
                tested_proxy.inject(late_fault)
            try:
                async with asyncio.timeout(1.0):
                    answer = await reader.readline()
            except TimeoutError:
                answer = None
            except ConnectionError:
                answer = ConnectionError
            writer.transport.abort()
        finally:
            await tested_proxy.stop()
            server.close()
            # Lets the server close its connections before the loop ends.
            await asyncio.sleep(CLOSE_DELAY_S)
        return answer, received

    return asyncio.run(exchange())


@pytest.mark.parametrize("fault", [proxy.Fault.NONE, proxy.Fault.DELAYED])
def test_forwards(fault):
    assert send_line(fault) == (b"x\n", [b"x\n"])


def test_discards_one_direction():
    assert send_line(proxy.Fault.REQUESTS_LOST) == (None, [])
    answer, received = send_line(proxy.Fault.ANSWERS_LOST)
    assert answer in (b"", None)
    assert received == [b"x\n"]


def test_silent_and_reset():
    assert send_line(proxy.Fault.SILENT) == (None, [])
    assert send_line(proxy.Fault.RESET)[0] in (b"", ConnectionError)
    late = send_line(proxy.Fault.SILENT, late_fault=proxy.Fault.RESET)
    assert late[0] in (b"", ConnectionError)


def test_stalled_connections_stay_silent_and_new_ones_work():
    async def exchange():
        address = ports_module.loopback()
        port_picker = ports_module.Ports()
        upstream, listening = (
            (address, port_picker.pick(address)) for _ in range(2)
        )

        async def echo(reader, writer):
            while line := await reader.readline():
                writer.write(line)
            writer.close()

        server = await asyncio.start_server(echo, *upstream)
        tested_proxy = proxy.Proxy(upstream)
        await tested_proxy.start(listening)
        answers = []
        try:
            reader, writer = await asyncio.open_connection(*listening)
            writer.write(b"1\n")
            answers.append(await reader.readline())
            tested_proxy.stall()
            writer.write(b"2\n")
            try:
                async with asyncio.timeout(0.5):
                    answers.append(await reader.readline())
            except TimeoutError:
                answers.append(None)
            later_reader, later_writer = await asyncio.open_connection(
                *listening
            )
            later_writer.write(b"3\n")
            answers.append(await later_reader.readline())
            writer.transport.abort()
            later_writer.transport.abort()
        finally:
            await tested_proxy.stop()
            server.close()
            # Lets the server close its connections before the loop ends.
            await asyncio.sleep(CLOSE_DELAY_S)
        return answers

    assert asyncio.run(exchange()) == [b"1\n", None, b"3\n"]
