"""Background tasks of a process, and what becomes of unexpected errors."""

import asyncio
import collections.abc

import loguru

from clementinelead import exceptions

__all__ = ["Tasks"]

CANCEL_RETRY_S = 0.2
"""Time after which tasks that still run are cancelled again, seconds."""

FIRST_RESTART_DELAY_S = 0.05
"""Pause before a task that has failed begins anew, seconds; it doubles."""

FAILURE_RESET_S = 10.0
"""Time after which a task that runs counts as mended, seconds."""

MAX_CONSECUTIVE_FAILURES = 8
"""Failures in a row after which the process gives a task up.

The last pause is some seconds; a process that starts anew may do better.
"""


class Tasks:
    """Runs coroutines until they are stopped together.

    A process that lacks one of its tasks would keep no promise, so the failure
    of a task that is not kept sets the event that stops the process.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopping = asyncio.Event()
        self._failure: BaseException | None = None

    def start(self, stopping: asyncio.Event) -> None:
        """Names the event to set when a task fails."""
        self._stopping = stopping

    def supervise(
        self,
        name: str,
        run: collections.abc.Callable[
            [], collections.abc.Coroutine[None, None, None]
        ],
    ) -> None:
        """Runs a task until ``stop``, anew after each unexpected error.

        A process whose task fails again and again stops.

        Args:
            name: What the task does, for the log.
            run: Returns the task; called again after a failure.
        """
        self.spawn(self._keep(name, run))

    async def _keep(
        self,
        name: str,
        run: collections.abc.Callable[
            [], collections.abc.Coroutine[None, None, None]
        ],
    ) -> None:
        loop = asyncio.get_running_loop()
        failures = 0
        while True:
            begun = loop.time()
            try:
                await run()
                return
            except Exception as error:
                healthy = loop.time() - begun >= FAILURE_RESET_S
                failures = 1 if healthy else failures + 1
                if failures >= MAX_CONSECUTIVE_FAILURES:
                    raise
                loguru.logger.bind(task=name, failures=failures).opt(
                    exception=error
                ).error("task begins anew")
            await asyncio.sleep(FIRST_RESTART_DELAY_S * 2 ** (failures - 1))

    def spawn(
        self, coroutine: collections.abc.Coroutine[None, None, None]
    ) -> None:
        """Runs a coroutine until ``stop``; logs if it fails."""
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(self._on_done)
        self._tasks.add(task)

    async def stop(self) -> None:
        """Cancels what still runs, again if a task misses it."""
        while self._tasks:
            running = list(self._tasks)
            for task in running:
                task.cancel()
            await asyncio.wait(running, timeout=CANCEL_RETRY_S)

    def raise_failure(self) -> None:
        """Raises if a task has failed.

        Raises:
            exceptions.TaskFailedError: A task failed.
        """
        if self._failure is not None:
            raise exceptions.TaskFailedError(str(self._failure))

    def _on_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            loguru.logger.opt(exception=error).error("a task failed")
            self._failure = error
            self._stopping.set()
