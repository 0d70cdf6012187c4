import pytest

from clementinelead.platform import store_eras
from clementinelead.processes import http_client


def _answer(*values, status=200):
    headers = tuple((b"store-era", value) for value in values)
    return http_client.Response(status, b"", headers)


def test_first_era_is_no_change():
    eras = store_eras.EraWatch()
    assert not eras.outdated(_answer(b"7"))
    assert eras.era == 7
    assert not eras.counts.by_cause


def test_refusals_name_the_era_too():
    eras = store_eras.EraWatch()
    eras.outdated(_answer(b"7"))
    eras.outdated(_answer(b"8", status=503))
    assert eras.era == 8
    assert eras.counts.by_cause == {"changed": 1}


def test_answers_out_of_order():
    eras = store_eras.EraWatch()
    told = [eras.outdated(_answer(value)) for value in (b"3", b"2", b"3")]
    assert told == [False, True, False]
    assert eras.era == 3


@pytest.mark.parametrize(
    "values",
    [(b"\xd9\xa3",), (b"",), (b"-4",), (b"0x9",), (b"5", b"6"), (b"9" * 19,)],
)
def test_garbage_is_counted_and_changes_nothing(values):
    eras = store_eras.EraWatch()
    eras.outdated(_answer(b"4"))
    assert not eras.outdated(_answer(*values))
    assert eras.era == 4
    assert eras.counts.by_cause == {"unreadable": 1}


def test_field_that_is_repeated_with_one_value_is_read():
    eras = store_eras.EraWatch()
    eras.outdated(_answer(b"5", b"5"))
    assert eras.era == 5
