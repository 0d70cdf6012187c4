"""``python -m bench.experiments.command``: compares commits, ablates them.

Both sides of a pair play the same day and seed at the same time, so that the
load of the machine, which moves single days by 0.06, is the same for both.
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
from bench.experiments import mechanisms
from bench.experiments import plays
from clementinelead.replays import patterns

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


class _Setting(typing.NamedTuple):
    bench: pathlib.Path
    site: pathlib.Path
    days: list[str]
    seeds: int
    pairs: int
    why: str


def _play_pairs(
    setting: _Setting, first: plays.Checkout, second: plays.Checkout
) -> list[tuple[plays.Play, plays.Play]]:
    """Plays all days and seeds on both sides, side by side."""
    cases = [
        (day, None if seed == 1 else seed)
        for day in setting.days
        for seed in range(1, setting.seeds + 1)
    ]
    with concurrent.futures.ThreadPoolExecutor(2 * setting.pairs) as pool:
        running = [
            tuple(
                pool.submit(
                    plays.play,
                    setting.bench,
                    setting.site,
                    day,
                    seed,
                    side,
                    f"{setting.why}: {side.label}, {day}, seed {seed}",
                )
                for side in (first, second)
            )
            for day, seed in cases
        ]
        pairs = []
        for (day, seed), (one, other) in zip(cases, running, strict=True):
            pair = (one.result(), other.result())
            pairs.append(pair)
            print(
                f"{day} seed {seed}: {first.label} {pair[0].worth:.3f}"
                f" {second.label} {pair[1].worth:.3f}"
                f" {pair[0].fault or ''} {pair[1].fault or ''}",
                file=sys.stderr,
                flush=True,
            )
    return pairs


def _rows(
    table: rich.table.Table,
    name: str,
    pairs: list[tuple[plays.Play, plays.Play]],
) -> None:
    for one in comparisons.differences(pairs):
        margin = "" if math.isnan(one.margin) else f"{one.margin:.4f}"
        table.add_row(
            name,
            one.measure,
            f"{one.first:.4f}",
            f"{one.second:.4f}",
            f"{one.mean:+.4f}",
            margin,
            str(len(pairs)),
        )


def _table(title: str) -> rich.table.Table:
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


def _keep_journal(side: plays.Checkout) -> None:
    """Copies a clone's journal entries into the repository; ends the clone."""
    for name in plays.journal_changes(side):
        target = REPOSITORY / name
        target.parent.mkdir(parents=True, exist_ok=True)
        shutil.copy2(side.folder / name, target)
    shutil.rmtree(side.folder)


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
    setting = _Setting(bench, site, day, seeds, pairs, why)
    sides = []
    try:
        for commit in (first, second):
            sides.append(plays.checkout(REPOSITORY, scratch, commit))
        table = _table(f"{site.stem}: {first} and {second}")
        _rows(table, sides[1].label, _play_pairs(setting, *sides))
        rich.console.Console(width=100).print(table)
    except plays.PlayFailedError as error:
        print(error, file=sys.stderr)
        raise typer.Exit(1) from error
    finally:
        for side in sides:
            _keep_journal(side)


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
    setting = _Setting(bench, site, day, seeds, pairs, why)
    table = _table(f"{site.stem}: {commit} without each mechanism")
    sides = []
    failed = False
    try:
        sides.append(plays.checkout(REPOSITORY, scratch, commit))
        for patch in patches:
            try:
                without = plays.checkout(REPOSITORY, scratch, commit, patch)
                sides.append(without)
                played = _play_pairs(setting, sides[0], without)
                _rows(table, patch.stem, played)
            except plays.PlayFailedError as error:
                print(f"{patch.stem}: {error}", file=sys.stderr)
                failed = True
    finally:
        rich.console.Console(width=100).print(table)
        for side in sides:
            _keep_journal(side)
    if failed:
        raise typer.Exit(1)


@_application.command()
def replays(
    seeds: typing.Annotated[int, typer.Option(min=1)] = 2,
    seconds: typing.Annotated[float, typer.Option(min=1.0)] = 8.0,
) -> None:
    """Replays load patterns with and without each mechanism; no bench."""
    scale = patterns.Scale(seconds=seconds)
    row: list[str] = []
    print("mechanism".ljust(28), *(name[-12:] for name in mechanisms.PATTERNS))
    for found in mechanisms.worth(mechanisms.PATTERNS, scale, seeds):
        row.append(
            f"{found.on - found.off:+.3f}".rjust(len(found.pattern[-12:]))
        )
        if len(row) == len(mechanisms.PATTERNS):
            print(found.mechanism.ljust(28), *row, flush=True)
            row = []


def main() -> None:
    """Runs the command."""
    _application()


if __name__ == "__main__":
    main()
