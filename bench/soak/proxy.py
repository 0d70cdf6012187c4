"""A proxy on loopback that harms the connections through it."""

import asyncio
import contextlib
import enum

__all__ = ["Fault", "Proxy"]

DELAY_S = 0.3
READ_BYTES = 65_536


class Fault(enum.Enum):
    """What happens to connections while it lasts."""

    NONE = "none"
    DELAYED = "delayed"
    RESET = "reset"  # those that are open, and each new one
    REQUESTS_LOST = "requests lost"  # cut one way
    ANSWERS_LOST = "answers lost"  # cut the other way
    SILENT = "silent"  # accepted, and nothing passes


class Proxy:
    """Passes connections on to one address.

    Attributes:
        fault: What happens to them now.
    """

    def __init__(self, target: tuple[str, int]):
        self.fault = Fault.NONE
        self._target = target
        self._writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self, address: tuple[str, int]) -> None:
        """Accepts connections until stopped.

        Raises:
            OSError: The port is taken.
        """
        self._server = await asyncio.start_server(self._serve, *address)

    async def stop(self) -> None:
        """Closes all connections."""
        if self._server is not None:
            self._server.close()
        self._reset()
        await asyncio.sleep(0)

    def inject(self, fault: Fault) -> None:
        """Lets something happen to the connections from now on."""
        self.fault = fault
        if fault is Fault.RESET:
            self._reset()

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
            back_reader, back_writer = await asyncio.open_connection(
                *self._target
            )
            self._writers |= {writer, back_writer}
            try:
                async with asyncio.TaskGroup() as group:
                    group.create_task(
                        self._copy(reader, back_writer, Fault.REQUESTS_LOST)
                    )
                    group.create_task(
                        self._copy(back_reader, writer, Fault.ANSWERS_LOST)
                    )
            finally:
                self._writers -= {writer, back_writer}
                writer.transport.abort()
                back_writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        cut: Fault,
    ) -> None:
        """Copies one direction until its end, as far as the fault lets it."""
        with contextlib.suppress(OSError):
            while data := await reader.read(READ_BYTES):
                if self.fault is Fault.DELAYED:
                    await asyncio.sleep(DELAY_S)
                if self.fault in (cut, Fault.SILENT):
                    continue
                writer.write(data)
                await writer.drain()
            if writer.can_write_eof():
                writer.write_eof()
