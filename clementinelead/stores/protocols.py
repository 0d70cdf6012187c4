"""Interface of the key-value store that this package uses."""

import dataclasses
import typing

__all__ = ["Entry", "Store"]


@dataclasses.dataclass(frozen=True)
class Entry:
    """A value and its modification index.

    Attributes:
        value: Content of the value.
        index: Index of the latest modification of the key; 0 if the key does
            not exist.
    """

    value: bytes
    index: int


ABSENT = Entry(b"", 0)
"""Entry of a key that does not exist."""


class Store(typing.Protocol):
    """A key-value store with compare-and-swap, leases and watches.

    Each method raises ``exceptions.StoreUnavailableError`` if it receives no
    complete response. A write may have taken effect nevertheless.
    """

    async def get(self, key: str) -> Entry:
        """Returns the entry of a key, ``ABSENT`` if there is none."""

    async def watch(self, key: str, index: int, wait_s: float) -> Entry:
        """Waits until a key changes, then returns its entry.

        Args:
            key: Key to watch.
            index: Modification index that the caller has already seen.
            wait_s: Time after which the unchanged entry is returned, seconds.
        """

    async def compare_and_swap(
        self, key: str, value: bytes, index: int
    ) -> bool:
        """Writes a value if the key's modification index is still the same.

        Args:
            key: Key to write.
            value: New value.
            index: Expected modification index; 0 if the key must not exist.

        Returns:
            Whether the value was written. A client may retry a request whose
            response was lost, so False does not prove that the value was not
            written.
        """

    async def delete(self, key: str) -> None:
        """Deletes a key; does nothing if it does not exist."""

    async def lease(self, key: str, value: bytes, ttl_s: float) -> str | None:
        """Acquires a lease and writes a value that expires with it.

        Args:
            key: Key to write.
            value: Value of the key.
            ttl_s: Time to live of the lease without renewal, seconds.

        Returns:
            Identifier of the lease, None if another lease holds the key.
        """

    async def renew(self, lease: str) -> bool:
        """Renews a lease for its time to live; False if it has expired."""

    async def release(self, lease: str) -> None:
        """Ends a lease and deletes its key."""

    async def scan(self, prefix: str) -> dict[str, bytes]:
        """Returns the value by key of all keys that start with a prefix."""
