"""Start and end of a process: settings, logs, signals, exit codes."""

import asyncio
import collections.abc
import enum
import pathlib
import signal
import sys
import typing

import loguru
import pydantic
import typer
import uvloop

from clementinelead import exceptions
from clementinelead.settings import ini

__all__ = ["Check", "ExitCode", "SettingsPath", "load_settings", "run"]

SettingsPath = typing.Annotated[
    pathlib.Path, typer.Argument(help="Settings file (INI).")
]
Check = typing.Annotated[
    bool,
    typer.Option("--check", help="Print the effective settings and end."),
]

Model = typing.TypeVar("Model", bound=pydantic.BaseModel)


class ExitCode(enum.IntEnum):
    """Exit codes, documented in docs/operators/processes.md."""

    SUCCESS = 0
    FAILURE = 1
    INVALID_SETTINGS = 2
    PORT_TAKEN = 3
    UNKNOWN_OUTCOME = 4


def load_settings(path: pathlib.Path, model: type[Model], check: bool) -> Model:
    """Returns the settings, or ends the process and says what is wrong.

    Args:
        path: Settings file.
        model: Model of the file.
        check: Whether to print the effective settings and end.
    """
    try:
        settings = ini.load(path, model)
    except exceptions.FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        raise typer.Exit(ExitCode.INVALID_SETTINGS) from error
    if check:
        print(ini.dump(settings), end="")
        raise typer.Exit(ExitCode.SUCCESS)
    return settings


def run(
    main: collections.abc.Callable[
        [asyncio.Event], collections.abc.Coroutine[None, None, None]
    ],
) -> None:
    """Runs a process until SIGTERM or SIGINT asks it to stop.

    Args:
        main: Runs the process; gets an event that is set when it is to stop.
    """

    async def supervised() -> None:
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        await main(stopping)

    try:
        uvloop.run(supervised())
    except exceptions.TaskFailedError as error:
        raise typer.Exit(ExitCode.FAILURE) from error
    except OSError as error:
        loguru.logger.error("can't start: {}", error)
        raise typer.Exit(ExitCode.PORT_TAKEN) from error
