"""The proxy of the soak test injects connection faults."""

import asyncio

import pytest

from bench import ports as ports_module
from bench.soak import proxy


def send_line(fault, later_fault=None):
    """Sends a line through a proxy to an echo server.

    Returns the answer, None after a timeout, or ConnectionError, and the lines
    that the server has received.
    """

    async def exchange():
        address = ports_module.loopback()
        allocated_ports = ports_module.Ports()
        server_endpoint, proxy_endpoint = (
            (address, allocated_ports.pick(address)) for _ in range(2)
        )
        received_lines = []

        async def echo(reader, writer):
            line = await reader.readline()
            received_lines.append(line)
            writer.write(line)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(echo, *server_endpoint)
        fault_proxy = proxy.Proxy(server_endpoint)
        await fault_proxy.start(proxy_endpoint)
        fault_proxy.inject(fault)
        try:
            reader, writer = await asyncio.open_connection(*proxy_endpoint)
            writer.write(b"x\n")
            if later_fault is not None:
                await asyncio.sleep(0.05)
                fault_proxy.inject(later_fault)
            try:
                async with asyncio.timeout(1.0):
                    answer = await reader.readline()
            except TimeoutError:
                answer = None
            except ConnectionError:
                answer = ConnectionError
            writer.transport.abort()
        finally:
            await fault_proxy.stop()
            server.close()
        return answer, received_lines

    return asyncio.run(exchange())


@pytest.mark.parametrize("fault", [proxy.Fault.NONE, proxy.Fault.DELAYED])
def test_forwards_lines(fault):
    assert send_line(fault) == (b"x\n", [b"x\n"])


def test_loses_one_direction():
    assert send_line(proxy.Fault.REQUESTS_LOST) == (None, [])
    answer, received_lines = send_line(proxy.Fault.ANSWERS_LOST)
    assert answer in (b"", None)
    assert received_lines == [b"x\n"]


def test_connections_are_silent_or_reset():
    assert send_line(proxy.Fault.SILENT) == (None, [])
    assert send_line(proxy.Fault.RESET)[0] in (b"", ConnectionError)
    reset = send_line(proxy.Fault.SILENT, later_fault=proxy.Fault.RESET)
    assert reset[0] in (b"", ConnectionError)
