"""Tests shares in sheets, in edits, in the store and at side processes."""

import pydantic
import pytest

from clementinelead import exceptions
from clementinelead.configurations import adoption
from clementinelead.configurations import edits
from clementinelead.configurations import models
from clementinelead.configurations import shares
from clementinelead.configurations import sheets
from clementinelead.configurations.tests import fakes


def _findings(*services):
    return [
        f"{finding.place}: {finding.problem}"
        for finding in shares.findings(services, lambda name: name)
    ]


def test_shares_parse_from_a_string_and_from_stored_json():
    service = fakes.service("a", 1, shares="a=90 b=10")
    assert [str(share) for share in service.shares] == ["a=90", "b=10"]
    stored = models.Service.model_validate_json(service.model_dump_json())
    assert stored == service
    assert service.effective_shares == service.shares


def test_service_without_shares_gets_all_its_flows():
    [share] = fakes.service("a", 1).effective_shares
    assert (share.service, share.weight) == ("a", 1)


@pytest.mark.parametrize("text", ["a", "a=", "a=x", "a=-1", "a=1 a=2", "a=0"])
def test_invalid_shares_are_rejected(text):
    with pytest.raises(pydantic.ValidationError):
        fakes.service("a", 1, shares=text)


def test_share_of_missing_foreign_or_nested_service_is_a_finding():
    split = fakes.service("a", 1, shares="a=1 b=1")
    assert _findings(split, fakes.service("b", 2)) == []
    assert _findings(split) == ["a: there is no service 'b'"]
    other_team = fakes.service("b", 2, team="others")
    assert _findings(split, other_team) == ["a: 'b' belongs to team 'others'"]
    other_protocol = fakes.service("b", 2, protocol="udp")
    assert _findings(split, other_protocol) == ["a: 'b' has protocol 'udp'"]
    nested = fakes.service("b", 2, shares="b=1 a=1")
    assert "a: 'b' has shares itself" in _findings(split, nested)


def test_finding_on_a_share_names_row_and_column_of_the_sheet(tmp_path):
    path = tmp_path / "sheet.csv"
    path.write_text(
        "name,team,address,port,protocol,shares\n"
        "a,consortium,10.9.0.1,43,tcp,a=1 missing=1\n"
    )
    with pytest.raises(exceptions.FindingsError) as caught:
        sheets.read(path)
    [finding] = caught.value.findings
    assert finding.place == f"{path}:2:shares"


def _configuration(*services):
    return models.Configuration(
        entry_by_name={
            service.name: models.Entry(service=service) for service in services
        }
    )


def test_removal_of_a_service_that_gets_a_share_is_rejected():
    split = fakes.service("a", 1, shares="a=1 b=1")
    configuration = _configuration(split, fakes.service("b", 2))
    with pytest.raises(exceptions.FindingsError, match="no service 'b'"):
        edits.remove_edit("b", fakes.author("c1"))(configuration)


def test_setting_unchanged_shares_is_no_change_by_hand():
    split = fakes.service("a", 1, shares="a=1 b=1")
    configuration = _configuration(split, fakes.service("b", 2))
    values = {"shares": "a=1 b=1"}
    draft = edits.set_edit("a", values, fakes.author("c1"))(configuration)
    assert draft.entry_by_name["a"].by_hand == {}


def _patch(revision, **services):
    entries = {
        name: models.Entry(service=service) if service else None
        for name, service in services.items()
    }
    return models.Patch(
        revision=revision,
        previous="",
        entries=entries,
        drains={},
        author=fakes.author("c1"),
    )


def test_active_configuration_keeps_services_that_send_flows_to_needed_ones():
    active = adoption.ActiveConfiguration(frozenset({"b"}))
    split = fakes.service("a", 1, shares="a=1 b=1")
    active.offer_patches(
        [_patch(1, a=split, b=fakes.service("b", 2), c=fakes.service("c", 3))]
    )
    assert active.entry_by_name.keys() == {"a", "b"}
    assert active.needed_names == {"a", "b"}
    outcome = active.offer_patches([_patch(2, a=fakes.service("a", 1))])
    assert outcome.names == {"a"}
    assert active.needed_names == {"b"}
    active.offer_snapshot(3, {"a": models.Entry(service=split)}, {}, {})
    assert active.entry_by_name.keys() == {"a"}
    active.offer_patches([_patch(4, a=None)])
    assert not active.entry_by_name
