"""Compact sets of addresses that share one table of the addresses.

A set takes one bit per address of the table. Thousands of searches that each
wait for the same thousand side processes fit into the memory of a process.
"""

import collections.abc

__all__ = ["AddressSet", "AddressTable"]

MAX_SURPLUS = 1_000
"""Most addresses that a table holds in excess of twice those in use."""

_Address = tuple[str, int]


class AddressTable:
    """Addresses by position, shared by sets.

    Attributes:
        addresses: The addresses, by position.
        position_by_address: Their positions.
    """

    def __init__(self) -> None:
        self.addresses: list[_Address] = []
        self.position_by_address: dict[_Address, int] = {}

    def position(self, address: _Address) -> int:
        """Returns the position of an address, which is added if it is new."""
        position = self.position_by_address.get(address)
        if position is None:
            position = len(self.addresses)
            self.position_by_address[address] = position
            self.addresses.append(address)
        return position

    def is_oversized(self, in_use: int) -> bool:
        """Returns whether most of the addresses are out of use.

        Args:
            in_use: Number of addresses in use.
        """
        return len(self.addresses) > 2 * in_use + MAX_SURPLUS


class AddressSet:
    """A set of addresses, as a mask of their positions in a table."""

    __slots__ = ("_mask", "_table")

    def __init__(self, table: AddressTable):
        """Creates an empty set.

        Args:
            table: Table of the addresses.
        """
        self._table = table
        self._mask = 0

    def __len__(self) -> int:
        return self._mask.bit_count()

    def __bool__(self) -> bool:
        return self._mask != 0

    def __contains__(self, address: _Address) -> bool:
        position = self._table.position_by_address.get(address)
        return position is not None and bool(self._mask >> position & 1)

    def __iter__(self) -> collections.abc.Iterator[_Address]:
        mask = self._mask
        while mask:
            lowest = mask & -mask
            yield self._table.addresses[lowest.bit_length() - 1]
            mask ^= lowest

    def __ior__(
        self, addresses: collections.abc.Iterable[_Address]
    ) -> "AddressSet":
        self.update(addresses)
        return self

    def add(self, address: _Address) -> None:
        """Adds an address."""
        self._mask |= 1 << self._table.position(address)

    def discard(self, address: _Address) -> None:
        """Removes an address if it is in the set."""
        position = self._table.position_by_address.get(address)
        if position is not None and self._mask >> position & 1:
            self._mask ^= 1 << position

    def update(self, addresses: collections.abc.Iterable[_Address]) -> None:
        """Adds addresses, in time linear in their number and the table."""
        if (
            isinstance(addresses, AddressSet)
            and addresses._table is self._table
        ):
            self._mask |= addresses._mask
            return
        positions = [self._table.position(address) for address in addresses]
        added = bytearray(len(self._table.addresses) // 8 + 1)
        for position in positions:
            added[position >> 3] |= 1 << (position & 7)
        self._mask |= int.from_bytes(added, "little")

    def clear(self) -> None:
        """Removes all addresses."""
        self._mask = 0
