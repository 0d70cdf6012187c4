"""Structured log lines on standard output, written without blocking.

Most lines are logged with ``loguru``. Lines of flow decisions, hundreds per
second on a fraction of a processor, are encoded here directly, at a quarter of
the cost.
"""

import collections
import collections.abc
import datetime
import os
import time
import traceback
import typing

import loguru
import msgspec

if typing.TYPE_CHECKING:
    import asyncio

__all__ = ["LineWriter", "configure", "write_event"]

_STARTED_S = time.monotonic()

MAX_BUFFERED_BYTES = 1 << 20
"""Bound of the lines buffered for a slow reader; further lines are dropped."""


class LineWriter:
    """Writes lines to a descriptor without blocking on a slow reader.

    Args:
        descriptor: File descriptor, which is made non-blocking.

    Attributes:
        lost_lines: Number of lines dropped because the buffer was full or the
            reader had closed.
    """

    def __init__(self, descriptor: int):
        self.lost_lines = 0
        self._descriptor = descriptor
        self._buffered_lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._loop: asyncio.AbstractEventLoop | None = None
        self._writer_added = False
        os.set_blocking(descriptor, False)

    def attach(self, loop: "asyncio.AbstractEventLoop") -> None:
        """Sets the event loop that writes lines buffered for a slow reader.

        Args:
            loop: Event loop of this process.
        """
        self._loop = loop

    def write(self, line: bytes) -> None:
        """Writes or buffers a line, or drops it if the buffer is full.

        Args:
            line: The line, with its line feed.
        """
        if self._buffered_lines:
            self._buffer(line)
            return
        rest = self._try_write(line)
        if rest:
            self._buffer(rest)

    def flush(self) -> None:
        """Writes buffered lines until the reader accepts no more."""
        while self._buffered_lines:
            line = self._buffered_lines.popleft()
            self._buffered_bytes -= len(line)
            rest = self._try_write(line)
            if rest:
                self._buffered_lines.appendleft(rest)
                self._buffered_bytes += len(rest)
                return
        if self._writer_added and self._loop is not None:
            self._loop.remove_writer(self._descriptor)
            self._writer_added = False

    def _try_write(self, line: bytes) -> bytes:
        """Writes a line; returns the part that could not be written."""
        try:
            written = os.write(self._descriptor, line)
        except BlockingIOError:
            return line
        except OSError:
            # The reader has closed, so the failure can't be logged either.
            self.lost_lines += 1
            return b""
        return line[written:]

    def _buffer(self, line: bytes) -> None:
        if self._buffered_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.lost_lines += 1
            return
        self._buffered_lines.append(line)
        self._buffered_bytes += len(line)
        if self._loop is not None and not self._writer_added:
            try:
                self._loop.add_writer(self._descriptor, self.flush)
            except (OSError, NotImplementedError):
                # A regular file can't be polled, and never blocks.
                return
            self._writer_added = True


class _Output(msgspec.Struct, frozen=True):
    """Output of this process's log lines.

    Attributes:
        node: Identifier that each line carries.
        writer: Writer of the lines.
    """

    node: str
    writer: LineWriter


_output: _Output | None = None


def write_event(
    event: str, fields: collections.abc.Mapping[str, object]
) -> None:
    """Writes a log line of level INFO without the overhead of ``loguru``.

    Before ``configure`` is called, the line is logged with ``loguru``.

    Args:
        event: Text of the event.
        fields: Additional fields of the line.
    """
    if _output is None:
        loguru.logger.bind(**fields).info(event)
        return
    now = datetime.datetime.now(datetime.UTC)
    fields_with_node = {"node": _output.node, **fields}
    _output.writer.write(_encoded_line(now, "INFO", event, fields_with_node))


def _line_of_record(message: "loguru.Message") -> bytes:
    """Returns a log record as one line of JSON."""
    record = message.record
    fields = record["extra"]
    if record["exception"] is not None:
        fields = {**fields, **_error_fields(record["exception"])}
    return _encoded_line(
        record["time"].astimezone(datetime.UTC),
        record["level"].name,
        record["message"],
        fields,
    )


def _error_fields(exception: "loguru.RecordException") -> dict[str, object]:
    """Returns the text of an exception, and the line that raised it."""
    frames = traceback.extract_tb(exception.traceback)
    location = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else None
    return {"error": repr(exception.value), "at": location}


def _encoded_line(
    time_of_day: datetime.datetime,
    level: str,
    event: str,
    fields: collections.abc.Mapping[str, object],
) -> bytes:
    """Returns a log line as JSON with a line feed."""
    content = {
        "time": time_of_day.isoformat(timespec="milliseconds"),
        # Monotonic, whereas the time of day may jump.
        "uptime_s": round(time.monotonic() - _STARTED_S, 3),
        "level": level,
        "event": event,
        **fields,
    }
    return msgspec.json.encode(content, enc_hook=str) + b"\n"


def configure(node: str, descriptor: int) -> LineWriter:
    """Directs the log to a descriptor, as one JSON object per line.

    Args:
        node: Identifier that each line carries.
        descriptor: File descriptor of the output, usually standard output.

    Returns:
        The writer, to which the caller attaches its event loop.
    """
    global _output
    writer = LineWriter(descriptor)
    _output = _Output(node, writer)
    loguru.logger.remove()
    loguru.logger.configure(extra={"node": node})
    loguru.logger.add(
        lambda message: writer.write(_line_of_record(message)),
        level="INFO",
        format="{message}",
        catch=False,
    )
    return writer
