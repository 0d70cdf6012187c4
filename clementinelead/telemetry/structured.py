"""Structured log lines on standard output that never block the process.

Most lines come through ``loguru``. Those of flow decisions, hundreds a second
on a fraction of a processor, are encoded here directly, which costs a quarter.
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

_STARTED = time.monotonic()

MAX_BUFFERED_BYTES = 1 << 20
"""Lines kept while the reader of the output is slow; then lines are lost."""


class LineWriter:
    """Writes lines to a descriptor without waiting for its reader.

    Attributes:
        lost_lines: Lines dropped because the reader was too slow.
    """

    def __init__(self, descriptor: int):
        self.lost_lines = 0
        self._descriptor = descriptor
        self._waiting: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._loop: asyncio.AbstractEventLoop | None = None
        self._subscribed = False
        os.set_blocking(descriptor, False)

    def attach(self, loop: "asyncio.AbstractEventLoop") -> None:
        """Lets a loop write what waits when the reader goes on."""
        self._loop = loop

    def write(self, line: bytes) -> None:
        """Writes a line now, or keeps it for later, or counts it as lost."""
        if self._waiting:
            self._keep(line)
            return
        rest = self._attempt(line)
        if rest:
            self._keep(rest)

    def flush(self) -> None:
        """Writes what waits as far as the reader takes it."""
        while self._waiting:
            line = self._waiting.popleft()
            self._waiting_bytes -= len(line)
            rest = self._attempt(line)
            if rest:
                self._waiting.appendleft(rest)
                self._waiting_bytes += len(rest)
                return
        if self._subscribed and self._loop is not None:
            self._loop.remove_writer(self._descriptor)
            self._subscribed = False

    def _attempt(self, line: bytes) -> bytes:
        """Returns what of a line could not be written."""
        try:
            written = os.write(self._descriptor, line)
        except BlockingIOError:
            return line
        except OSError:
            # Nobody reads any more; there is nowhere left to say so.
            self.lost_lines += 1
            return b""
        return line[written:]

    def _keep(self, line: bytes) -> None:
        if self._waiting_bytes + len(line) > MAX_BUFFERED_BYTES:
            self.lost_lines += 1
            return
        self._waiting.append(line)
        self._waiting_bytes += len(line)
        if self._loop is not None and not self._subscribed:
            try:
                self._loop.add_writer(self._descriptor, self.flush)
            except (OSError, NotImplementedError):
                # A regular file can't be watched, and never blocks.
                return
            self._subscribed = True


class _Output(msgspec.Struct, frozen=True):
    """Where the lines of this process go.

    Attributes:
        node: Identifier that each line carries.
        writer: Writes them.
    """

    node: str
    writer: LineWriter


_output: _Output | None = None


def write_event(
    event: str, fields: collections.abc.Mapping[str, object]
) -> None:
    """Writes a line of level INFO, cheaply.

    Args:
        event: What has happened.
        fields: What is known of it.
    """
    if _output is None:
        loguru.logger.bind(**fields).info(event)
        return
    moment = datetime.datetime.now(datetime.UTC)
    named = {"node": _output.node, **fields}
    _output.writer.write(_encoded(moment, "INFO", event, named))


def _line(message: "loguru.Message") -> bytes:
    """Returns a log record as one line of JSON."""
    record = message.record
    fields = record["extra"]
    if record["exception"] is not None:
        fields = {**fields, **_error_fields(record["exception"])}
    return _encoded(
        record["time"].astimezone(datetime.UTC),
        record["level"].name,
        record["message"],
        fields,
    )


def _error_fields(raised: "loguru.RecordException") -> dict[str, object]:
    """Returns what an error was, and the line that raised it."""
    frames = traceback.extract_tb(raised.traceback)
    place = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else None
    return {"error": repr(raised.value), "at": place}


def _encoded(
    moment: datetime.datetime,
    level: str,
    event: str,
    fields: collections.abc.Mapping[str, object],
) -> bytes:
    """Returns a line of the log."""
    content = {
        "time": moment.isoformat(timespec="milliseconds"),
        # The time of day may jump; this goes on.
        "uptime_s": round(time.monotonic() - _STARTED, 3),
        "level": level,
        "event": event,
        **fields,
    }
    return msgspec.json.encode(content, enc_hook=str) + b"\n"


def configure(node: str, descriptor: int) -> LineWriter:
    """Directs the log to a descriptor, a JSON object a line.

    Args:
        node: Identifier that each line carries.
        descriptor: Where the lines go, standard output as a rule.

    Returns:
        The writer, so that a loop can be attached to it.
    """
    global _output
    writer = LineWriter(descriptor)
    _output = _Output(node, writer)
    loguru.logger.remove()
    loguru.logger.configure(extra={"node": node})
    loguru.logger.add(
        lambda message: writer.write(_line(message)),
        level="INFO",
        format="{message}",
        catch=False,
    )
    return writer
