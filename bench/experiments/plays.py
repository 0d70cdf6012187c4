"""Runs one day on the users' bench with a commit (a play)."""

import dataclasses
import os
import pathlib
import subprocess
import tempfile

import msgspec

__all__ = [
    "Checkout",
    "Play",
    "PlayFailedError",
    "checkout",
    "journal_changes",
    "play",
]

PLAY_TIMEOUT_S = 1_800.0
"""Time after which a command, such as a play, is aborted."""


class PlayFailedError(Exception):
    """A play or a checkout failed."""


@dataclasses.dataclass(frozen=True)
class Checkout:
    """A clone at a commit, optionally with a patch applied.

    Attributes:
        label: Name in tables.
        folder: Folder of the clone.
    """

    label: str
    folder: pathlib.Path


@dataclasses.dataclass(frozen=True)
class Play:
    """Figures of a play.

    Attributes:
        worth: Worth of the day.
        served: Share of the worth owed that was earned, before prices.
        worst_windows: The same share in the two worst windows.
        prices: Sum of all prices.
        fault: Reason for which the day counts as zero, None without one.
    """

    worth: float
    served: float
    worst_windows: float
    prices: float
    fault: str | None


class _Report(msgspec.Struct):
    G: float  # the bench's name of a day's worth
    parts: list[tuple[str, float, float]]
    prices: list[tuple[str, float, float]]
    fault: str | None = None
    broken: list[object] | dict[str, object] | None = None


def _run(folder: pathlib.Path, *command: str) -> str:
    process = subprocess.run(
        command,
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=PLAY_TIMEOUT_S,
        check=False,
    )
    if process.returncode:
        last_line = (process.stderr or process.stdout).strip().splitlines()[-1:]
        raise PlayFailedError(f"{' '.join(command[:3])}: {' '.join(last_line)}")
    return process.stdout


def checkout(
    repository: pathlib.Path,
    scratch: pathlib.Path,
    commit: str,
    patch: pathlib.Path | None = None,
) -> Checkout:
    """Returns a fresh clone of a commit, with a patch applied to it.

    Args:
        repository: Folder of the repository.
        scratch: Folder for clones; the bench rejects folders below the
            temporary folder.
        commit: Commit in any form that git resolves.
        patch: Patch file in the format of ``git diff``.

    Raises:
        PlayFailedError: There is no such commit, or the patch does not apply.
    """
    name = _run(repository, "git", "rev-parse", "--short", commit).strip()
    label = name if patch is None else patch.stem
    scratch.mkdir(parents=True, exist_ok=True)
    folder = scratch / f"{label}-{os.getpid()}"
    _run(scratch, "git", "clone", "-q", str(repository), str(folder))
    _run(folder, "git", "checkout", "-q", name)
    if patch is not None:
        _run(folder, "git", "apply", str(patch.resolve()))
    return Checkout(label, folder)


def journal_changes(clone: Checkout) -> list[str]:
    """Returns the journal files of a clone that plays have added or changed."""
    listed = _run(clone.folder, "git", "ls-files", "-o", "-m", "--", "journal")
    return listed.splitlines()


def play(
    bench: pathlib.Path,
    site: pathlib.Path,
    day: str,
    seed: int | None,
    clone: Checkout,
    why: str,
) -> Play:
    """Plays a day once and returns its figures.

    Args:
        bench: The users' bench.
        site: File that describes the deployment.
        day: Name of the day, or path of a file that defines one.
        seed: Seed of what the day leaves open; None for the day's own.
        clone: Clone that is played.
        why: Line for the journal.

    Raises:
        PlayFailedError: The bench ended with an error or without a report.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        seeded = [] if seed is None else ["--seed", str(seed)]
        _run(
            clone.folder,
            str(bench.resolve()),
            "run",
            str(site.resolve()),
            day,
            *seeded,
            "--report",
            str(report),
            "--why",
            why,
        )
        try:
            decoded = msgspec.json.decode(report.read_bytes(), type=_Report)
        except (OSError, msgspec.MsgspecError) as error:
            raise PlayFailedError(f"{day}: no report: {error}") from error
    shares = {name: share for name, _, share in decoded.parts}
    return Play(
        worth=decoded.G,
        served=shares.get("whole day", 0.0),
        worst_windows=shares.get("worst windows", 0.0),
        prices=sum(price for _, _, price in decoded.prices),
        fault=decoded.fault,
    )
