"""Offers of an older configuration."""

import loguru
import pytest

from clementinelead.configurations import adoption
from clementinelead.processes import reversions


@pytest.fixture(name="lines")
def _lines():
    lines = []
    handler = loguru.logger.add(lines.append, format="{message}")
    yield lines
    loguru.logger.remove(handler)


def test_same_offer_is_logged_once_and_counted_each_time(lines):
    noted = reversions.ReversionLog()
    for _ in range(50):
        noted.record(adoption.OlderRevision(3, 5), "store")
    assert len(lines) == 1
    assert "offers revision=3" in lines[0]
    assert noted.counts.by_cause == {"store": 50}


def test_other_offers_and_those_after_a_newer_configuration_are_logged(lines):
    noted = reversions.ReversionLog()
    noted.record(adoption.OlderRevision(3, 5), "store")
    noted.record(adoption.OlderRevision(4, 5), "store")
    noted.on_adopted()
    noted.record(adoption.OlderRevision(4, 6), "store")
    assert len(lines) == 3
