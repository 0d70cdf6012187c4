"""The operators' command."""

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
import rich.console
import rich.table
import typer

from clementinelead import exceptions
from clementinelead.configurations import edits
from clementinelead.configurations import merges
from clementinelead.configurations import models
from clementinelead.configurations import repositories
from clementinelead.configurations import sheets
from clementinelead.processes import operator_output
from clementinelead.processes import runtime
from clementinelead.settings import models as settings_models
from clementinelead.stores import consul

__all__ = ["main"]

_HELP = """Shows and changes the configuration in force.

Exit codes: 0 done, 1 rejected or failed, 2 wrong settings or arguments,
4 the outcome is unknown and "settle" tells it later.
"""

application = typer.Typer(help=_HELP, no_args_is_help=True)
sheet_application = typer.Typer(
    help="Plans and applies the planners' sheet.", no_args_is_help=True
)
application.add_typer(sheet_application, name="sheet")

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
Takes = typing.Annotated[
    list[str],
    typer.Option(
        "--take",
        help="SERVICE.FIELD=sheet or =hand; resolves a conflict. FIELD * is"
        " the service as a whole.",
    ),
]

DEFAULT_TIMEOUT_S = 10.0
STATUS_TIMEOUT_S = 2.0

Result = typing.TypeVar("Result")


@dataclasses.dataclass(frozen=True)
class _Context:
    settings: settings_models.OperatorSettings
    repository: repositories.Repository
    session: aiohttp.ClientSession


def _run(
    path: pathlib.Path,
    work: collections.abc.Callable[
        [_Context], collections.abc.Coroutine[None, None, Result]
    ],
) -> Result:
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
            return await work(_Context(settings, repository, session))

    try:
        return asyncio.run(supervised())
    except exceptions.StoreUnavailableError as error:
        print(f"the store is away: {error}", file=sys.stderr)
        raise typer.Exit(runtime.ExitCode.FAILED) from error
    except exceptions.FindingsError as error:
        operator_output.print_findings(error.findings)
        raise typer.Exit(runtime.ExitCode.FAILED) from error


def _author(context: _Context, change: str, reason: str) -> models.Author:
    return models.Author(
        change=change or str(uuid.uuid4()),
        operator=context.settings.operator.name,
        shift=context.settings.operator.shift,
        time=time.time(),
        reason=reason,
    )


def _report(
    outcome: repositories.ChangeOutcome, settings: pathlib.Path, as_json: bool
) -> None:
    """Prints the outcome of a change and ends with its exit code."""
    content: dict[str, object]
    match outcome:
        case repositories.Accepted(revision):
            text = f"accepted, revision {revision}"
            content = {"outcome": "accepted", "revision": revision}
            code = runtime.ExitCode.STOPPED
        case repositories.Rejected(findings):
            text = "rejected, nothing was changed"
            places = [dataclasses.asdict(finding) for finding in findings]
            content = {"outcome": "rejected", "findings": places}
            code = runtime.ExitCode.FAILED
            if not as_json:
                operator_output.print_findings(findings)
        case repositories.Unknown(change):
            command = f"clementinelead settle {change} --settings {settings}"
            text = f"unknown; this tells it later: {command}"
            content = {"outcome": "unknown", "settle": command}
            code = runtime.ExitCode.UNKNOWN_OUTCOME
    print(json.dumps(content) if as_json else text)
    raise typer.Exit(code)


def _change(
    settings: pathlib.Path,
    edit: collections.abc.Callable[[models.Author], repositories.Edit],
    change: str,
    reason: str,
    timeout_s: float,
    as_json: bool,
) -> None:
    async def work(context: _Context) -> repositories.ChangeOutcome:
        author = _author(context, change, reason)
        return await context.repository.change(edit(author), author, timeout_s)

    _report(_run(settings, work), settings, as_json)


def _parsed_takes(
    texts: list[str],
) -> dict[tuple[str, str], merges.Take]:
    takes = {}
    for text in texts:
        place, _, side = text.partition("=")
        service, _, field = place.rpartition(".")
        if side not in ("sheet", "hand") or not service:
            print(
                f"--take {text}: must be SERVICE.FIELD=sheet or =hand",
                file=sys.stderr,
            )
            raise typer.Exit(runtime.ExitCode.SETTINGS)
        takes[service, field] = merges.Take(side)
    return takes


