"""Background tasks of a process: supervision, restarts, cancellation."""

import asyncio
import collections.abc

import loguru

from clementinelead import exceptions

__all__ = ["Tasks"]

CANCEL_RETRY_S = 0.2
"""Time after which tasks that still run are cancelled again, seconds."""

FIRST_RESTART_DELAY_S = 0.05
"""Delay before the first restart of a task, seconds; doubles per failure."""

FAILURE_RESET_S = 10.0
"""Run time after which the count of failures of a task restarts, seconds."""

MAX_CONSECUTIVE_FAILURES = 8
"""Consecutive failures of a task after which the process stops.

The last delay is some seconds; a restarted process may recover from the fault.
"""


class Tasks:
    """Runs background tasks until they are stopped together.

    A process can't do its work without one of its tasks, so the failure of a
    task that is not restarted sets the event that stops the process.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopping = asyncio.Event()
        self._failure: BaseException | None = None

    def start(self, stopping: asyncio.Event) -> None:
        """Sets up the handling of failures.

        Args:
            stopping: Event to set when a task fails.
        """
        self._stopping = stopping

    def supervise(
        self,
        name: str,
        run: collections.abc.Callable[
            [], collections.abc.Coroutine[None, None, None]
        ],
    ) -> None:
        """Runs a task until ``stop``, and restarts it after each error.

        The delay before a restart grows exponentially. The process stops after
        ``MAX_CONSECUTIVE_FAILURES``.

        Args:
            name: What the task does, for the log.
            run: Coroutine function of the task, called for each restart.
        """
        self.spawn(self._supervise(name, run))

    async def _supervise(
        self,
        name: str,
        run: collections.abc.Callable[
            [], collections.abc.Coroutine[None, None, None]
        ],
    ) -> None:
        loop = asyncio.get_running_loop()
        failures = 0
        while True:
            started = loop.time()
            try:
                await run()
                return
            except Exception as error:
                reset = loop.time() - started >= FAILURE_RESET_S
                failures = 1 if reset else failures + 1
                if failures >= MAX_CONSECUTIVE_FAILURES:
                    raise
                loguru.logger.bind(task=name, failures=failures).opt(
                    exception=error
                ).error("task begins anew")
            await asyncio.sleep(FIRST_RESTART_DELAY_S * 2 ** (failures - 1))

    def spawn(
        self, coroutine: collections.abc.Coroutine[None, None, None]
    ) -> None:
        """Runs a coroutine in the background until ``stop``.

        Its failure is logged and sets the event that stops the process.
        """
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(self._on_done)
        self._tasks.add(task)

    async def stop(self) -> None:
        """Cancels the running tasks and waits for their end.

        Tasks that miss a cancellation are cancelled again.
        """
        while self._tasks:
            running = list(self._tasks)
            for task in running:
                task.cancel()
            await asyncio.wait(running, timeout=CANCEL_RETRY_S)

    def raise_failure(self) -> None:
        """Raises an error if a task has failed.

        Raises:
            exceptions.TaskFailedError: A task failed; holds the message of the
                latest failure.
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
