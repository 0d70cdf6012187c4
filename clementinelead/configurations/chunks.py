"""Content-addressed values: immutable, with their digest as key."""

import collections.abc
import hashlib

import pydantic
import xxhash

from clementinelead import exceptions
from clementinelead.configurations import models

__all__ = [
    "CHUNK_COUNT",
    "MAX_VALUE_BYTES",
    "chunk_number",
    "digest",
    "encode",
    "group_by_chunk",
]

CHUNK_COUNT = 256
MAX_VALUE_BYTES = 1_000_000
DIGEST_BYTES = 16


def chunk_number(name: str) -> int:
    """Returns the number of the chunk that stores a service, from 0.

    Args:
        name: Name of the service.
    """
    return int(xxhash.xxh3_64_intdigest(name.encode())) % CHUNK_COUNT


def digest(content: bytes) -> str:
    """Returns the BLAKE2b digest of a value's content, in hexadecimal."""
    return hashlib.blake2b(content, digest_size=DIGEST_BYTES).hexdigest()


def encode(value: pydantic.BaseModel) -> bytes:
    """Returns the content of a value, as UTF-8 encoded JSON.

    Raises:
        exceptions.FindingsError: The content exceeds ``MAX_VALUE_BYTES``.
    """
    data = value.model_dump_json().encode()
    if len(data) > MAX_VALUE_BYTES:
        finding = exceptions.Finding(
            type(value).__name__.lower(),
            f"is {len(data)} bytes",
            f"up to {MAX_VALUE_BYTES}",
        )
        raise exceptions.FindingsError((finding,))
    return data


def group_by_chunk(
    entry_by_name: collections.abc.Mapping[str, models.Entry],
) -> dict[int, dict[str, models.Entry]]:
    """Groups entries by chunk.

    Returns:
        The entries of each chunk by name, by the number of the chunk.
    """
    entries_by_number: dict[int, dict[str, models.Entry]] = {}
    for name, entry in entry_by_name.items():
        entries_by_number.setdefault(chunk_number(name), {})[name] = entry
    return entries_by_number
