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
from clementinelead.replays import scales
from clementinelead.replays import simulations
from clementinelead.replays import summaries
from clementinelead.replays import tail_patterns

__all__ = ["main"]

_PATTERN_NAMES = [
    pattern.__name__.replace("_", "-") for pattern in patterns.PATTERNS
]

_application = typer.Typer(add_completion=False)


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
    extra_openings: typing.Annotated[
        float, typer.Option(min=0.0, max=1.0, help="share, 0 for none")
    ] = 0.0,
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
    workload = tail_patterns.with_extra(
        workload, workload.balancers.extra_openings, extra_openings
    )
    if save is not None:
        loads.write(save, workload)
    table = rich.table.Table(title=workload.name)
    for column in (
        "policy",
        "kind",
        "asked",
        "in time",
        "late",
        "refused",
        "failed",
        "p50 ms",
        "p99 ms",
        "busiest/mean",
        f"in time, each {summaries.PLOT_STEP_S} s",
    ):
        table.add_column(column)
    for name in policies:
        replayed = simulations.replay(workload, name, seed)
        for row in summaries.summarize(replayed):
            table.add_row(
                name,
                row.kind,
                str(row.requests),
                f"{row.within_objective:.3f}",
                f"{row.late:.3f}",
                f"{row.refused:.3f}",
                f"{row.failed:.3f}",
                f"{row.p50_ms:.1f}",
                f"{row.p99_ms:.1f}",
                f"{row.max_to_mean_load:.2f}",
                summaries.plot(replayed),
            )
    rich.console.Console(width=132).print(table)


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
