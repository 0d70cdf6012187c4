"""Command line of the operators: shows and changes the configuration."""

import asyncio
import dataclasses
import json
import pathlib
import sys
import typing

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
from clementinelead.processes import operator_context
from clementinelead.processes import operator_output
from clementinelead.processes import runtime

__all__ = ["main"]

_HELP = """Shows and changes the configuration in force.

Exit codes: 0 done, 1 rejected or failed, 2 wrong settings or arguments,
4 the outcome is unknown and "settle" reports it later.
"""

application = typer.Typer(help=_HELP, no_args_is_help=True)
sheet_application = typer.Typer(
    help="Plans and applies the planners' sheet.", no_args_is_help=True
)
application.add_typer(sheet_application, name="sheet")

STATUS_TIMEOUT_S = 2.0
"""Timeout of a request for an instance's status, seconds."""

ResolutionsOption = typing.Annotated[
    list[str],
    typer.Option(
        "--take",
        help="SERVICE.FIELD=sheet or =hand; resolves a conflict. FIELD * is"
        " the service as a whole.",
    ),
]


def _parse_resolutions(
    texts: list[str],
) -> dict[tuple[str, str], merges.Resolution]:
    """Returns the resolutions of ``--take`` by service and field.

    Raises:
        typer.Exit: A text is malformed.
    """
    resolutions = {}
    for text in texts:
        place, _, side = text.partition("=")
        service, _, field = place.rpartition(".")
        if side not in ("sheet", "hand") or not service:
            print(
                f"--take {text}: must be SERVICE.FIELD=sheet or =hand",
                file=sys.stderr,
            )
            raise typer.Exit(runtime.ExitCode.INVALID_SETTINGS)
        resolutions[service, field] = merges.Resolution(side)
    return resolutions


def _read_sheet(path: pathlib.Path) -> dict[str, sheets.Row]:
    """Returns the rows of a sheet by service.

    Raises:
        typer.Exit: The sheet has errors, which are printed.
    """
    try:
        return sheets.read(path)
    except exceptions.FindingsError as error:
        operator_output.print_findings(error.findings)
        raise typer.Exit(runtime.ExitCode.FAILURE) from error


@sheet_application.command("plan")
def sheet_plan(
    file: typing.Annotated[pathlib.Path, typer.Argument(help="CSV file.")],
    settings: operator_context.SettingsOption,
    take: ResolutionsOption = [],  # noqa: B006
    as_json: operator_context.JsonOption = False,
) -> None:
    """Shows what applying a sheet would do; changes nothing."""
    rows = _read_sheet(file)
    resolutions = _parse_resolutions(take)

    async def work(context: operator_context.CommandContext) -> merges.Plan:
        configuration, _ = await context.repository.read_configuration()
        return merges.plan(str(file), configuration, rows, resolutions)

    plan = operator_context.run_with_context(settings, work)
    if as_json:
        content = {
            "revision": plan.revision,
            "changes": [dataclasses.asdict(change) for change in plan.changes],
            "kept": [dataclasses.asdict(change) for change in plan.kept],
            "conflicts": [
                dataclasses.asdict(conflict.finding())
                for conflict in plan.conflicts
            ],
        }
        print(json.dumps(content, default=str))
    else:
        operator_output.print_plan(plan)
    if plan.conflicts:
        raise typer.Exit(runtime.ExitCode.FAILURE)


@sheet_application.command("apply")
def sheet_apply(
    file: typing.Annotated[pathlib.Path, typer.Argument(help="CSV file.")],
    settings: operator_context.SettingsOption,
    take: ResolutionsOption = [],  # noqa: B006
    reason: operator_context.ReasonOption = "sheet",
    change_id: operator_context.ChangeIdOption = "",
    timeout: operator_context.TimeoutOption = operator_context.CHANGE_TIMEOUT_S,
    as_json: operator_context.JsonOption = False,
) -> None:
    """Applies a sheet as one change, if nothing is in conflict."""
    rows = _read_sheet(file)
    edit = merges.sheet_edit(str(file), rows, _parse_resolutions(take))
    operator_context.make_change(
        settings, lambda _: edit, change_id, reason, timeout, as_json
    )


@application.command("change")
def change_service(
    service: typing.Annotated[str, typer.Argument(help="Name.")],
    values: typing.Annotated[
        list[str], typer.Argument(help="FIELD=VALUE, one or more.")
    ],
    settings: operator_context.SettingsOption,
    reason: operator_context.ReasonOption = "",
    change_id: operator_context.ChangeIdOption = "",
    timeout: operator_context.TimeoutOption = operator_context.CHANGE_TIMEOUT_S,
    as_json: operator_context.JsonOption = False,
) -> None:
    """Sets fields of a service by hand, or adds it."""
    value_by_field: dict[str, object] = {}
    for text in values:
        field, separator, value = text.partition("=")
        if not separator or edits.unknown_fields([field]):
            allowed = ", ".join(sheets.COLUMNS)
            print(f"{text}: must be FIELD=VALUE ({allowed})", file=sys.stderr)
            raise typer.Exit(runtime.ExitCode.INVALID_SETTINGS)
        value_by_field[field] = value
    operator_context.make_change(
        settings,
        lambda author: edits.set_edit(service, value_by_field, author),
        change_id,
        reason,
        timeout,
        as_json,
    )


