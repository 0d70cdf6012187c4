"""Locators: where the flows are that a side process does not own itself."""

import dataclasses

import xxhash

from clementinelead.flows import expiry
from clementinelead.packets import headers

__all__ = ["Locator", "LocatorTable", "key_hash"]

LOCATOR_TTL_S = 120.0


def key_hash(key: headers.FlowKey) -> int:
    """Returns the hash that a flow adds to a holder's checksum."""
    return int(xxhash.xxh3_64_intdigest(key))


@dataclasses.dataclass(frozen=True, slots=True)
class Locator:
    """Where a flow is.

    Attributes:
        owner: Identifier of the target that owns the flow.
        address: IP address and UDP port of the owner's side process.
        incarnation: Incarnation of the flow within its owner.
        service: Name of the service.
        closing: Whether the caller has ended its side.
    """

    owner: str
    address: tuple[str, int]
    incarnation: int
    service: str
    closing: bool


@dataclasses.dataclass(slots=True)
class _Lease:
    """What one owner has registered here, and until when it holds."""

    keys: set[headers.FlowKey]
    checksum: int
    expires: float


class LocatorTable:
    """Locators by flow key: soft state that the owners keep alive.

    An owner renews all its entries at once by their number and checksum, so
    the cost of renewal does not grow with the number of flows.
    """

    def __init__(self) -> None:
        self.by_key: dict[headers.FlowKey, Locator] = {}
        self._lease_by_owner: dict[str, _Lease] = {}
        self._wheel = expiry.ExpiryWheel()

    def __len__(self) -> int:
        return len(self.by_key)

    def register(
        self, key: headers.FlowKey, locator: Locator, now: float
    ) -> None:
        """Adds or replaces the locator of a flow.

        Args:
            key: Key of the flow.
            locator: Where it is.
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
        """Removes the locator of a flow, if it names the given owner."""
        locator = self.by_key.get(key)
        if locator is None or owner not in (None, locator.owner):
            return
        del self.by_key[key]
        lease = self._lease_by_owner[locator.owner]
        lease.keys.remove(key)
        lease.checksum ^= key_hash(key)

    def renew(self, owner: str, count: int, total: int, now: float) -> bool:
        """Extends an owner's entries if they are the ones it means.

        Args:
            owner: Identifier of the owner.
            count: Number of entries that it has registered here.
            total: Checksum of their keys.
            now: Present time, seconds.

        Returns:
            Whether they are; if not, the owner has to register them again.
        """
        lease = self._lease_by_owner.get(owner)
        if lease is None:
            return count == 0
        if (len(lease.keys), lease.checksum) != (count, total):
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
        """Returns all entries of an owner, for its restarted process."""
        lease = self._lease_by_owner.get(owner)
        keys = lease.keys if lease else set()
        return {key: self.by_key[key] for key in keys}

    def expire(self, now: float) -> None:
        """Removes the entries of owners that have not renewed them."""
        for name in self._wheel.due(now, self._expires):
            self.remove_owner(name.decode())

    def _expires(self, name: bytes) -> float | None:
        lease = self._lease_by_owner.get(name.decode())
        return None if lease is None else lease.expires
