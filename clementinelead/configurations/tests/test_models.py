"""Tests the drain bounds of targets and the endpoints of services."""

import math

import pydantic
import pytest

from clementinelead.configurations import models
from clementinelead.configurations.tests import fakes


@pytest.mark.parametrize(
    ("bound_s", "expected"), [(7.0, 7.0), (0.0, 0.0), (None, 90.0)]
)
def test_drain_without_bound_uses_the_longest_bound_of_its_services(
    bound_s, expected
):
    services = [
        fakes.service("a", 1, drain_bound_s=30),
        fakes.service("b", 2, drain_bound_s=90),
    ]
    drain = models.Drain(
        target="t1", bound_s=bound_s, author=fakes.author("c1")
    )
    assert drain.effective_bound_s(services) == expected


def test_drain_bound_of_target_without_services_is_unlimited():
    drain = models.Drain(target="t1", bound_s=None, author=fakes.author("c1"))
    assert drain.effective_bound_s([]) == math.inf


def test_more_addresses_parse_from_a_string_and_from_stored_json():
    text = "198.18.0.8:80 198.18.0.9:0443"
    service = fakes.service("a", 1, more_addresses=text)
    assert service.more_addresses == ("198.18.0.8:80", "198.18.0.9:443")
    stored = models.Service.model_validate_json(service.model_dump_json())
    assert stored == service
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
def test_more_addresses_without_valid_address_and_port_are_rejected(text):
    with pytest.raises(pydantic.ValidationError):
        fakes.service("a", 1, more_addresses=text)


def test_duplicate_address_of_a_service_is_rejected():
    first = fakes.service("a", 1).endpoints[0]
    for text in (first, "198.18.0.8:80 198.18.0.8:080"):
        with pytest.raises(pydantic.ValidationError, match="is duplicated"):
            fakes.service("a", 1, more_addresses=text)
