"""Errors of the receiver of a datagram socket."""

import asyncio
import errno
import socket

from clementinelead.processes import datagrams
from clementinelead.processes import sockets

TEST_TIMEOUT_S = 2.0


def test_error_for_one_datagram_does_not_stop_the_reading_of_others():
    handled = []

    def receive(data, _):
        if data == b"bad":
            raise KeyError("unexpected")
        handled.append(data)

    async def main():
        loop = asyncio.get_running_loop()
        bound = sockets.PreboundSockets().claim_udp(("127.0.0.1", 0))
        datagram_socket = datagrams.DatagramSocket(bound, receive)
        address = datagram_socket._socket.getsockname()
        sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        for data in (b"1", b"bad", b"2", b"bad", b"3"):
            sender.sendto(data, address)
        sender.close()
        datagram_socket.start(loop)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while len(handled) < 3:
                await asyncio.sleep(0.01)
        datagram_socket.close(loop)
        return datagram_socket.error_counts.by_cause

    counts_by_cause = asyncio.run(main())
    assert handled == [b"1", b"2", b"3"]
    assert counts_by_cause == {"unhandled KeyError": 2}


class _FailingSocket:
    """A socket whose every read fails, as that of a closed one does."""

    def __init__(self):
        self.reads = 0

    def recvfrom(self, _):
        self.reads += 1
        assert self.reads < 1_000, "it is read for ever"
        raise OSError(errno.EBADF, "Bad file descriptor")


# Guards against a process that spins when an error of reading does not go away
# (review/2).
def test_error_that_returns_for_ever_ends_the_reading():
    failing = _FailingSocket()
    datagram_socket = datagrams.DatagramSocket(failing)
    assert datagram_socket.receive() is None
    counted = datagram_socket.error_counts.by_cause["OSError"]
    assert counted == failing.reads > 1


def test_closed_socket_has_no_datagrams():
    async def main():
        bound = sockets.PreboundSockets().claim_udp(("127.0.0.1", 0))
        datagram_socket = datagrams.DatagramSocket(bound)
        datagram_socket.start(asyncio.get_running_loop())
        datagram_socket.close(asyncio.get_running_loop())
        assert datagram_socket.receive() is None
        return datagram_socket.error_counts.by_cause

    assert not asyncio.run(main())
