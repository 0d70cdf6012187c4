"""Contact keys: leased store entries with addresses of processes.

A few balancers of each availability zone hold a key with their address under
a lease. An isolated process finds peers by these keys. The keys also contain
the number of side processes and the addresses of some of them. After a loss of
all processes a starting balancer introduces itself to those, and detects by the
number whether all side processes are back.
"""

import asyncio
import heapq
import random
import time
import typing

import loguru
import msgspec
import xxhash

from clementinelead.memberships import records
from clementinelead.processes import relay_node

__all__ = [
    "Contact",
    "ContactFinder",
    "ContactHolder",
    "ContactKeys",
    "Failed",
    "SideCount",
    "choose_named_sides",
]

LEASE_S = 60.0
"""Time after which the key of a dead holder expires, seconds."""

RENEWALS_PER_LEASE = 3

CHECK_INTERVAL_S = 1.0
"""Interval in which the content of the held key is checked, seconds."""

MAX_RETRY_DELAY_S = 2.0
"""Longest random delay after a failed call, seconds."""

MAX_NAMED_SIDES = 12
"""Most side processes whose addresses a key contains.

The keys of a cluster of fifty side processes together contain nearly all.
"""

JOIN_POLL_INTERVAL_S = 0.01
"""Interval in which the join of this process is polled, seconds."""

INTRODUCTION_DELAY_S = 0.02
"""Delay between the join and introductions, seconds.

By then the records of a living peer, if there is one, have arrived.
"""

ISOLATION_CHECK_INTERVAL_S = 1.5
"""Longest interval in which an isolated process reads the keys, seconds.

By then living seeds have replied.
"""


class Failed(msgspec.Struct, frozen=True):
    """A call to the store has failed.

    Attributes:
        reason: Cause of the failure, for the log.
    """

    reason: str


class Contact(msgspec.Struct, frozen=True):
    """Content of a contact key.

    Attributes:
        address: IP address of the holder.
        side_count: Number of side processes, 0 if the holder's view may be
            incomplete.
        side_addresses: Control addresses of some side processes.
    """

    address: str
    side_count: int
    side_addresses: tuple[tuple[str, int], ...] = ()


def choose_named_sides(
    holder: str, living: typing.Iterable[records.Record]
) -> tuple[tuple[str, int], ...]:
    """Selects the side processes of a holder's key by rendezvous hashing.

    Holders select different side processes. The end of a side process only
    changes the selections that contain it.

    Args:
        holder: Identifier of the holder.
        living: Records of living processes of all roles.

    Returns:
        Control addresses of up to ``MAX_NAMED_SIDES`` side processes, sorted.
    """

    def rank(record: records.Record) -> int:
        return int(xxhash.xxh3_64_intdigest(f"{holder} {record.id}".encode()))

    sides = [record for record in living if record.role is records.Role.SIDE]
    chosen = heapq.nsmallest(MAX_NAMED_SIDES, sides, key=rank)
    return tuple(sorted(record.control_address for record in chosen))


class ContactKeys(typing.Protocol):
    """The contact keys in the store."""

    @property
    def lost(self) -> bool:
        """Whether the store has lost a key that it had acknowledged."""

    async def hold(
        self, identifier: str, contact: Contact, lease_s: float
    ) -> Failed | None:
        """Writes or renews the key of a holder.

        Args:
            identifier: Identifier of the holder.
            contact: Content of the key.
            lease_s: Duration of the lease, seconds.

        Returns:
            The failure, None on success.
        """

    async def find(self) -> tuple[Contact, ...] | Failed:
        """Reads all contact keys.

        Returns:
            Their contents in the order of writing, or the failure.
        """


class SideCount:
    """Number of side processes, as read from keys and to be written to one.

    Attributes:
        recorded: Number in the keys at the start of this process, 0 if
            unknown.
        is_complete: Whether the member table has been complete once since the
            start.
    """

    def __init__(self) -> None:
        self.recorded = 0
        self.is_complete = False

    def update(self, contacts: tuple[Contact, ...]) -> None:
        """Records the number in the key that was written last.

        Args:
            contacts: Contents of the keys in the order of writing. Keys
                without a number are ignored.
        """
        counts = [
            contact.side_count for contact in contacts if contact.side_count
        ]
        self.recorded = counts[-1] if counts else 0

    def count_to_publish(self, expected: int) -> int:
        """Returns the number to write to the key, 0 if it is unknown.

        The member table of a process that has just started may be incomplete,
        so the number is not lower than the recorded one until it is complete.

        Args:
            expected: Number of side processes in the member table, including
                dead ones that may return.
        """
        if self.is_complete:
            return expected
        return max(expected, self.recorded) if self.recorded else 0


