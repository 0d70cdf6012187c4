"""Log and counts of offers of an older configuration."""

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


def test_repeated_offer_is_logged_once_and_counted_each_time(lines):
    reversion_log = reversions.ReversionLog()
    for _ in range(50):
        reversion_log.record(adoption.OlderRevision(3, 5), "store")
    assert len(lines) == 1
    assert "offers revision=3" in lines[0]
    assert reversion_log.counts.by_cause == {"store": 50}


def test_different_offers_and_offers_after_an_adoption_are_logged(lines):
    reversion_log = reversions.ReversionLog()
    reversion_log.record(adoption.OlderRevision(3, 5), "store")
    reversion_log.record(adoption.OlderRevision(4, 5), "store")
    reversion_log.on_adopted()
    reversion_log.record(adoption.OlderRevision(4, 6), "store")
    assert len(lines) == 3
