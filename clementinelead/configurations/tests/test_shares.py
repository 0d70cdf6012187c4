"""Shares in sheets, changes by hand, the store, and at side processes."""

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
        f"{one.place}: {one.problem}"
        for one in shares.findings(services, lambda name: name)
    ]


def test_shares_are_one_text_in_sheets_and_a_list_in_the_store():
    written = fakes.service("a", 1, shares="a=90 b=10")
    assert [str(share) for share in written.shares] == ["a=90", "b=10"]
    stored = models.Service.model_validate_json(written.model_dump_json())
    assert stored == written
    assert written.effective_shares == written.shares


def test_service_without_shares_is_its_only_part():
    [part] = fakes.service("a", 1).effective_shares
    assert (part.service, part.weight) == ("a", 1)


@pytest.mark.parametrize("text", ["a", "a=", "a=x", "a=-1", "a=1 a=2", "a=0"])
def test_wrong_shares_are_not_taken(text):
    with pytest.raises(pydantic.ValidationError):
        fakes.service("a", 1, shares=text)


def test_share_goes_to_a_service_that_can_take_it():
    split = fakes.service("a", 1, shares="a=1 b=1")
    assert _findings(split, fakes.service("b", 2)) == []
    assert _findings(split) == ["a: there is no service 'b'"]
    other = fakes.service("b", 2, team="others")
    assert _findings(split, other) == ["a: 'b' belongs to team 'others'"]
    datagrams = fakes.service("b", 2, protocol="udp")
    assert _findings(split, datagrams) == ["a: 'b' has protocol 'udp'"]
    nested = fakes.service("b", 2, shares="b=1 a=1")
    assert "a: 'b' has shares itself" in _findings(split, nested)


def test_sheet_names_row_and_column_of_a_wrong_share(tmp_path):
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


def test_service_that_has_a_share_is_not_removed():
    split = fakes.service("a", 1, shares="a=1 b=1")
    whole = _configuration(split, fakes.service("b", 2))
    with pytest.raises(exceptions.FindingsError, match="no service 'b'"):
        edits.remove_edit("b", fakes.author("c1"))(whole)


def test_same_shares_again_are_no_change_by_hand():
    split = fakes.service("a", 1, shares="a=1 b=1")
    whole = _configuration(split, fakes.service("b", 2))
    values = {"shares": "a=1 b=1"}
    draft = edits.set_edit("a", values, fakes.author("c1"))(whole)
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


def test_side_process_follows_services_that_share_flows_with_its_own():
    adopted = adoption.ActiveConfiguration(frozenset({"b"}))
    split = fakes.service("a", 1, shares="a=1 b=1")
    adopted.offer_patches(
        [_patch(1, a=split, b=fakes.service("b", 2), c=fakes.service("c", 3))]
    )
    assert adopted.entry_by_name.keys() == {"a", "b"}
    assert adopted.needed_names == {"a", "b"}
    outcome = adopted.offer_patches([_patch(2, a=fakes.service("a", 1))])
    assert outcome.names == {"a"}
    assert adopted.needed_names == {"b"}
    adopted.offer_snapshot(3, {"a": models.Entry(service=split)}, {})
    assert adopted.entry_by_name.keys() == {"a"}
    adopted.offer_patches([_patch(4, a=None)])
    assert not adopted.entry_by_name
