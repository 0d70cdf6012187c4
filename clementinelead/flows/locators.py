"""Locators: locations of flows that other side processes own."""

import dataclasses

import xxhash

from clementinelead.flows import expiry
from clementinelead.packets import headers

__all__ = ["Locator", "LocatorTable", "key_hash"]

LOCATOR_TTL_S = 120.0
"""Time after which the locators of an owner expire without renewal, seconds."""


def key_hash(key: headers.FlowKey) -> int:
    """Returns a 64-bit hash of a flow key.

    The checksum of a set of registrations is the XOR of these hashes.
    """
    return int(xxhash.xxh3_64_intdigest(key))


@dataclasses.dataclass(frozen=True, slots=True)
class Locator:
    """Location of a flow that another side process owns.

    Attributes:
        owner: Identifier of the target that owns the flow.
        address: IP address and UDP port of the owner's side process.
        incarnation: Incarnation of the flow within its owner.
        service: Name of the service.
        closing: Whether the caller has sent FIN.
    """

    owner: str
    address: tuple[str, int]
    incarnation: int
    service: str
    closing: bool


@dataclasses.dataclass(slots=True)
class _Lease:
    """Lease on all entries that one owner has registered here."""

    keys: set[headers.FlowKey]
    checksum: int
    expires: float


class LocatorTable:
    """Locators by flow key: soft state that the owners renew.

    An owner renews all its entries in one message with their number and
    checksum, so the cost of a renewal does not grow with the number of flows.

    Attributes:
        by_key: Locators by flow key.
    """

    def __init__(self) -> None:
        """Creates an empty table."""
        self.by_key: dict[headers.FlowKey, Locator] = {}
        self._lease_by_owner: dict[str, _Lease] = {}
        self._wheel = expiry.ExpiryWheel()

    def __len__(self) -> int:
        return len(self.by_key)

    def register(
        self, key: headers.FlowKey, locator: Locator, now: float
    ) -> None:
        """Adds or replaces the locator of a flow and extends its owner's lease.

        Args:
            key: Key of the flow.
            locator: Its location.
            now: Present time, seconds.
        """
        self.release(key)
        lease = self._lease_by_owner.get(locator.owner)
        if lease is None:
            lease = _Lease(set(), 0, now + LOCATOR_TTL_S)
            self._lease_by_owner[locator.owner] = lease
            self._wheel.add(locator.owner.encode(), lease.expires)
        lease.keys.add(key)
        lease.checksum ^= key_hash(key)
        lease.expires = now + LOCATOR_TTL_S
        self.by_key[key] = locator

    def release(self, key: headers.FlowKey, owner: str | None = None) -> None:
        """Removes the locator of a flow, if there is one.

        Args:
            key: Key of the flow.
            owner: Identifier of the owner whose locator is removed; None for
                any owner.
        """
        locator = self.by_key.get(key)
        if locator is None or owner not in (None, locator.owner):
            return
        del self.by_key[key]
        lease = self._lease_by_owner[locator.owner]
        lease.keys.remove(key)
        lease.checksum ^= key_hash(key)

    def renew(self, owner: str, count: int, checksum: int, now: float) -> bool:
        """Extends an owner's lease if its entries here are complete.

        Args:
            owner: Identifier of the owner.
            count: Number of entries that it has registered here.
            checksum: XOR of ``key_hash`` over their keys.
            now: Present time, seconds.

        Returns:
            Whether count and checksum match the entries here. If not, the
            lease is not extended and the owner has to register its flows
            again.
        """
        lease = self._lease_by_owner.get(owner)
        if lease is None:
            return count == 0
        if (len(lease.keys), lease.checksum) != (count, checksum):
            return False
        lease.expires = now + LOCATOR_TTL_S
        return True

    def remove_owner(self, owner: str) -> None:
        """Removes all entries of an owner."""
        lease = self._lease_by_owner.pop(owner, None)
        if lease is None:
            return
        for key in lease.keys:
            del self.by_key[key]

    def entries_of_owner(self, owner: str) -> dict[headers.FlowKey, Locator]:
        """Returns all entries of an owner by flow key.

        A restarted side process requests them to restore its flows.
        """
        lease = self._lease_by_owner.get(owner)
        keys = lease.keys if lease else set()
        return {key: self.by_key[key] for key in keys}

    def expire(self, now: float) -> None:
        """Removes the entries of owners whose lease has expired.

        Args:
            now: Present time, seconds.
        """
        for owner in self._wheel.due(now, self._expires):
            self.remove_owner(owner.decode())

    def _expires(self, owner: bytes) -> float | None:
        lease = self._lease_by_owner.get(owner.decode())
        return None if lease is None else lease.expires
