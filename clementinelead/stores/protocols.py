"""What this system needs of the platform's store."""

import dataclasses
import typing

__all__ = ["Entry", "Store"]


@dataclasses.dataclass(frozen=True)
class Entry:
    """A value and the index of its last modification.

    Attributes:
        value: The value.
        index: Modification index; 0 means that the key does not exist.
    """

    value: bytes
    index: int


ABSENT = Entry(b"", 0)


class Store(typing.Protocol):
    """A key-value store with compare-and-swap, leases and watches.

    Each method raises ``exceptions.StoreUnavailableError`` when no answer
    came; a write may then have taken effect nevertheless.
    """

    async def get(self, key: str) -> Entry:
        """Returns the entry of a key."""

    async def watch(self, key: str, index: int, wait_s: float) -> Entry:
        """Returns the entry once its index differs, or after the wait."""

    async def compare_and_swap(
        self, key: str, value: bytes, index: int
    ) -> bool:
        """Writes a value if the key's index is still the given one."""

    async def delete(self, key: str) -> None:
        """Removes a key."""

    async def lease(self, key: str, value: bytes, ttl_s: float) -> str | None:
        """Writes a value that lapses; returns the lease, None if taken."""

    async def renew(self, lease: str) -> bool:
        """Extends a lease; returns whether it still held."""

    async def release(self, lease: str) -> None:
        """Ends a lease and removes what it holds."""

    async def scan(self, prefix: str) -> dict[str, bytes]:
        """Returns all values under a prefix."""
