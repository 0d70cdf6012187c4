"""Items of the platform's metadata store."""

import msgspec

from clementinelead import decoding

__all__ = ["Item", "Page"]


class Item(msgspec.Struct, frozen=True):
    """A key of the store, or its deletion.

    Attributes:
        key: The key.
        revision: Revision of the store at its last change.
        value: Value in standard base64, empty if deleted.
        deleted: Whether the change was a deletion.
    """

    key: str
    revision: decoding.Count
    value: str = ""
    deleted: bool = False


class Page(msgspec.Struct, frozen=True):
    """Items of a range of keys.

    Attributes:
        items: The items.
        current_rev: Revision of the whole store.
    """

    items: list[Item]
    current_rev: decoding.Count
