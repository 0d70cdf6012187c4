import json

import pytest
import typer.testing

from clementinelead.platform import check_config

_RUNNER = typer.testing.CliRunner()


def _route(port=80, **fields):
    route = {"name": f"r-{port}", "host": "198.18.0.1", "prefix": f"/{port}/"}
    return {**route, "service": "whois", **fields}


def _document(*entries, **fields):
    content = {"version": 7, "routes": entries, "services": [{"name": "whois"}]}
    return json.dumps({**content, **fields}).encode()


def _run(tmp_path, data, *options):
    path = tmp_path / "config.json"
    path.write_bytes(data)
    arguments = [str(path), *options]
    return _RUNNER.invoke(check_config._application, arguments)


def _findings(tmp_path, data):
    result = _run(tmp_path, data, "--format", "json")
    entries = json.loads(result.stdout)["findings"]
    places = {(entry["severity"], entry["place"]) for entry in entries}
    return result.exit_code, places


def test_document_without_findings_exits_with_0(tmp_path):
    assert _findings(tmp_path, _document(_route())) == (0, set())
    assert "1 routes, 0 errors" in _run(tmp_path, _document(_route())).output


# Guards against a report that stops at the first rejected route, or that gives
# only the name, which several routes may have.
def test_all_rejected_routes_are_reported_with_their_places(tmp_path):
    entries = (
        _route(host=5),
        _route(),
        _route(host="somewhere"),
        _route(prefix="/http/"),
        _route(prefix="/65536/"),
        {"name": "r"},
    )
    code, places = _findings(tmp_path, _document(*entries, version="x"))
    assert code == check_config.EXIT_ERRORS
    errors = {place for severity, place in places if severity == "error"}
    assert errors == {
        "version",
        "routes[0].host",
        "routes[2].host",
        "routes[3].prefix",
        "routes[4].prefix",
        "routes[5]",
    }


def test_ignored_values_are_warnings(tmp_path):
    entries = (
        _route(1, priority="high"),
        _route(2, priority=10**400),
        _route(3, target_latency_ms=-5),
        _route(4, backends=[{"service": "whois", "weight": -1}] * 2),
    )
    services = [{"name": "whois", "warmup_per_s": "12"}]
    data = _document(*entries, services=services)
    code, places = _findings(tmp_path, data)
    assert code == check_config.EXIT_ERRORS  # as all weights are 0
    assert places == {
        ("warning", "routes[0].priority"),
        ("warning", "routes[1].priority"),
        ("warning", "routes[2].target_latency_ms"),
        ("warning", "routes[3].backends"),
        ("error", "routes[3].backends"),
        ("warning", "services[0].warmup_per_s"),
    }


@pytest.mark.parametrize(
    ("data", "code", "message"),
    [
        (b"", 2, "empty"),
        (b" \n", 2, "empty"),
        (b"{", 2, "truncated"),
        (b'{"version": 1, "routes": [{"name": "\xff"}]}', 2, "UTF-8"),
        (b'{"version": 1, "x": ' + b"[" * 100_000, 2, "nested too deeply"),
        (b" " * (check_config.MAX_DOCUMENT_BYTES + 1), 2, "more than"),
        (_document(_route(timeout_ms=10**400)), 1, "out of range"),
        (_document(_route(), version=10**30), 1, "Expected `int` <="),
        (_document(_route(prefix=f"/{'9' * 4000}/")), 1, "out of range"),
        (b"[]", 1, "Expected `object`"),
    ],
)
def test_bad_input_gets_a_message_and_an_exit_code(
    data, code, message, tmp_path
):
    for options in ((), ("--format", "json")):
        result = _run(tmp_path, data, *options)
        assert result.exit_code == code
        assert message in result.output
        assert isinstance(result.exception, SystemExit)


def test_directories_and_missing_files_exit_with_2(tmp_path):
    for path in (tmp_path, tmp_path / "none.json"):
        arguments = ([str(path)], [str(path), "--in-force", str(path)])
        for argument in arguments:
            result = _RUNNER.invoke(check_config._application, argument)
            assert result.exit_code == check_config.EXIT_UNREADABLE
            assert str(path) in result.output


# Guards against names in a document that move the cursor or hide lines.
def test_control_characters_are_escaped(tmp_path):
    data = _document(_route(name="\x1b[2J\n"), _route())
    output = _run(tmp_path, data).output
    assert "\x1b" not in output
    assert "\\x1b[2J\\n" in output


def test_differences_from_the_document_in_force_are_listed(tmp_path):
    in_force = tmp_path / "in-force.json"
    in_force.write_bytes(_document(_route(1), _route(2)))
    option = ("--in-force", str(in_force))
    same = _run(tmp_path, in_force.read_bytes(), *option)
    assert (same.exit_code, "no differences" in same.output) == (0, True)
    data = _document(_route(1), _route(3), version=8)
    changed = _run(tmp_path, data, *option)
    assert changed.exit_code == 0
    assert "r-2 198.18.0.1:2: removed" in changed.output
    assert "r-3 198.18.0.1:3: new" in changed.output
    late = _run(tmp_path, _document(_route(1)), *option)
    assert late.exit_code == check_config.EXIT_ERRORS
    assert "version 7 is not above" in late.output
    in_force.write_bytes(_document(_route(host="x")))
    alone = _run(tmp_path, data, *option)
    assert alone.exit_code == 0
    assert "warning in force: routes[0].host" in alone.output