@application.command("remove")
def remove_service(
    service: typing.Annotated[str, typer.Argument(help="Name.")],
    settings: operator_context.SettingsOption,
    reason: operator_context.ReasonOption = "",
    change_id: operator_context.ChangeIdOption = "",
    timeout: operator_context.TimeoutOption = operator_context.CHANGE_TIMEOUT_S,
    as_json: operator_context.JsonOption = False,
) -> None:
    """Removes a service by hand."""
    operator_context.make_change(
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
    settings: operator_context.SettingsOption,
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
    reason: operator_context.ReasonOption = "",
    change_id: operator_context.ChangeIdOption = "",
    timeout: operator_context.TimeoutOption = operator_context.CHANGE_TIMEOUT_S,
    as_json: operator_context.JsonOption = False,
) -> None:
    """Stops new work at a target; its flows go on to their end."""

    def edit(author: models.Author) -> repositories.Edit:
        if undo:
            return edits.undrain_edit(target)
        return edits.drain_edit(target, bound, author)

    operator_context.make_change(
        settings, edit, change_id, reason, timeout, as_json
    )


@application.command("evacuate")
def evacuate_zone(
    zone: typing.Annotated[str, typer.Argument(help="Availability zone.")],
    settings: operator_context.SettingsOption,
    undo: typing.Annotated[
        bool, typer.Option("--undo", help="Take it back into service.")
    ] = False,
    reason: operator_context.ReasonOption = "",
    change_id: operator_context.ChangeIdOption = "",
    timeout: operator_context.TimeoutOption = operator_context.CHANGE_TIMEOUT_S,
    as_json: operator_context.JsonOption = False,
) -> None:
    """Stops new work at all targets of a zone; their flows go on."""

    def edit(author: models.Author) -> repositories.Edit:
        if undo:
            return edits.restore_edit(zone)
        return edits.evacuate_edit(zone, author)

    operator_context.make_change(
        settings, edit, change_id, reason, timeout, as_json
    )


@application.command("settle")
def settle(
    change: typing.Annotated[str, typer.Argument(help="Identifier.")],
    settings: operator_context.SettingsOption,
    as_json: operator_context.JsonOption = False,
) -> None:
    """Reports whether a change with an unknown outcome was made."""

    async def work(
        context: operator_context.CommandContext,
    ) -> repositories.ChangeOutcome:
        return await context.repository.settle(change)

    operator_context.exit_with_outcome(
        operator_context.run_with_context(settings, work), settings, as_json
    )


@application.command("show")
def show(
    settings: operator_context.SettingsOption,
    as_json: operator_context.JsonOption = False,
) -> None:
    """Shows the services in force and what was changed by hand."""

    async def work(
        context: operator_context.CommandContext,
    ) -> models.Configuration:
        configuration, _ = await context.repository.read_configuration()
        return configuration

    configuration = operator_context.run_with_context(settings, work)
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
def handover(
    settings: operator_context.SettingsOption,
    as_json: operator_context.JsonOption = False,
) -> None:
    """Shows the incoming shift what differs from the sheet, and why."""

    async def work(
        context: operator_context.CommandContext,
    ) -> models.Configuration:
        configuration, _ = await context.repository.read_configuration()
        return configuration

    configuration = operator_context.run_with_context(settings, work)
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
            "evacuated": {
                zone: evacuation.author.model_dump(mode="json")
                for zone, evacuation in configuration.index.evacuations.items()
            },
        }
        print(json.dumps(content))
        return
    operator_output.print_handover(configuration)


@application.command("status")
def status(
    nodes: typing.Annotated[
        list[str],
        typer.Argument(help="address:http_port of each process to query."),
    ],
    settings: operator_context.SettingsOption,
    as_json: operator_context.JsonOption = False,
) -> None:
    """Shows which revision each process runs, and what it holds."""

    async def work(
        context: operator_context.CommandContext,
    ) -> list[dict[str, object]]:
        head, _ = await context.repository.read_head()
        queries = [_fetch_status(context.session, node) for node in nodes]
        statuses = list(await asyncio.gather(*queries))
        return [{"id": "store", "revision": head.revision}, *statuses]

    rows = operator_context.run_with_context(settings, work)
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


async def _fetch_status(
    session: aiohttp.ClientSession, node: str
) -> dict[str, object]:
    """Returns a process's status page, or a row that holds the error."""
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
    """Runs the operators' command with the process's arguments."""
    application()


if __name__ == "__main__":
    main()
