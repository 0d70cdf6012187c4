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
