"""Start and end of a relaying process: log, signals, sites, exit code."""

import asyncio
import collections.abc
import gc
import signal
import sys

import loguru
import uvloop

from clementinelead import exceptions
from clementinelead.processes import http_site
from clementinelead.processes import sockets
from clementinelead.telemetry import logs
from clementinelead.telemetry import structured

__all__ = ["Site", "run"]

Site = tuple[http_site.HttpSite, tuple[str, int]]
Main = collections.abc.Callable[
    [asyncio.Event], collections.abc.Coroutine[None, None, None]
]

EXIT_STOPPED = 0
EXIT_FAILED = 1
EXIT_PORT_TAKEN = 3

ERROR_LINES_PER_S = 2.0
"""Unexpected errors of callbacks logged a second."""

_GC_ALLOCATIONS = 50_000  # few objects form cycles here


class ErrorLog:
    """Logs what callbacks raise; the process goes on."""

    def __init__(self) -> None:
        self._limit = logs.RateLimiter(ERROR_LINES_PER_S)

    def report(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        """Logs an error that a callback or a connection did not handle.

        Args:
            loop: The event loop.
            context: What ``asyncio`` says of the error.
        """
        if not self._limit.allows(loop.time()):
            return
        error = context.get("exception")
        loguru.logger.bind(left_out=self._limit.pop_suppressed_count()).opt(
            exception=error if isinstance(error, Exception) else None
        ).error("unexpected error: {}", context.get("message"))


def run(
    node: str,
    main: Main,
    sites: collections.abc.Sequence[Site],
    bound: sockets.Sockets,
    on_reload: collections.abc.Callable[[], None],
) -> int:
    """Runs a process until SIGTERM or SIGINT; returns its exit code.

    Args:
        node: Identifier, for the log.
        main: Runs the process; gets an event that is set when it is to stop.
        sites: HTTP sites to serve meanwhile, with their addresses.
        bound: Sockets that have been bound already.
        on_reload: Called at SIGHUP.
    """
    writer = structured.configure(node, sys.stdout.fileno())
    gc.freeze()
    gc.set_threshold(_GC_ALLOCATIONS, 10, 10)

    async def supervised() -> None:
        loop = asyncio.get_running_loop()
        writer.attach(loop)
        loop.set_exception_handler(ErrorLog().report)
        stopping = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, on_reload)
        for site, address in sites:
            await site.start(bound.tcp(address))
        loguru.logger.info("started")
        try:
            await main(stopping)
        finally:
            for site, _ in sites:
                await site.stop()
            loguru.logger.bind(lines_lost=writer.lost_lines).info("stopped")
            writer.flush()

    try:
        uvloop.run(supervised())
    except exceptions.TaskFailedError as error:
        loguru.logger.error("failed: {}", error)
        return EXIT_FAILED
    except OSError as error:
        loguru.logger.error("can't start: {}", error)
        return EXIT_PORT_TAKEN
    return EXIT_STOPPED
