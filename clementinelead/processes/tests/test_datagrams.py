"""Sockets of the packet path and datagrams that can't be handled."""

import asyncio
import socket

from clementinelead.processes import datagrams
from clementinelead.processes import sockets

BOUND_S = 2.0


def test_datagram_that_raises_keeps_no_other_from_being_read():
    handled = []

    def receive(data, _):
        if data == b"bad":
            raise KeyError("unexpected")
        handled.append(data)

    async def main():
        loop = asyncio.get_running_loop()
        bound = sockets.PreboundSockets().claim_udp(("127.0.0.1", 0))
        read = datagrams.DatagramSocket(bound, receive)
        address = read._socket.getsockname()
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for data in (b"1", b"bad", b"2", b"bad", b"3"):
            sender.sendto(data, address)
        sender.close()
        read.start(loop)
        async with asyncio.timeout(BOUND_S):
            while len(handled) < 3:
                await asyncio.sleep(0.01)
        read.close(loop)
        return read

    read = asyncio.run(main())
    assert handled == [b"1", b"2", b"3"]
    assert read.error_counts.by_cause == {"unhandled KeyError": 2}
