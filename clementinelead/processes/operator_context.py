"""Options, store access and outcomes that the operators' commands share."""

import asyncio
import collections.abc
import dataclasses
import json
import pathlib
import random
import sys
import time
import typing
import uuid

import aiohttp
import typer

from clementinelead import exceptions
from clementinelead.configurations import models
from clementinelead.configurations import repositories
from clementinelead.processes import operator_output
from clementinelead.processes import runtime
from clementinelead.settings import models as settings_models
from clementinelead.stores import consul

__all__ = [
    "CHANGE_TIMEOUT_S",
    "ChangeIdOption",
    "CommandContext",
    "JsonOption",
    "ReasonOption",
    "SettingsOption",
    "TimeoutOption",
    "build_author",
    "exit_with_outcome",
    "make_change",
    "run_with_context",
]

SettingsOption = typing.Annotated[
    pathlib.Path,
    typer.Option(
        "--settings",
        envvar="CLEMENTINELEAD_SETTINGS",
        help="Settings file (INI).",
    ),
]
JsonOption = typing.Annotated[bool, typer.Option("--json", help="Print JSON.")]
ReasonOption = typing.Annotated[
    str, typer.Option(help="Why; for the next shift.")
]
ChangeIdOption = typing.Annotated[
    str,
    typer.Option(
        "--id",
        help="Identifier of the change; the same one is made only once.",
    ),
]
TimeoutOption = typing.Annotated[
    float, typer.Option(help="Seconds after which the outcome is unknown.")
]
CHANGE_TIMEOUT_S = 10.0
"""Time after which the outcome of a change is unknown, seconds."""

Result = typing.TypeVar("Result")


@dataclasses.dataclass(frozen=True)
class CommandContext:
    """Settings and connections of one run of a command.

    Attributes:
        settings: Settings of the operators' command.
        repository: Access to the configuration in the store.
        session: HTTP client session, open during the run.
    """

    settings: settings_models.OperatorSettings
    repository: repositories.Repository
    session: aiohttp.ClientSession


def run_with_context(
    path: pathlib.Path,
    work: collections.abc.Callable[
        [CommandContext], collections.abc.Coroutine[None, None, Result]
    ],
) -> Result:
    """Runs a command's work and returns its result.

    Args:
        path: Settings file.
        work: Coroutine function that does the work.

    Raises:
        typer.Exit: The settings are invalid, the store is unavailable or the
            work raised findings; the error is printed.
    """
    settings = runtime.load_settings(
        path, settings_models.OperatorSettings, False
    )

    async def run_work() -> Result:
        async with aiohttp.ClientSession() as session:
            store = consul.ConsulStore(
                session, settings.store.url, settings.store.timeout_s
            )
            repository = repositories.Repository(
                store, settings.store.prefix, random.Random()
            )
            return await work(CommandContext(settings, repository, session))

    try:
        return asyncio.run(run_work())
    except exceptions.StoreUnavailableError as error:
        print(f"the store is away: {error}", file=sys.stderr)
        raise typer.Exit(runtime.ExitCode.FAILURE) from error
    except exceptions.FindingsError as error:
        operator_output.print_findings(error.findings)
        raise typer.Exit(runtime.ExitCode.FAILURE) from error


def build_author(
    context: CommandContext, change_id: str, reason: str
) -> models.Author:
    """Returns the author record of a change that is made now.

    Args:
        context: Holds the names of operator and shift.
        change_id: Identifier of the change; a new UUID if empty.
        reason: Reason of the change, for the next shift.
    """
    return models.Author(
        change=change_id or str(uuid.uuid4()),
        operator=context.settings.operator.name,
        shift=context.settings.operator.shift,
        time=time.time(),
        reason=reason,
    )


def exit_with_outcome(
    outcome: repositories.ChangeOutcome, settings: pathlib.Path, as_json: bool
) -> None:
    """Prints the outcome of a change and exits with its code.

    Args:
        outcome: The outcome.
        settings: Settings file, for the command that settles the change.
        as_json: Whether to print JSON.

    Raises:
        typer.Exit: Always, with the outcome's exit code.
    """
    content: dict[str, object]
    match outcome:
        case repositories.Accepted(revision):
            text = f"accepted, revision {revision}"
            content = {"outcome": "accepted", "revision": revision}
            code = runtime.ExitCode.SUCCESS
        case repositories.Rejected(findings):
            text = "rejected, nothing was changed"
            content = {
                "outcome": "rejected",
                "findings": [
                    dataclasses.asdict(finding) for finding in findings
                ],
            }
            code = runtime.ExitCode.FAILURE
            if not as_json:
                operator_output.print_findings(findings)
        case repositories.Unknown(change):
            command = f"clementinelead settle {change} --settings {settings}"
            text = f"unknown; run this later to get the outcome: {command}"
            content = {"outcome": "unknown", "settle": command}
            code = runtime.ExitCode.UNKNOWN_OUTCOME
    print(json.dumps(content) if as_json else text)
    raise typer.Exit(code)


def make_change(
    settings: pathlib.Path,
    edit: collections.abc.Callable[[models.Author], repositories.Edit],
    change_id: str,
    reason: str,
    timeout_s: float,
    as_json: bool,
) -> None:
    """Makes a change, prints its outcome and exits.

    Args:
        settings: Settings file.
        edit: Returns the edit of a given author.
        change_id: Identifier of the change; a new UUID if empty.
        reason: Reason of the change, for the next shift.
        timeout_s: Time after which the outcome is unknown, seconds.
        as_json: Whether to print JSON.

    Raises:
        typer.Exit: Always, with the outcome's exit code.
    """

    async def work(context: CommandContext) -> repositories.ChangeOutcome:
        author = build_author(context, change_id, reason)
        return await context.repository.change(edit(author), author, timeout_s)

    exit_with_outcome(run_with_context(settings, work), settings, as_json)