def _rows(path: pathlib.Path) -> dict[str, sheets.Row]:
    try:
        return sheets.read(path)
    except exceptions.FindingsError as error:
        operator_output.print_findings(error.findings)
        raise typer.Exit(runtime.ExitCode.FAILED) from error


@sheet_application.command("plan")
def sheet_plan(
    file: typing.Annotated[pathlib.Path, typer.Argument(help="CSV file.")],
    settings: Settings,
    take: Takes = [],  # noqa: B006
    as_json: Json = False,
) -> None:
    """Shows what applying a sheet would do; changes nothing."""
    rows = _rows(file)
    takes = _parsed_takes(take)

    async def work(context: _Context) -> merges.Plan:
        configuration, _ = await context.repository.configuration()
        return merges.plan(str(file), configuration, rows, takes)

    made = _run(settings, work)
    if as_json:
        content = {
            "revision": made.revision,
            "changes": [dataclasses.asdict(item) for item in made.changes],
            "kept": [dataclasses.asdict(item) for item in made.kept],
            "conflicts": [
                dataclasses.asdict(item.finding()) for item in made.conflicts
            ],
        }
        print(json.dumps(content))
    else:
        operator_output.print_plan(made)
    if made.conflicts:
        raise typer.Exit(runtime.ExitCode.FAILED)


@sheet_application.command("apply")
def sheet_apply(
    file: typing.Annotated[pathlib.Path, typer.Argument(help="CSV file.")],
    settings: Settings,
    take: Takes = [],  # noqa: B006
    reason: Reason = "sheet",
    change_id: ChangeId = "",
    timeout: Timeout = DEFAULT_TIMEOUT_S,
    as_json: Json = False,
) -> None:
    """Applies a sheet as one change, if nothing is in conflict."""
    rows = _rows(file)
    edit = merges.sheet_edit(str(file), rows, _parsed_takes(take))
    _change(settings, lambda _: edit, change_id, reason, timeout, as_json)


@application.command("change")
def change_service(
    service: typing.Annotated[str, typer.Argument(help="Name.")],
    values: typing.Annotated[
        list[str], typer.Argument(help="FIELD=VALUE, one or more.")
    ],
    settings: Settings,
    reason: Reason = "",
    change_id: ChangeId = "",
    timeout: Timeout = DEFAULT_TIMEOUT_S,
    as_json: Json = False,
) -> None:
    """Sets fields of a service by hand, or adds it."""
    pairs: dict[str, object] = {}
    for text in values:
        field, separator, value = text.partition("=")
        if not separator or edits.unknown_fields([field]):
            allowed = ", ".join(sheets.COLUMNS)
            print(f"{text}: must be FIELD=VALUE ({allowed})", file=sys.stderr)
            raise typer.Exit(runtime.ExitCode.SETTINGS)
        pairs[field] = value
    _change(
        settings,
        lambda author: edits.set_edit(service, pairs, author),
        change_id,
        reason,
        timeout,
        as_json,
    )


@application.command("remove")
def remove_service(
    service: typing.Annotated[str, typer.Argument(help="Name.")],
    settings: Settings,
    reason: Reason = "",
    change_id: ChangeId = "",
    timeout: Timeout = DEFAULT_TIMEOUT_S,
    as_json: Json = False,
) -> None:
    """Removes a service by hand."""
    _change(
        settings,
        lambda author: edits.remove_edit(service, author),
        change_id,
        reason,
        timeout,
        as_json,
    )


