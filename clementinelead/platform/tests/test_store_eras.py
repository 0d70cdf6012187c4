import pytest

from clementinelead.platform import store_eras
from clementinelead.processes import http_client


def _answer(*values, status=200):
    headers = tuple((b"store-era", value) for value in values)
    return http_client.Response(status, b"", headers)


def test_first_era_does_not_count_as_a_change():
    tracker = store_eras.EraTracker()
    assert not tracker.observe(_answer(b"7"))
    assert tracker.era == 7
    assert not tracker.counts.by_cause


def test_era_is_read_from_error_answers_too():
    tracker = store_eras.EraTracker()
    tracker.observe(_answer(b"7"))
    tracker.observe(_answer(b"8", status=503))
    assert tracker.era == 8
    assert tracker.counts.by_cause == {"changed": 1}


def test_answer_of_an_older_era_is_outdated():
    tracker = store_eras.EraTracker()
    outdated = [tracker.observe(_answer(value)) for value in (b"3", b"2", b"3")]
    assert outdated == [False, True, False]
    assert tracker.era == 3


@pytest.mark.parametrize(
    "values",
    [(b"\xd9\xa3",), (b"",), (b"-4",), (b"0x9",), (b"5", b"6"), (b"9" * 19,)],
)
def test_invalid_era_is_counted_and_ignored(values):
    tracker = store_eras.EraTracker()
    tracker.observe(_answer(b"4"))
    assert not tracker.observe(_answer(*values))
    assert tracker.era == 4
    assert tracker.counts.by_cause == {"unreadable": 1}


def test_repeated_header_field_with_equal_values_is_valid():
    tracker = store_eras.EraTracker()
    tracker.observe(_answer(b"5", b"5"))
    assert tracker.era == 5
