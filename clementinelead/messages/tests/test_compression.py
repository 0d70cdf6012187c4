"""Compression of responses, malformed ones included."""

import hypothesis
from hypothesis import strategies
import pytest

from clementinelead import exceptions
from clementinelead.messages import compression


@hypothesis.given(strategies.binary(max_size=2_000))
def test_any_data_survives_compression(data):
    assert compression.decompress(compression.compress(data)) == data


@hypothesis.given(strategies.binary(max_size=200))
def test_data_without_a_zlib_header_is_malformed(data):
    hypothesis.assume(not data.startswith(b"\x78"))
    with pytest.raises(exceptions.MalformedMessageError):
        compression.decompress(data)


def test_truncated_data_is_malformed():
    data = compression.compress(bytes(range(256)) * 20)
    for end in range(len(data)):
        with pytest.raises(exceptions.MalformedMessageError):
            compression.decompress(data[:end])


def test_data_that_expands_beyond_the_bound_is_malformed():
    data = compression.compress(bytes(1_000_000))
    with pytest.raises(exceptions.MalformedMessageError):
        compression.decompress(data, max_bytes=999_999)
