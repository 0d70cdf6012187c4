"""Startup and shutdown of a process: settings, signals, exit codes."""

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

__all__ = [
    "CheckOption",
    "ExitCode",
    "SettingsArgument",
    "load_settings",
    "run",
]

SettingsArgument = typing.Annotated[
    pathlib.Path, typer.Argument(help="Settings file (INI).")
]
CheckOption = typing.Annotated[
    bool,
    typer.Option("--check", help="Print the effective settings and end."),
]

Model = typing.TypeVar("Model", bound=pydantic.BaseModel)


class ExitCode(enum.IntEnum):
    """Exit codes of the commands, documented in docs/operators/processes.md."""

    SUCCESS = 0
    FAILURE = 1
    INVALID_SETTINGS = 2
    PORT_TAKEN = 3
    UNKNOWN_OUTCOME = 4


def load_settings(path: pathlib.Path, model: type[Model], check: bool) -> Model:
    """Loads and validates a settings file.

    Args:
        path: Settings file.
        model: Model of the file.
        check: Whether to print the effective settings and exit.

    Raises:
        typer.Exit: The settings are invalid, and the findings are printed; or
            ``check`` is set.
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
    """Runs a process until SIGTERM or SIGINT.

    Args:
        main: Runs the process, given an event that is set when it is to stop.

    Raises:
        typer.Exit: A background task failed, or the process can't start.
    """

    async def run_with_signals() -> None:
        stopping = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopping.set)
        await main(stopping)

    try:
        uvloop.run(run_with_signals())
    except exceptions.TaskFailedError as error:
        raise typer.Exit(ExitCode.FAILURE) from error
    except OSError as error:
        loguru.logger.error("can't start: {}", error)
        raise typer.Exit(ExitCode.PORT_TAKEN) from error
