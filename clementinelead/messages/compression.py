"""Compression of responses between peers, with a bound on the expanded size."""

import zlib

from clementinelead import exceptions

__all__ = ["MAX_EXPANDED_BYTES", "compress", "decompress"]

MAX_EXPANDED_BYTES = 64 << 20
"""Largest expanded size of a peer's response."""

_COMPRESSION_LEVEL = 1


def compress(data: bytes) -> bytes:
    """Returns data compressed in the zlib format (RFC 1950).

    Args:
        data: Data to compress.
    """
    return zlib.compress(data, _COMPRESSION_LEVEL)


def decompress(data: bytes, max_bytes: int = MAX_EXPANDED_BYTES) -> bytes:
    """Returns data that ``compress`` has compressed, expanded again.

    Args:
        data: Compressed data.
        max_bytes: Largest expanded size.

    Raises:
        exceptions.MalformedMessageError: The data is malformed, truncated or
            larger than ``max_bytes`` when expanded.

    Examples:
        >>> decompress(compress(b"routes"))
        b'routes'
    """
    decompressor = zlib.decompressobj()
    try:
        expanded = decompressor.decompress(data, max_bytes)
    except zlib.error as error:
        raise exceptions.MalformedMessageError(str(error)) from error
    if not decompressor.eof:
        raise exceptions.MalformedMessageError(
            f"data is truncated or larger than {max_bytes} bytes when expanded"
        )
    return expanded
