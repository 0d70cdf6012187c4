"""What the operators' commands have in common: options, store, outcomes."""

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
    "DEFAULT_TIMEOUT_S",
    "ChangeId",
    "CommandContext",
    "Json",
    "Reason",
    "Settings",
    "Timeout",
    "build_author",
    "exit_with_outcome",
    "make_change",
    "run_with_context",
]

Settings = typing.Annotated[
    pathlib.Path,
    typer.Option(
        "--settings",
        envvar="CLEMENTINELEAD_SETTINGS",
        help="Settings file (INI).",
    ),
]
Json = typing.Annotated[bool, typer.Option("--json", help="Print JSON.")]
Reason = typing.Annotated[str, typer.Option(help="Why; for the next shift.")]
ChangeId = typing.Annotated[
    str,
    typer.Option(
        "--id",
        help="Identifier of the change; the same one is made only once.",
    ),
]
Timeout = typing.Annotated[
    float, typer.Option(help="Seconds after which the outcome is unknown.")
]
DEFAULT_TIMEOUT_S = 10.0
"""Time after which the outcome of a change is unknown, seconds."""

Result = typing.TypeVar("Result")


@dataclasses.dataclass(frozen=True)
class CommandContext:
    """What a command works with.

    Attributes:
        settings: Settings of the operators' command.
        repository: The configuration in the store.
        session: HTTP client session.
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
    """Runs a command's work; ends the process if the store is away.

    Args:
        path: Settings file.
        work: The work.

    Raises:
        typer.Exit: The store is away, or the work found something wrong.
    """
    settings = runtime.load_settings(
        path, settings_models.OperatorSettings, False
    )

    async def supervised() -> Result:
        async with aiohttp.ClientSession() as session:
            store = consul.ConsulStore(
                session, settings.store.url, settings.store.timeout_s
            )
            repository = repositories.Repository(
                store, settings.store.prefix, random.Random()
            )
            return await work(CommandContext(settings, repository, session))

    try:
        return asyncio.run(supervised())
    except exceptions.StoreUnavailableError as error:
        print(f"the store is away: {error}", file=sys.stderr)
        raise typer.Exit(runtime.ExitCode.FAILURE) from error
    except exceptions.FindingsError as error:
        operator_output.print_findings(error.findings)
        raise typer.Exit(runtime.ExitCode.FAILURE) from error


def build_author(
    context: CommandContext, change: str, reason: str
) -> models.Author:
    """Returns who makes a change now.

    Args:
        context: Names operator and shift.
        change: Identifier of the change, made up if empty.
        reason: Why.
    """
    return models.Author(
        change=change or str(uuid.uuid4()),
        operator=context.settings.operator.name,
        shift=context.settings.operator.shift,
        time=time.time(),
        reason=reason,
    )


def exit_with_outcome(
    outcome: repositories.ChangeOutcome, settings: pathlib.Path, as_json: bool
) -> None:
    """Prints the outcome of a change and ends with its exit code."""
    content: dict[str, object]
    match outcome:
        case repositories.Accepted(revision):
            text = f"accepted, revision {revision}"
            content = {"outcome": "accepted", "revision": revision}
            code = runtime.ExitCode.SUCCESS
        case repositories.Rejected(findings):
            text = "rejected, nothing was changed"
            places = [dataclasses.asdict(finding) for finding in findings]
            content = {"outcome": "rejected", "findings": places}
            code = runtime.ExitCode.FAILURE
            if not as_json:
                operator_output.print_findings(findings)
        case repositories.Unknown(change):
            command = f"clementinelead settle {change} --settings {settings}"
            text = f"unknown; this tells it later: {command}"
            content = {"outcome": "unknown", "settle": command}
            code = runtime.ExitCode.UNKNOWN_OUTCOME
    print(json.dumps(content) if as_json else text)
    raise typer.Exit(code)


def make_change(
    settings: pathlib.Path,
    edit: collections.abc.Callable[[models.Author], repositories.Edit],
    change: str,
    reason: str,
    timeout_s: float,
    as_json: bool,
) -> None:
    """Makes a change and prints its outcome.

    Args:
        settings: Settings file.
        edit: Returns the edit, given who makes it.
        change: Identifier of the change, made up if empty.
        reason: Why.
        timeout_s: Time after which the outcome is unknown, seconds.
        as_json: Whether to print JSON.

    Raises:
        typer.Exit: Always, with the outcome's exit code.
    """

    async def work(context: CommandContext) -> repositories.ChangeOutcome:
        author = build_author(context, change, reason)
        return await context.repository.change(edit(author), author, timeout_s)

    exit_with_outcome(run_with_context(settings, work), settings, as_json)
