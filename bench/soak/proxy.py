"""A TCP proxy on loopback that injects faults into its connections."""

import asyncio
import contextlib
import enum

__all__ = ["Fault", "Proxy"]

FORWARD_DELAY_S = 0.3
MAX_READ_BYTES = 65_536


class Fault(enum.Enum):
    """Fault of all connections while it is injected."""

    NONE = "none"
    DELAYED = "delayed"
    RESET = "reset"  # aborts open connections and each new one
    REQUESTS_LOST = "requests lost"  # data of the connecting side is discarded
    ANSWERS_LOST = "answers lost"  # data of the other side is discarded
    SILENT = "silent"  # connections are accepted; all data is discarded


class Proxy:
    """Forwards connections to one address.

    Attributes:
        fault: The fault injected now.
    """

    def __init__(self, target: tuple[str, int]):
        self.fault = Fault.NONE
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None
        self._stalled = asyncio.Event()

    async def start(self, address: tuple[str, int]) -> None:
        """Begins to accept connections on an address and port.

        Raises:
            OSError: The port is taken.
        """
        self._server = await asyncio.start_server(self._serve, *address)

    async def stop(self) -> None:
        """Stops accepting connections and aborts all open ones."""
        if self._server is not None:
            self._server.close()
        self._reset()
        await asyncio.sleep(0)

    def inject(self, fault: Fault) -> None:
        """Injects a fault into all connections until the next call."""
        self.fault = fault
        if fault is Fault.RESET:
            self._reset()

    def stall(self) -> None:
        """Makes open connections discard all data; later ones work."""
        self._stalled.set()
        self._stalled = asyncio.Event()

    def _reset(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is Fault.RESET:
            writer.transport.abort()
            return
        with contextlib.suppress(OSError):
            upstream_reader, upstream_writer = await asyncio.open_connection(
                *self._target
            )
            self._writers |= {writer, upstream_writer}
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(
                        self._copy(reader, upstream_writer, Fault.REQUESTS_LOST)
                    )
                    group.create_task(
                        self._copy(upstream_reader, writer, Fault.ANSWERS_LOST)
                    )
            finally:
                self._writers -= {writer, upstream_writer}
                writer.transport.abort()
                upstream_writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        discarding_fault: Fault,
    ) -> None:
        """Copies one direction until its end, subject to the injected fault.

        Args:
            reader: Source.
            writer: Destination.
            discarding_fault: Fault that discards the data of this direction.
        """
        stalled = self._stalled
        with contextlib.suppress(OSError):
            while data := await reader.read(MAX_READ_BYTES):
                if self.fault is Fault.DELAYED:
                    await asyncio.sleep(FORWARD_DELAY_S)
                if self.fault in (discarding_fault, Fault.SILENT):
                    continue
                if stalled.is_set():
                    continue
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof() and not stalled.is_set():
                writer.write_eof()
