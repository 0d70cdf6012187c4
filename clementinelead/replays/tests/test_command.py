import typer.testing

from clementinelead.replays import command

_RUNNER = typer.testing.CliRunner()


def _invoke(*arguments):
    return _RUNNER.invoke(command._application, list(arguments))


def test_prints_a_row_for_each_policy(tmp_path):
    path = tmp_path / "load.json"
    options = ("--targets=3", "--seconds=0.5", f"--save={path}")
    first = _invoke("calm", *options)
    assert first.exit_code == 0
    assert "relayed" in first.output
    assert "plain-hash" in first.output
    again = _invoke(str(path), "--policy=relayed")
    assert again.exit_code == 0
    assert "plain-hash" not in again.output


def test_invalid_arguments_exit_with_status_2(tmp_path):
    assert _invoke(str(tmp_path / "none.json")).exit_code == 2
    assert _invoke("calm", "--policy=guess").exit_code == 2
