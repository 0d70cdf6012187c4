"""Compression of what peers fetch from each other, bounded on both sides."""

import zlib

from clementinelead import exceptions

__all__ = ["MAX_EXPANDED_BYTES", "compress", "decompress"]

MAX_EXPANDED_BYTES = 64 << 20
"""Bytes that a peer's answer may have when it is expanded."""

_LEVEL = 1


def compress(data: bytes) -> bytes:
    """Returns data in the zlib format (RFC 1950)."""
    return zlib.compress(data, _LEVEL)


def decompress(data: bytes, max_bytes: int = MAX_EXPANDED_BYTES) -> bytes:
    """Returns what was compressed.

    Args:
        data: Compressed data.
        max_bytes: Bytes that it may have when it is expanded.

    Raises:
        exceptions.MalformedMessageError: It is damaged, cut short or too
            large.

    Examples:
        >>> decompress(compress(b"routes"))
        b'routes'
    """
    expander = zlib.decompressobj()
    try:
        expanded = expander.decompress(data, max_bytes)
    except zlib.error as error:
        raise exceptions.MalformedMessageError(str(error)) from error
    if not expander.eof:
        raise exceptions.MalformedMessageError("cut short or too large")
    return expanded
