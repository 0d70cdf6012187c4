import typer.testing

from clementinelead.relays import steering
from clementinelead.replays import command
from clementinelead.replays import loads

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


def test_shares_outside_0_to_1_exit_with_status_2():
    for option in ("--zone-spill-share", "--further-queries-share"):
        for value in ("-0.1", "1.1", "much"):
            assert _invoke("calm", f"{option}={value}").exit_code == 2


def test_equal_priorities_replace_those_of_the_load(tmp_path):
    path = tmp_path / "load.json"
    options = ("--policy=plain-hash", "--seconds=0.5", f"--save={path}")
    assert _invoke("orders-burst", *options).exit_code == 0
    assert len({kind.priority for kind in loads.read(path).kinds}) == 2
    equal = _invoke("orders-burst", *options, "--equal-priorities")
    assert equal.exit_code == 0
    assert len({kind.priority for kind in loads.read(path).kinds}) == 1


def test_options_reach_the_balancers_that_have_them(monkeypatch):
    seen = []

    class Steering(steering.Steering):
        def __init__(self, *arguments, zone_spill_share):
            seen.append(zone_spill_share)
            super().__init__(*arguments)

    monkeypatch.setattr(steering, "Steering", Steering)
    options = ("--policy=relayed", "--seconds=0.2", "--zone-spill-share=0.4")
    assert _invoke("calm", *options).exit_code == 0
    assert set(seen) == {0.4}
    unsupported = _invoke("calm", *options, "--further-queries-share=0.1")
    assert unsupported.exit_code == 2
    assert "further_queries_share" in unsupported.output
