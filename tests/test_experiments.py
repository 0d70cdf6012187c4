"""The experiment tool, with a stub in place of the users' bench."""

import json
import math
import pathlib
import subprocess

import pytest
import typer.testing

from bench.experiments import command
from bench.experiments import comparisons
from bench.experiments import plays

BENCH = """#!/usr/bin/env python3
import json, pathlib, sys
words = sys.argv[1:]
if words[2] == "broken":
    sys.exit("no such day")
worth = float(pathlib.Path("worth").read_text())
if "--seed" in words:
    worth += 0.01 * int(words[words.index("--seed") + 1])
report = {"G": worth, "parts": [["whole day", 0.75, 0.9]],
          "prices": [["memory", 1.0, 0.01], ["probes", 1.0, 0.02]]}
pathlib.Path(words[words.index("--report") + 1]).write_text(json.dumps(report))
name = f"journal/{words[2]}-{worth}.json"
pathlib.Path(name).write_text("{}")
"""


def _git(folder, *words):
    identity = ["-c", "user.name=t", "-c", "user.email=t@example.org"]
    subprocess.run(
        ["git", *identity, *words], cwd=folder, check=True, capture_output=True
    )


@pytest.fixture(name="repository")
def _repository(tmp_path, monkeypatch):
    folder = tmp_path / "repository"
    (folder / "journal").mkdir(parents=True)
    (folder / "journal" / "kept.json").write_text("{}")
    _git(folder, "init", "-q")
    for worth in ("0.5", "0.6"):
        (folder / "worth").write_text(worth)
        _git(folder, "add", "-A")
        _git(folder, "commit", "-q", "-m", worth)
    bench = tmp_path / "bench"
    bench.write_text(BENCH)
    bench.chmod(0o755)
    (tmp_path / "site.toml").write_text("")
    monkeypatch.setattr(command, "REPOSITORY", folder)
    return folder


def _invoke(repository, *words, day="quiet"):
    root = repository.parent
    options = {
        "--bench": root / "bench",
        "--site": root / "site.toml",
        "--scratch": root / "scratch",
        "--day": day,
        "--why": "test",
    }
    named = [str(part) for pair in options.items() for part in pair]
    return typer.testing.CliRunner().invoke(
        command._application, [*map(str, words), *named]
    )


def test_pairs_are_compared_and_the_journal_is_kept(repository):
    result = _invoke(repository, "compare", "HEAD~1", "HEAD", "--seeds", "3")
    assert result.exit_code == 0, result.output
    assert "+0.1000" in result.output
    entries = {path.name for path in (repository / "journal").iterdir()}
    assert {"kept.json", "quiet-0.5.json", "quiet-0.62.json"} <= entries
    assert not list((repository.parent / "scratch").iterdir())


def test_mechanism_is_removed_by_its_patch(repository):
    patch = repository.parent / "worthless.patch"
    patch.write_text(
        "--- a/worth\n+++ b/worth\n@@ -1 +1 @@\n"
        "-0.6\n\\ No newline at end of file\n"
        "+0.4\n\\ No newline at end of file\n"
    )
    result = _invoke(repository, "ablate", patch)
    assert result.exit_code == 0, result.output
    assert "worthless" in result.output
    assert "-0.2000" in result.output


def test_patch_that_does_not_apply_is_reported(repository):
    wrong = repository.parent / "wrong.patch"
    wrong.write_text("--- a/none\n+++ b/none\n@@ -1 +1 @@\n-a\n+b\n")
    result = _invoke(repository, "ablate", wrong)
    assert result.exit_code == 1
    assert "wrong:" in result.output


@pytest.mark.parametrize(
    ("words", "day"),
    [
        (("compare", "HEAD", "nowhere"), "quiet"),
        (("compare", "HEAD", "HEAD"), "broken"),
    ],
)
def test_missing_commit_or_day_is_reported(repository, words, day):
    result = _invoke(repository, *words, day=day)
    assert result.exit_code == 1
    assert not isinstance(result.exception, plays.PlayFailedError)


PATCHES = sorted(
    (pathlib.Path(command.__file__).parent / "patches").glob("*.patch")
)


@pytest.mark.parametrize("patch", PATCHES, ids=lambda patch: patch.stem)
def test_patch_of_a_mechanism_applies_to_the_code(patch):
    root = pathlib.Path(command.__file__).parents[2]
    subprocess.run(
        ["git", "apply", "--check", patch.resolve()], cwd=root, check=True
    )


def _play(worth):
    return plays.Play(worth, worth, worth, 0.0, None)


def test_confidence_interval_of_differences():
    pairs = [(_play(0.5), _play(0.5 + apart)) for apart in (0.1, 0.2, 0.3)]
    worth = comparisons.differences(pairs)[0]
    assert worth.mean == pytest.approx(0.2)
    assert worth.margin == pytest.approx(4.303 * 0.1 / math.sqrt(3), rel=1e-3)


def test_single_pair_has_no_confidence_interval():
    [worth, *_] = comparisons.differences([(_play(0.5), _play(0.6))])
    assert math.isnan(worth.margin)


def test_unreadable_report_raises(repository):
    bench = repository.parent / "bench"
    bench.write_text(
        BENCH.replace("json.dumps(report)", "json.dumps([report])")
    )
    clone = plays.Checkout("x", repository)
    with pytest.raises(plays.PlayFailedError, match="no report"):
        plays.play(
            bench, pathlib.Path(json.__file__), "quiet", None, clone, "test"
        )
