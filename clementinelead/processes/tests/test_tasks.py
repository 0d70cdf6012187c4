import asyncio

import pytest

from clementinelead import exceptions
from clementinelead.processes import tasks

BOUND_S = 3.0


def test_task_that_misses_a_cancellation_is_stopped_too():
    # asyncio.wait_for of Python 3.11 loses one that comes with the result.
    async def deaf():
        try:
            await asyncio.sleep(60.0)
        except asyncio.CancelledError:
            pass
        await asyncio.sleep(60.0)

    async def main():
        running = tasks.Tasks()
        running.start(asyncio.Event())
        running.spawn(deaf())
        await asyncio.sleep(0)
        await asyncio.wait_for(running.stop(), BOUND_S)

    asyncio.run(main())


def test_failed_task_stops_the_process():
    async def fail():
        raise ValueError("broken")

    async def main():
        stopping = asyncio.Event()
        running = tasks.Tasks()
        running.start(stopping)
        running.spawn(fail())
        await asyncio.wait_for(stopping.wait(), BOUND_S)
        await running.stop()
        with pytest.raises(exceptions.TaskFailedError, match="broken"):
            running.raise_failure()

    asyncio.run(main())


def _kept(monkeypatch, failures):
    """Runs a kept task that fails some times; returns its runs and end."""
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
        async with asyncio.timeout(BOUND_S):
            while len(runs) <= failures and not stopping.is_set():
                await asyncio.sleep(0.001)
        await running.stop()
        return stopping.is_set()

    return len(runs), asyncio.run(main())


def test_kept_task_begins_anew_after_an_unexpected_error(monkeypatch):
    failures = tasks.MAX_CONSECUTIVE_FAILURES - 1
    assert _kept(monkeypatch, failures)[1] is False


def test_kept_task_that_always_fails_stops_the_process(monkeypatch):
    assert _kept(monkeypatch, 10_000)[1] is True
