"""Runs a case: temporary folder, record, time limit and exit code."""

import asyncio
import collections.abc
import pathlib
import signal
import tempfile

from common import record as record_module

LIMIT_S = 114.0
"""Longest run of a case, seconds; it may take 120 s."""

BROKEN, HELD, NOT_RUN = 1, 0, 2

Case = collections.abc.Callable[
    [pathlib.Path, record_module.Record],
    collections.abc.Coroutine[None, None, int],
]


def main(case: Case, folder: pathlib.Path) -> int:
    """Runs a case, and returns the exit code.

    Args:
        case: Gets a folder for settings and the record.
        folder: Folder of the case, for the record.
    """
    record = record_module.Record(folder / "record.txt")

    async def run(settings: pathlib.Path) -> int:
        task = asyncio.current_task()
        assert task is not None, "this is a task"
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        try:
            async with asyncio.timeout(LIMIT_S):
                return await case(settings, record)
        except (TimeoutError, asyncio.CancelledError, OSError) as error:
            record.say(f"the case could not run: {type(error).__name__}")
            return NOT_RUN

    try:
        with tempfile.TemporaryDirectory() as settings:
            return asyncio.run(run(pathlib.Path(settings)))
    finally:
        record.close()