class ContactHolder:
    """Holds the contact key of a balancer while it is a watcher."""

    def __init__(
        self,
        node: relay_node.RelayNode,
        keys: ContactKeys,
        count: SideCount,
        generator: random.Random,
    ):
        self._node = node
        self._keys = keys
        self._count = count
        self._random = generator
        self._written: Contact | None = None
        self._renew_at = 0.0
        self._selected_addresses: tuple[tuple[str, int], ...] = ()
        self._selection_generation = -1

    async def run(self) -> None:
        """Writes and renews the key until cancelled."""
        while True:
            await asyncio.sleep(
                CHECK_INTERVAL_S * (0.5 + 0.5 * self._random.random())
            )
            now = time.monotonic()
            if self._node.joining.joined and self._node.is_watcher:
                await self._update_key(now)

    async def _update_key(self, now: float) -> None:
        """Calls the store if the content has changed or the lease is due."""
        contact = self._contact(now)
        unchanged = contact == self._written and now < self._renew_at
        if unchanged and not self._keys.lost:
            return
        own = self._node.gossiper.own
        failure = await self._keys.hold(own.id, contact, LEASE_S)
        if failure is not None:
            self._written = None
            loguru.logger.bind(reason=failure.reason).info(
                "contact key not renewed"
            )
            return
        self._written = contact
        interval_s = LEASE_S / RENEWALS_PER_LEASE
        self._renew_at = now + interval_s * (0.5 + 0.5 * self._random.random())

    def _contact(self, now: float) -> Contact:
        """Returns the present content of the key."""
        own = self._node.gossiper.own
        expected = self._node.count_side_processes(now).expected
        side_count = self._count.count_to_publish(expected)
        side_addresses = self._select_sides() if side_count else ()
        return Contact(own.address, side_count, side_addresses)

    def _select_sides(self) -> tuple[tuple[str, int], ...]:
        """Returns the selected side processes; caches them per table state."""
        table = self._node.gossiper.table
        if table.generation != self._selection_generation:
            self._selection_generation = table.generation
            self._selected_addresses = choose_named_sides(
                self._node.gossiper.own.id, table.living()
            )
        return self._selected_addresses


class ContactFinder:
    """Reads the contact keys after the start and while no peer is known."""

    def __init__(
        self,
        node: relay_node.RelayNode,
        keys: ContactKeys,
        generator: random.Random,
    ):
        self._node = node
        self._keys = keys
        self._random = generator

    async def run(self) -> None:
        """Adds seeds from the keys whenever no peer is known, until cancelled.

        The interval between checks is half to one ISOLATION_CHECK_INTERVAL_S.
        """
        while True:
            await asyncio.sleep(
                ISOLATION_CHECK_INTERVAL_S * (0.5 + 0.5 * self._random.random())
            )
            if self._node.is_isolated:
                await self._read()

    async def read_side_count(self, count: SideCount, until: float) -> None:
        """Reads the earlier number of side processes from the keys.

        Retries failed calls. After a successful one it introduces this process
        to the side processes in the keys, once it has joined.

        Args:
            count: Receives the number.
            until: Time after which the number is no longer useful, seconds.
        """
        while time.monotonic() < until:
            contacts = await self._read()
            if contacts is not None:
                count.update(contacts)
                await self._introduce(contacts)
                return
            await asyncio.sleep(MAX_RETRY_DELAY_S * self._random.random())

    async def _introduce(self, contacts: tuple[Contact, ...]) -> None:
        """Introduces this process to side processes, once it has joined.

        After a loss of all processes their seeds may be the last to start.
        """
        while not self._node.joining.joined:
            await asyncio.sleep(JOIN_POLL_INTERVAL_S)
        await asyncio.sleep(INTRODUCTION_DELAY_S)
        self._node.introduce_to(
            {
                address
                for contact in contacts
                for address in contact.side_addresses
            }
        )

    async def _read(self) -> tuple[Contact, ...] | None:
        """Reads the keys and adds the holders' addresses as seeds."""
        contacts = await self._keys.find()
        if isinstance(contacts, Failed):
            loguru.logger.bind(reason=contacts.reason).info(
                "contact keys not read"
            )
            return None
        loguru.logger.bind(
            found=len(contacts),
            sides=[contact.side_count for contact in contacts],
        ).info("contact keys read")
        self._node.add_seeds(tuple(contact.address for contact in contacts))
        return contacts
