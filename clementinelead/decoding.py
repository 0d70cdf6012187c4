"""Decoding of JSON from other writers, with one error for all faults."""

import typing

import msgspec

__all__ = ["MAX_INTEGER", "Count", "decode_json"]

MAX_INTEGER = 2**63 - 1
"""Largest integer that the messages between processes can carry."""

Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
"""An integer that is not negative and fits into messages."""

_Content = typing.TypeVar("_Content")


def decode_json(
    data: bytes | msgspec.Raw, content_type: type[_Content]
) -> _Content:
    """Returns the content of a JSON document.

    Unknown fields are ignored.

    Args:
        data: The document.
        content_type: Type of the content.

    Raises:
        ValueError: The document is no valid JSON, is nested too deeply, or its
            content has another type.

    Examples:
        >>> decode_json(b"[1, 2]", list[int])
        [1, 2]
    """
    try:
        return msgspec.json.decode(data, type=content_type)
    except RecursionError as error:
        raise ValueError("the document is nested too deeply") from error
