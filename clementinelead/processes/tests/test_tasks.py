import asyncio

import pytest

from clementinelead import exceptions
from clementinelead.processes import tasks

TEST_TIMEOUT_S = 3.0


def test_stop_cancels_a_task_again_that_missed_a_cancellation():
    # asyncio.wait_for of Python 3.11 loses a cancellation that arrives
    # together with the result.
    async def ignore_first_cancellation():
        try:
            await asyncio.sleep(60.0)
        except asyncio.CancelledError:
            pass
        await asyncio.sleep(60.0)

    async def main():
        running = tasks.Tasks()
        running.start(asyncio.Event())
        running.spawn(ignore_first_cancellation())
        await asyncio.sleep(0)
        await asyncio.wait_for(running.stop(), TEST_TIMEOUT_S)

    asyncio.run(main())


def test_failed_task_stops_the_process():
    async def fail():
        raise ValueError("broken")

    async def main():
        stopping = asyncio.Event()
        running = tasks.Tasks()
        running.start(stopping)
        running.spawn(fail())
        await asyncio.wait_for(stopping.wait(), TEST_TIMEOUT_S)
        await running.stop()
        with pytest.raises(exceptions.TaskFailedError, match="broken"):
            running.raise_failure()

    asyncio.run(main())


def _supervise_failing_task(monkeypatch, failures):
    """Supervises a task that fails some times.

    Returns:
        Whether the process was stopped.
    """
    monkeypatch.setattr(tasks, "FIRST_RESTART_DELAY_S", 0.0001)
    runs = []

    async def run():
        runs.append(1)
        if len(runs) <= failures:
            raise KeyError("unexpected")
        await asyncio.sleep(60.0)

    async def main():
        stopping = asyncio.Event()
        running = tasks.Tasks()
        running.start(stopping)
        running.supervise("test", run)
        async with asyncio.timeout(TEST_TIMEOUT_S):
            while len(runs) <= failures and not stopping.is_set():
                await asyncio.sleep(0.001)
        await running.stop()
        return stopping.is_set()

    return asyncio.run(main())


def test_supervised_task_restarts_after_unexpected_errors(monkeypatch):
    failures = tasks.MAX_CONSECUTIVE_FAILURES - 1
    assert _supervise_failing_task(monkeypatch, failures) is False


def test_supervised_task_that_always_fails_stops_the_process(monkeypatch):
    assert _supervise_failing_task(monkeypatch, 10_000) is True
