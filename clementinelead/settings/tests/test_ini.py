"""Tests the reading of settings files and the findings on invalid ones."""

import pathlib

import pytest

from clementinelead import exceptions
from clementinelead.settings import ini
from clementinelead.settings import models

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize(
    ("name", "model"),
    [
        ("balancer", models.BalancerSettings),
        ("side", models.SideSettings),
        ("operator", models.OperatorSettings),
    ],
)
def test_examples_are_valid_and_unchanged_by_dump_and_load(
    tmp_path, name, model
):
    settings = ini.load(EXAMPLES / f"{name}.ini", model)
    path = tmp_path / "dumped.ini"
    path.write_text(ini.dump(settings), "utf-8")
    reloaded = ini.load(path, model)
    assert reloaded.model_dump(exclude={"cluster"}) == settings.model_dump(
        exclude={"cluster"}
    )


def test_dump_masks_secrets():
    settings = ini.load(EXAMPLES / "side.ini", models.SideSettings)
    assert "replace-this-secret" not in ini.dump(settings)


def test_all_findings_are_reported_together_with_their_places(tmp_path):
    path = tmp_path / "wrong.ini"
    path.write_text(
        (EXAMPLES / "side.ini")
        .read_text("utf-8")
        .replace("data_port = 7100", "data_port = 99999")
        .replace("address = 127.0.0.1", "address = here")
        .replace("slots = 2", "slot = 2")
        .replace("services = lookups", "services =")
        + "\n[colours]\nred = 1\n",
        "utf-8",
    )
    with pytest.raises(exceptions.FindingsError) as caught:
        ini.load(path, models.SideSettings)
    text = "\n".join(str(finding) for finding in caught.value.findings)
    for place in (
        "node.data_port",
        "node.address",
        "target.slot:",
        "target.services",
        "colours",
    ):
        assert f"{path}:{place}" in text
    assert "allowed: UDP port, 1 to 65535" in text


@pytest.mark.parametrize("content", [b"\xff\xfe", b"no section = 1", None])
def test_unreadable_file_is_a_single_finding(tmp_path, content):
    path = tmp_path / "broken.ini"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(exceptions.FindingsError) as caught:
        ini.load(path, models.SideSettings)
    (finding,) = caught.value.findings
    assert str(path) in str(finding)
