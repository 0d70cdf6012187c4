"""Links between zones that can be cut, for the addresses in `seeds`.

A process knows nobody but its seeds when it starts. Those in another zone are
reached through a forwarder that drops everything while the zone is cut off.
"""

import asyncio
import socket


class Link:
    """Forwards UDP and TCP from an address to a machine's internal ports.

    Attributes:
        is_cut: Whether everything is dropped; connections hang.
        forwarded: Datagrams and connections that got through.
        dropped: Datagrams and connections that did not.
    """

    def __init__(self, host: str, target: str, udp_port: int, tcp_port: int):
        self.is_cut = False
        self.forwarded = self.dropped = 0
        self._host, self._target = host, target
        self._udp_port, self._tcp_port = udp_port, tcp_port
        self._back: dict[tuple[str, int], socket.socket] = {}
        self._server: asyncio.Server | None = None
        self._front: socket.socket | None = None

    async def start(self) -> None:
        """Starts to forward."""
        self._front = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._front.setblocking(False)
        self._front.bind((self._host, self._udp_port))
        loop = asyncio.get_running_loop()
        loop.add_reader(self._front.fileno(), self._read_front)
        self._server = await asyncio.start_server(
            self._serve, self._host, self._tcp_port
        )

    def close(self) -> None:
        """Closes all sockets."""
        loop = asyncio.get_running_loop()
        for each in (self._front, *self._back.values()):
            if each is not None:
                loop.remove_reader(each.fileno())
                each.close()
        if self._server is not None:
            self._server.close()

    def _read_front(self) -> None:
        while True:
            try:
                data, source = self._front.recvfrom(4096)
            except OSError:
                return
            if self.is_cut:
                self.dropped += 1
                continue
            back = self._back.get(source)
            if back is None:
                back = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
                back.setblocking(False)
                back.connect((self._target, self._udp_port))
                self._back[source] = back
                asyncio.get_running_loop().add_reader(
                    back.fileno(), self._read_back, back, source
                )
            self.forwarded += 1
            try:
                back.send(data)
            except OSError:
                pass

    def _read_back(self, back: socket.socket, source: tuple[str, int]) -> None:
        while True:
            try:
                data = back.recv(4096)
            except OSError:
                return
            if not self.is_cut:
                self._front.sendto(data, source)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.is_cut:
            self.dropped += 1
            try:  # a cut link answers nothing, also after the cut
                while await reader.read(4096):
                    pass
            except OSError:
                pass
            writer.transport.abort()
            return
        self.forwarded += 1
        try:
            there = await asyncio.open_connection(self._target, self._tcp_port)
        except OSError:
            writer.transport.abort()
            return
        await asyncio.gather(
            self._pump(reader, there[1]), self._pump(there[0], writer)
        )

    @staticmethod
    async def _pump(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while data := await reader.read(65536):
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        writer.close()
