"""Background tasks of a process; the failure of one stops the process."""

import asyncio
import collections.abc

import loguru

from clementinelead import exceptions

__all__ = ["Tasks"]

CANCEL_AGAIN_S = 0.2
"""Time after which tasks that still run are cancelled again, seconds."""


class Tasks:
    """Runs coroutines until they are stopped together.

    A process that lacks one of its tasks would keep no promise, so a failure
    sets the event that stops the process.
    """

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[None]] = set()
        self._stopping = asyncio.Event()
        self._failure: BaseException | None = None

    def start(self, stopping: asyncio.Event) -> None:
        """Names the event to set when a task fails."""
        self._stopping = stopping

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
            await asyncio.wait(running, timeout=CANCEL_AGAIN_S)

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
