"""Startup and shutdown of a relaying process: log, signals, HTTP sites."""

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

EXIT_SUCCESS = 0
EXIT_FAILURE = 1
EXIT_PORT_TAKEN = 3

ERROR_LINES_PER_S = 2.0
"""Highest rate of logged unexpected errors of callbacks, lines per second."""

_GC_THRESHOLD_ALLOCATIONS = 50_000  # Few objects here form cycles.


class UnhandledErrorLog:
    """Logs unhandled errors of callbacks, at a limited rate.

    The process continues after such an error.
    """

    def __init__(self) -> None:
        self._limit = logs.RateLimiter(ERROR_LINES_PER_S)

    def report(
        self, loop: asyncio.AbstractEventLoop, context: dict[str, object]
    ) -> None:
        """Logs an error that a callback or a connection did not handle.

        Args:
            loop: The event loop.
            context: Message and exception, as passed by ``asyncio``.
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
    bound: sockets.PreboundSockets,
    on_reload: collections.abc.Callable[[], None],
) -> int:
    """Runs a process until SIGTERM or SIGINT.

    Args:
        node: Identifier, for the log.
        main: Runs the process, given an event that is set when it is to stop.
        sites: HTTP sites to serve while it runs, with their addresses.
        bound: Sockets that have been bound already.
        on_reload: Called on SIGHUP.

    Returns:
        Exit code: success, a failed background task, or an ``OSError`` such
        as a port in use.
    """
    writer = structured.configure(node, sys.stdout.fileno())
    gc.freeze()
    gc.set_threshold(_GC_THRESHOLD_ALLOCATIONS, 10, 10)

    async def run_with_signals() -> None:
        loop = asyncio.get_running_loop()
        writer.attach(loop)
        loop.set_exception_handler(UnhandledErrorLog().report)
        stopping = asyncio.Event()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        loop.add_signal_handler(signal.SIGHUP, on_reload)
        # Held back since the start of the program.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
        for site, address in sites:
            await site.start(bound.claim_tcp(address))
        loguru.logger.info("started")
        try:
            await main(stopping)
        finally:
            for site, _ in sites:
                await site.stop()
            loguru.logger.bind(lines_lost=writer.lost_lines).info("stopped")
            writer.flush()

    try:
        uvloop.run(run_with_signals())
    except exceptions.TaskFailedError as error:
        loguru.logger.error("failed: {}", error)
        return EXIT_FAILURE
    except OSError as error:
        loguru.logger.error("can't start: {}", error)
        return EXIT_PORT_TAKEN
    return EXIT_SUCCESS
