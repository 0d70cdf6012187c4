"""Compressed answers of peers, damaged ones too."""

import hypothesis
from hypothesis import strategies
import pytest

from clementinelead import exceptions
from clementinelead.messages import compression


@hypothesis.given(strategies.binary(max_size=2_000))
def test_anything_comes_back(data):
    assert compression.decompress(compression.compress(data)) == data


@hypothesis.given(strategies.binary(max_size=200))
def test_garbage_is_refused(data):
    hypothesis.assume(not data.startswith(b"\x78"))
    with pytest.raises(exceptions.MalformedMessageError):
        compression.decompress(data)


def test_answer_that_is_cut_short_is_refused():
    data = compression.compress(bytes(range(256)) * 20)
    for end in range(len(data)):
        with pytest.raises(exceptions.MalformedMessageError):
            compression.decompress(data[:end])


def test_answer_that_expands_without_bound_is_refused():
    data = compression.compress(bytes(1_000_000))
    with pytest.raises(exceptions.MalformedMessageError):
        compression.decompress(data, max_bytes=999_999)
