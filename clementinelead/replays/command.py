"""``clementinelead-replay``: simulates a workload under several policies."""

import pathlib
import sys
import typing

import rich.console
import rich.table
import typer

from clementinelead import exceptions
from clementinelead.replays import loads
from clementinelead.replays import patterns
from clementinelead.replays import relay_processes
from clementinelead.replays import scales
from clementinelead.replays import simulations
from clementinelead.replays import summaries

__all__ = ["main"]

_PATTERN_NAMES = [
    pattern.__name__.replace("_", "-") for pattern in patterns.PATTERNS
]

_TABLE_WIDTH = 168
"""Width of the table, characters."""

_COLUMNS = (
    "policy",
    "kind",
    "asked",
    "in time",
    "late",
    "refused",
    "no answer",
    "p50 ms",
    "p90 ms",
    "p99 ms",
    "worth",
    "other zone",
    "busiest/mean",
    f"in time, each {summaries.PLOT_STEP_S} s",
)

_application = typer.Typer(add_completion=False)


def _share(description: str) -> typing.Any:
    """Returns an option whose value is a share, from 0 to 1."""
    return typer.Option(min=0.0, max=1.0, help=description)


@_application.command()
def run(
    load: typing.Annotated[
        str,
        typer.Argument(
            help=f"a JSON file, or one of {', '.join(_PATTERN_NAMES)}"
        ),
    ],
    policy: typing.Annotated[
        list[str] | None,
        typer.Option(help="policy to simulate; may be repeated (default: all)"),
    ] = None,
    seed: typing.Annotated[int, typer.Option()] = 1,
    targets: typing.Annotated[int, typer.Option(min=1)] = 12,
    seconds: typing.Annotated[float, typer.Option(min=0.1)] = 8.0,
    utilisation: typing.Annotated[float, typer.Option(min=0.01)] = 0.5,
    zone_spill_share: typing.Annotated[
        float,
        _share("share of the objective up to which flows stay in their zone"),
    ] = 0.0,
    further_queries_share: typing.Annotated[
        float,
        _share("largest share of the flows with further load queries"),
    ] = 0.0,
    equal_priorities: typing.Annotated[
        bool,
        typer.Option(
            "--equal-priorities", help="give all kinds the same priority"
        ),
    ] = False,
    save: typing.Annotated[
        pathlib.Path | None, typer.Option(help="write the load to a file")
    ] = None,
) -> None:
    """Replays a load and prints what its callers got, by policy."""
    policies = policy or list(simulations.POLICIES)
    unknown = set(policies) - set(simulations.POLICIES)
    if unknown:
        raise typer.BadParameter(f"no policy {', '.join(sorted(unknown))}")
    workload = _load(load, scales.Scale(targets, seconds, utilisation), seed)
    if equal_priorities:
        workload = loads.equal_priorities(workload)
    if save is not None:
        loads.write(save, workload)
    options = relay_processes.Options(zone_spill_share, further_queries_share)
    table = rich.table.Table(title=workload.name)
    for column in _COLUMNS:
        table.add_column(column)
    for name in policies:
        try:
            replayed = simulations.replay(workload, name, seed, options)
        except relay_processes.UnsupportedOptionError as error:
            raise typer.BadParameter(str(error)) from error
        _add_rows(table, name, replayed)
    rich.console.Console(width=_TABLE_WIDTH).print(table)


def _add_rows(
    table: rich.table.Table, policy: str, replayed: simulations.Replay
) -> None:
    """Adds a row for each kind of request."""
    for row in summaries.summarize(replayed):
        table.add_row(
            policy,
            row.kind,
            str(row.requests),
            f"{row.within_objective:.3f}",
            f"{row.late:.3f}",
            f"{row.refused:.3f}",
            f"{row.failed:.3f}",
            f"{row.p50_ms:.1f}",
            f"{row.p90_ms:.1f}",
            f"{row.p99_ms:.1f}",
            f"{row.worth:.3f}",
            f"{replayed.elsewhere_share:.3f}",
            f"{row.max_to_mean_load:.2f}",
            summaries.plot(replayed),
        )


def _load(pattern_or_path: str, scale: scales.Scale, seed: int) -> loads.Load:
    if pattern_or_path in _PATTERN_NAMES:
        return patterns.generate(pattern_or_path, scale, seed)
    try:
        return loads.read(pathlib.Path(pattern_or_path))
    except exceptions.FindingsError as error:
        for finding in error.findings:
            print(finding, file=sys.stderr)
        raise typer.Exit(2) from error


def main() -> None:
    """Runs the command line program with the arguments of the process."""
    _application()


if __name__ == "__main__":
    main()
