"""Drain bounds of targets."""

import math

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
