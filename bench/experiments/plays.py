"""Plays of a day by a commit, on the users' bench."""

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
"""Time after which a play is given up, seconds."""


class PlayFailedError(Exception):
    """A day could not be played, or a checkout not be made."""


@dataclasses.dataclass(frozen=True)
class Checkout:
    """A commit, with a patch if there is one, in a folder of its own.

    Attributes:
        label: Name for tables.
        folder: Where it is.
    """

    label: str
    folder: pathlib.Path


@dataclasses.dataclass(frozen=True)
class Play:
    """What a play of a day has given.

    Attributes:
        worth: Worth of the day.
        served: Share of the worth owed that was earned, before prices.
        worst_windows: The same of the two worst windows.
        prices: All prices together.
        fault: What counts the day as nothing, if anything.
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
    done = subprocess.run(
        command,
        cwd=folder,
        capture_output=True,
        text=True,
        timeout=PLAY_TIMEOUT_S,
        check=False,
    )
    if done.returncode:
        said = (done.stderr or done.stdout).strip().splitlines()[-1:]
        raise PlayFailedError(f"{' '.join(command[:3])}: {' '.join(said)}")
    return done.stdout


def checkout(
    repository: pathlib.Path,
    scratch: pathlib.Path,
    commit: str,
    patch: pathlib.Path | None = None,
) -> Checkout:
    """Returns a fresh clone of a commit, with a patch applied to it.

    Args:
        repository: Folder of the repository.
        scratch: Folder for clones; the bench plays none below the temporary
            folder.
        commit: Any name of the commit.
        patch: File in the form of ``git diff``.

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


def journal_changes(tried: Checkout) -> list[str]:
    """Returns the files of the journal that plays have written or changed."""
    listed = _run(tried.folder, "git", "ls-files", "-o", "-m", "--", "journal")
    return listed.splitlines()


def play(
    bench: pathlib.Path,
    site: pathlib.Path,
    day: str,
    seed: int | None,
    tried: Checkout,
    why: str,
) -> Play:
    """Plays a day once and returns its figures.

    Args:
        bench: The users' bench.
        site: File of the deployment.
        day: Name of the day, or a file of one.
        seed: Draws what the day leaves open; None for the day's own.
        tried: What is played.
        why: Line for the journal.

    Raises:
        PlayFailedError: The bench ended with an error or without a report.
    """
    with tempfile.TemporaryDirectory() as folder:
        report = pathlib.Path(folder) / "report.json"
        seeded = [] if seed is None else ["--seed", str(seed)]
        _run(
            tried.folder,
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
            found = msgspec.json.decode(report.read_bytes(), type=_Report)
        except (OSError, msgspec.MsgspecError) as error:
            raise PlayFailedError(f"{day}: no report: {error}") from error
    shares = {name: share for name, _, share in found.parts}
    return Play(
        worth=found.G,
        served=shares.get("whole day", 0.0),
        worst_windows=shares.get("worst windows", 0.0),
        prices=sum(price for _, _, price in found.prices),
        fault=found.fault,
    )
