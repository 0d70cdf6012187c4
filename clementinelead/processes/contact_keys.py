"""Contact keys: what the fleet keeps in the store about itself.

A few balancers of each availability zone hold a key with their address under
a lease. A process that knows nobody finds its peers there. The keys also say
how many side processes there are, and name some of them: who starts after a
loss of all processes can greet those, and can tell when all of them are back.
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
"""Time after which the key of a dead holder is gone, seconds."""

RENEWALS_PER_LEASE = 3

CHECK_INTERVAL_S = 1.0
"""Pause between looks at whether the key still says what is true, seconds."""

MAX_RETRY_DELAY_S = 2.0
"""Longest pause after a call that failed, seconds."""

MAX_NAMED_SIDES = 12
"""Side processes that a key names.

The keys of a fleet of fifty together name nearly all of them so.
"""

JOIN_POLL_INTERVAL_S = 0.01
"""Pause between looks whether this process has joined, seconds."""

INTRODUCTION_DELAY_S = 0.02
"""Pause between joining and greeting, seconds.

If a peer lives that knows the others, its records have come by then.
"""

ISOLATION_CHECK_INTERVAL_S = 1.5
"""Time without a peer after which the keys are read, seconds.

Seeds that live have answered by then.
"""


class Failed(msgspec.Struct, frozen=True):
    """The store could not be asked.

    Attributes:
        reason: What happened.
    """

    reason: str


class Contact(msgspec.Struct, frozen=True):
    """What a contact key says.

    Attributes:
        address: IP address of its holder.
        side_count: Side processes that there are, 0 if the holder can't tell.
        side_addresses: Control addresses of some of them.
    """

    address: str
    side_count: int
    side_addresses: tuple[tuple[str, int], ...] = ()


def choose_named_sides(
    holder: str, living: typing.Iterable[records.Record]
) -> tuple[tuple[str, int], ...]:
    """Returns the side processes that a holder's key names.

    Each holder names other ones, and the same again until one of them ends.

    Args:
        holder: Identifier of the holder.
        living: Records of processes of all roles.
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
        """Whether the store has lost the key that it had acknowledged."""

    async def hold(
        self, identifier: str, contact: Contact, lease_s: float
    ) -> Failed | None:
        """Takes, changes or renews the key of a holder.

        Returns:
            Why it could not, or None.
        """

    async def find(self) -> tuple[Contact, ...] | Failed:
        """Returns what the keys say, the one written last at the end."""


class SideCount:
    """How many side processes there are, for the key and from the keys.

    Attributes:
        recorded: How many the keys have named since this process began, 0 if
            that is not known.
        is_complete: Whether this process has known all of them since then.
    """

    def __init__(self) -> None:
        self.recorded = 0
        self.is_complete = False

    def update(self, contacts: tuple[Contact, ...]) -> None:
        """Takes over what the keys say.

        Args:
            contacts: What they say, the one written last at the end.
        """
        counts = [one.side_count for one in contacts if one.side_count]
        self.recorded = counts[-1] if counts else 0

    def count_to_publish(self, expected: int) -> int:
        """Returns what a key is to say, 0 while this process can't tell.

        A process that has just started may not know all of them yet, but
        what the keys said before it still holds.

        Args:
            expected: Side processes that are known or may come back.
        """
        if self.is_complete:
            return expected
        return max(expected, self.recorded) if self.recorded else 0


class ContactHolder:
    """Holds a balancer's contact key while it is one of the few."""

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
        self._held: Contact | None = None
        self._renew_at = 0.0
        self._named_sides: tuple[tuple[str, int], ...] = ()
        self._named_generation = -1

    async def run(self) -> None:
        """Takes, changes and renews the key until cancelled."""
        while True:
            await asyncio.sleep(
                CHECK_INTERVAL_S * (0.5 + 0.5 * self._random.random())
            )
            now = time.monotonic()
            if self._node.joining.joined and self._node.is_watcher:
                await self._hold(now)

    async def _hold(self, now: float) -> None:
        """Calls the store if the key has changed or its lease is old."""
        contact = self._contact(now)
        unchanged = contact == self._held and now < self._renew_at
        if unchanged and not self._keys.lost:
            return
        own = self._node.gossiper.own
        failed = await self._keys.hold(own.id, contact, LEASE_S)
        if failed is not None:
            self._held = None
            loguru.logger.bind(reason=failed.reason).info(
                "contact key not renewed"
            )
            return
        self._held = contact
        pause = LEASE_S / RENEWALS_PER_LEASE
        self._renew_at = now + pause * (0.5 + 0.5 * self._random.random())

    def _contact(self, now: float) -> Contact:
        """Returns what the key is to say."""
        own = self._node.gossiper.own
        expected = self._node.count_side_processes(now).expected
        sides = self._count.count_to_publish(expected)
        return Contact(own.address, sides, self._named() if sides else ())

    def _named(self) -> tuple[tuple[str, int], ...]:
        """Returns the side processes to name, chosen anew after a change."""
        table = self._node.gossiper.table
        if table.generation != self._named_generation:
            self._named_generation = table.generation
            self._named_sides = choose_named_sides(
                self._node.gossiper.own.id, table.living()
            )
        return self._named_sides


class ContactFinder:
    """Reads the contact keys after the start and while nobody is known."""

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
        """Looks for peers whenever there are none, until cancelled."""
        while True:
            await asyncio.sleep(
                ISOLATION_CHECK_INTERVAL_S * (0.5 + 0.5 * self._random.random())
            )
            if self._node.is_isolated:
                await self._find()

    async def read_side_count(self, count: SideCount, until: float) -> None:
        """Learns how many side processes there were, if it soon can.

        Args:
            count: Is told.
            until: When it is of no use any more, seconds.
        """
        while time.monotonic() < until:
            found = await self._find()
            if found is not None:
                count.update(found)
                await self._greet(found)
                return
            await asyncio.sleep(MAX_RETRY_DELAY_S * self._random.random())

    async def _greet(self, found: tuple[Contact, ...]) -> None:
        """Tells the side processes named of this process, once it has joined.

        After a loss of all, their seeds may be the last to start.
        """
        while not self._node.joining.joined:
            await asyncio.sleep(JOIN_POLL_INTERVAL_S)
        await asyncio.sleep(INTRODUCTION_DELAY_S)
        self._node.introduce_to(
            {address for one in found for address in one.side_addresses}
        )

    async def _find(self) -> tuple[Contact, ...] | None:
        """Reads the keys and takes their addresses for seeds."""
        found = await self._keys.find()
        if isinstance(found, Failed):
            loguru.logger.bind(reason=found.reason).info(
                "contact keys not read"
            )
            return None
        loguru.logger.bind(
            found=len(found), sides=[one.side_count for one in found]
        ).info("contact keys read")
        self._node.add_seeds(tuple(one.address for one in found))
        return found
