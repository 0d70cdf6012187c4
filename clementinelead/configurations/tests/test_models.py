"""Drain bounds of targets, and addresses of services."""

import math

import pydantic
import pytest

from clementinelead.configurations import models
from clementinelead.configurations.tests import fakes


@pytest.mark.parametrize(
    ("bound_s", "expected"), [(7.0, 7.0), (0.0, 0.0), (None, 90.0)]
)
def test_a_drain_without_a_bound_takes_its_services_longest(bound_s, expected):
    services = [
        fakes.service("a", 1, drain_bound_s=30),
        fakes.service("b", 2, drain_bound_s=90),
    ]
    drain = models.Drain(
        target="t1", bound_s=bound_s, author=fakes.author("c1")
    )
    assert drain.effective_bound_s(services) == expected


def test_a_target_without_services_keeps_its_flows_to_their_end():
    drain = models.Drain(target="t1", bound_s=None, author=fakes.author("c1"))
    assert drain.effective_bound_s([]) == math.inf


def test_further_addresses_are_one_text_in_sheets_and_a_list_in_the_store():
    text = "198.18.0.8:80 198.18.0.9:0443"
    written = fakes.service("a", 1, more_addresses=text)
    assert written.more_addresses == ("198.18.0.8:80", "198.18.0.9:443")
    stored = models.Service.model_validate_json(written.model_dump_json())
    assert stored == written
    assert list(stored.endpoint_by_key.values()) == list(stored.endpoints)
    assert len(stored.endpoint_by_key) == 3


@pytest.mark.parametrize(
    "text",
    [
        "198.18.0.8",
        "198.18.0.8:0",
        "198.18.0.8:65536",
        "198.18.0.8:x",
        "::1:80",
    ],
)
def test_address_without_a_valid_port_is_no_address(text):
    with pytest.raises(pydantic.ValidationError):
        fakes.service("a", 1, more_addresses=text)


def test_address_of_a_service_stands_only_once():
    first = fakes.service("a", 1).endpoints[0]
    for text in (first, "198.18.0.8:80 198.18.0.8:080"):
        with pytest.raises(pydantic.ValidationError, match="is duplicated"):
            fakes.service("a", 1, more_addresses=text)