@application.command("drain")
def drain_target(
    target: typing.Annotated[str, typer.Argument(help="Identifier.")],
    settings: Settings,
    bound: typing.Annotated[
        float | None,
        typer.Option(
            help="Seconds that the target keeps its flows; its services'"
            " drain_bound_s if not given."
        ),
    ] = None,
    undo: typing.Annotated[
        bool, typer.Option("--undo", help="Take it back into service.")
    ] = False,
    reason: Reason = "",
    change_id: ChangeId = "",
    timeout: Timeout = DEFAULT_TIMEOUT_S,
    as_json: Json = False,
) -> None:
    """Stops new work at a target; its flows go on to their end."""

    def edit(author: models.Author) -> repositories.Edit:
        if undo:
            return edits.undrain_edit(target)
        return edits.drain_edit(target, bound, author)

    _change(settings, edit, change_id, reason, timeout, as_json)


@application.command("settle")
def settle(
    change: typing.Annotated[str, typer.Argument(help="Identifier.")],
    settings: Settings,
    as_json: Json = False,
) -> None:
    """Tells whether a change with an unknown outcome was made."""

    async def work(context: _Context) -> repositories.ChangeOutcome:
        return await context.repository.settle(change)

    _report(_run(settings, work), settings, as_json)


@application.command("show")
def show(settings: Settings, as_json: Json = False) -> None:
    """Shows the services in force and what was changed by hand."""

    async def work(context: _Context) -> models.Configuration:
        configuration, _ = await context.repository.configuration()
        return configuration

    configuration = _run(settings, work)
    if as_json:
        print(configuration.model_dump_json())
        return
    console = rich.console.Console()
    table = rich.table.Table(title=f"Revision {configuration.revision}")
    for column in ("service", "team", "addresses", "policy", "by hand"):
        table.add_column(column)
    for name in sorted(configuration.entry_by_name):
        entry = configuration.entry_by_name[name]
        service = entry.service
        table.add_row(
            name,
            service.team,
            f"{service.protocol} {' '.join(service.endpoints)}",
            service.policy,
            ", ".join(sorted(entry.by_hand)) or "-",
        )
    console.print(table)


@application.command("handover")
def handover(settings: Settings, as_json: Json = False) -> None:
    """Tells the incoming shift what differs from the sheet, and why."""

    async def work(context: _Context) -> models.Configuration:
        configuration, _ = await context.repository.configuration()
        return configuration

    configuration = _run(settings, work)
    if as_json:
        content = {
            "revision": configuration.revision,
            "by_hand": {
                name: {
                    field: author.model_dump(mode="json")
                    for field, author in entry.by_hand.items()
                }
                for name, entry in configuration.entry_by_name.items()
                if entry.by_hand
            },
            "removed": {
                name: author.model_dump(mode="json")
                for name, author in configuration.index.removed.items()
            },
            "ending": {
                name: entry.ends_at
                for name, entry in configuration.ending_by_name.items()
            },
            "draining": {
                name: drain.model_dump(mode="json")
                for name, drain in configuration.index.drains.items()
            },
        }
        print(json.dumps(content))
        return
    operator_output.print_handover(configuration)


@application.command("status")
def status(
    nodes: typing.Annotated[
        list[str],
        typer.Argument(help="address:http_port of each process to ask."),
    ],
    settings: Settings,
    as_json: Json = False,
) -> None:
    """Shows which revision each process runs, and what it holds."""

    async def work(context: _Context) -> list[dict[str, object]]:
        head, _ = await context.repository.head()
        asked = [_status(context.session, node) for node in nodes]
        found = list(await asyncio.gather(*asked))
        return [{"id": "store", "revision": head.revision}, *found]

    rows = _run(settings, work)
    if as_json:
        print(json.dumps(rows))
        return
    table = rich.table.Table()
    for column in ("id", "revision", "state", "flows"):
        table.add_column(column)
    for row in rows:
        table.add_row(
            *(
                str(row.get(key, ""))
                for key in ("id", "revision", "state", "flows")
            )
        )
    rich.console.Console().print(table)


async def _status(
    session: aiohttp.ClientSession, node: str
) -> dict[str, object]:
    timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT_S)
    try:
        async with session.get(
            f"http://{node}/status", timeout=timeout
        ) as response:
            content: dict[str, object] = await response.json()
            return content
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        return {"id": node, "state": f"no answer: {error}"}


def main() -> None:
    """Runs the command line."""
    application()


if __name__ == "__main__":
    main()
