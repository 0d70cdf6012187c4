"""``python -m bench.experiments.command``: paired comparisons, ablations.

Both commits of a pair play the same day and seed at the same time, so that the
load of the machine, which shifts single days by 0.06, is the same for both.
"""

import concurrent.futures
import math
import pathlib
import shutil
import sys
import typing

import rich.console
import rich.table
import typer

from bench.experiments import comparisons
from bench.experiments import decisions
from bench.experiments import mechanisms
from bench.experiments import plays
from clementinelead.replays import scales

__all__ = ["main"]

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
SCRATCH = REPOSITORY.parent / "experiments"

_application = typer.Typer(add_completion=False)

_Site = typing.Annotated[
    pathlib.Path, typer.Option(exists=True, dir_okay=False)
]
_Bench = typing.Annotated[
    pathlib.Path, typer.Option(exists=True, dir_okay=False)
]
_Days = typing.Annotated[list[str], typer.Option(help="repeat for several")]
_Seeds = typing.Annotated[
    int, typer.Option(min=1, help="seeds 1 to N; 1 is the day's own")
]
_Pairs = typing.Annotated[
    int, typer.Option(min=1, help="pairs played at a time")
]
_Why = typing.Annotated[str, typer.Option(help="line for the journal")]


class _Options(typing.NamedTuple):
    bench: pathlib.Path
    site: pathlib.Path
    days: list[str]
    seeds: int
    pairs: int
    why: str


def _play_pairs(
    options: _Options, first: plays.Checkout, second: plays.Checkout
) -> list[tuple[plays.Play, plays.Play]]:
    """Plays all days and seeds on both commits, concurrently."""
    cases = [
        (day, None if seed == 1 else seed)
        for day in options.days
        for seed in range(1, options.seeds + 1)
    ]
    with concurrent.futures.ThreadPoolExecutor(2 * options.pairs) as pool:
        running = [
            tuple(
                pool.submit(
                    plays.play,
                    options.bench,
                    options.site,
                    day,
                    seed,
                    side,
                    f"{options.why}: {side.label}, {day}, seed {seed}",
                )
                for side in (first, second)
            )
            for day, seed in cases
        ]
        pairs = []
        for (day, seed), (first_play, second_play) in zip(
            cases, running, strict=True
        ):
            pair = (first_play.result(), second_play.result())
            pairs.append(pair)
            print(
                f"{day} seed {seed}: {first.label} {pair[0].worth:.3f}"
                f" {second.label} {pair[1].worth:.3f}"
                f" {pair[0].fault or ''} {pair[1].fault or ''}",
                file=sys.stderr,
                flush=True,
            )
    return pairs


def _add_rows(
    table: rich.table.Table,
    name: str,
    pairs: list[tuple[plays.Play, plays.Play]],
) -> None:
    for difference in comparisons.differences(pairs):
        margin = (
            "" if math.isnan(difference.margin) else f"{difference.margin:.4f}"
        )
        table.add_row(
            name,
            difference.measure,
            f"{difference.first:.4f}",
            f"{difference.second:.4f}",
            f"{difference.mean:+.4f}",
            margin,
            str(len(pairs)),
        )


def _new_table(title: str) -> rich.table.Table:
    table = rich.table.Table(title=title)
    for column in (
        "second",
        "measure",
        "mean of first",
        "of second",
        "difference",
        "± (95%)",
        "pairs",
    ):
        table.add_column(column)
    return table


def _collect_journal(checkout: plays.Checkout) -> None:
    """Copies a clone's journal entries to the repository; removes the clone."""
    for name in plays.journal_changes(checkout):
        destination = REPOSITORY / name
        destination.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(checkout.folder / name, destination)
    shutil.rmtree(checkout.folder)


@_application.command()
def compare(
    first: str,
    second: str,
    site: _Site,
    bench: _Bench,
    day: _Days,
    why: _Why,
    seeds: _Seeds = 1,
    pairs: _Pairs = 1,
    scratch: pathlib.Path = SCRATCH,
) -> None:
    """Plays two commits on the same days and seeds, side by side."""
    options = _Options(bench, site, day, seeds, pairs, why)
    checkouts = []
    try:
        for commit in (first, second):
            checkouts.append(plays.checkout(REPOSITORY, scratch, commit))
        table = _new_table(f"{site.stem}: {first} and {second}")
        _add_rows(table, checkouts[1].label, _play_pairs(options, *checkouts))
        rich.console.Console(width=100).print(table)
    except plays.PlayFailedError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(1) from error
    finally:
        for checkout in checkouts:
            _collect_journal(checkout)


@_application.command()
def ablate(
    patches: typing.Annotated[
        list[pathlib.Path], typer.Argument(exists=True, dir_okay=False)
    ],
    site: _Site,
    bench: _Bench,
    day: _Days,
    why: _Why,
    commit: str = "HEAD",
    seeds: _Seeds = 1,
    pairs: _Pairs = 1,
    scratch: pathlib.Path = SCRATCH,
) -> None:
    """Plays a commit with and without each mechanism that a patch removes."""
    options = _Options(bench, site, day, seeds, pairs, why)
    table = _new_table(f"{site.stem}: {commit} without each mechanism")
    checkouts = []
    failed = False
    try:
        checkouts.append(plays.checkout(REPOSITORY, scratch, commit))
        for patch in patches:
            try:
                without = plays.checkout(REPOSITORY, scratch, commit, patch)
                checkouts.append(without)
                play_pairs = _play_pairs(options, checkouts[0], without)
                _add_rows(table, patch.stem, play_pairs)
            except plays.PlayFailedError as error:
                print(f"{patch.stem}: {error}", file=sys.stderr)
                failed = True
    finally:
        rich.console.Console(width=100).print(table)
        for checkout in checkouts:
            _collect_journal(checkout)
    if failed:
        raise typer.Exit(1)


@_application.command()
def replays(
    seeds: typing.Annotated[int, typer.Option(min=1)] = 2,
    seconds: typing.Annotated[float, typer.Option(min=1.0)] = 8.0,
) -> None:
    """Replays load patterns with and without each mechanism; no bench."""
    scale = scales.Scale(seconds=seconds)
    cells: list[str] = []
    print("mechanism".ljust(28), *(name[-12:] for name in mechanisms.PATTERNS))
    for effect in mechanisms.effects(mechanisms.PATTERNS, scale, seeds):
        cells.append(
            f"{effect.enabled - effect.disabled:+.3f}".rjust(
                len(effect.pattern[-12:])
            )
        )
        if len(cells) == len(mechanisms.PATTERNS):
            print(effect.mechanism.ljust(28), *cells, flush=True)
            cells = []


@_application.command("decisions")
def compare_decisions(
    seeds: typing.Annotated[int, typer.Option(min=2)] = 10,
    seconds: typing.Annotated[float, typer.Option(min=1.0)] = 8.0,
    processes: typing.Annotated[int, typer.Option(min=1)] = 1,
) -> None:
    """Replays load patterns with each way of each decision; no bench."""
    names = decisions.PATTERNS
    scale = scales.Scale(seconds=seconds)
    print("change of worth".ljust(32), *(name[:10].rjust(13) for name in names))
    cells: list[str] = []
    for row in decisions.compare(names, scale, seeds, processes):
        cells.append(f"{row.change:+.3f} ±{row.margin:.3f}".rjust(13))
        if len(cells) == len(names):
            title = f"{row.way.decision}: {row.way.name}"
            print(title.ljust(32), *cells, flush=True)
            cells = []


def main() -> None:
    """Runs the command."""
    _application()


if __name__ == "__main__":
    main()
