"""Operators' command with an in-memory store."""

import asyncio
import json

import pytest
from typer import testing

from clementinelead.configurations import edits
from clementinelead.configurations.tests import fakes
from clementinelead.processes import operator
from clementinelead.processes import operator_context


@pytest.fixture(name="command")
def _command(monkeypatch):
    """Returns a function that runs the command and parses its JSON."""
    repository = fakes.repository(fakes.FakeStore())

    def run(path, work):
        return asyncio.run(
            work(operator_context.CommandContext(None, repository, None))
        )

    monkeypatch.setattr(operator_context, "run_with_context", run)

    def command(*arguments):
        result = testing.CliRunner().invoke(
            operator.application, [*arguments, "--settings", "x", "--json"]
        )
        assert result.exit_code == 0, result.output
        return json.loads(result.output)

    command.repository = repository
    return command


def test_plan_prints_changed_shares_as_json(command, tmp_path):
    sheet = tmp_path / "sheet.csv"
    sheet.write_text(
        "name,team,address,port,protocol,shares\n"
        "a,consortium,10.9.0.1,43,tcp,a=3 b=1\n"
        "b,consortium,10.9.0.2,43,tcp,\n"
    )
    for number, name in enumerate("ab"):
        author = fakes.author(f"c{number}")
        values = fakes.service(name, number + 1).model_dump()
        edit = edits.set_edit(name, values, author)
        asyncio.run(command.repository.change(edit, author, 5.0))
    plan = command("sheet", "plan", str(sheet), "--take", "a.shares=sheet")
    [share_change] = [
        change for change in plan["changes"] if change["field"] == "shares"
    ]
    assert share_change["after"] == ["a=3", "b=1"]
