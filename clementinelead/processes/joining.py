"""How a process that starts learns the members and announces itself."""

import asyncio
import collections.abc
import random
import time

import loguru

from clementinelead.memberships import gossip
from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.processes import member_exchange
from clementinelead.processes import route_exchange

__all__ = ["Joining"]

SEED_RETRY_INTERVAL_S = 0.15
"""Pause between two rounds of asking the seeds, seconds."""

JOIN_TIMEOUT_S = 2.5
"""Time after which a process that no seed answers starts alone, seconds."""

INITIAL_SYNC_INTERVAL_S = 0.2
"""Pause before views are compared again after joining, seconds.

Many processes may start at the same time, and learn of each other only now.
"""

SYNC_INTERVAL_FACTOR = 1.2
"""Factor between one such pause and the next."""

MAX_SYNCS = 12
"""Comparisons at most; in a large fleet something always changes."""

REQUIRED_EQUAL_VIEWS = 2
"""Peers in a row with the same view after which comparisons end."""

MIN_SYNC_PERIOD_S = 2.0
"""Time in which comparisons go on although views agree, seconds.

Processes that start together know each other in groups before that, and two
of a group agree on what only they know.
"""

INITIAL_SEED_TIMEOUT_S = 0.2
"""Deadline of the first question to a seed, seconds; it doubles.

A machine without power does not answer, and a connection to it hangs even
when it has power again.
"""

PEER_TIMEOUT_S = 1.0
"""Deadline of a question to a peer, seconds."""

PREDECESSOR_WAIT_S = 0.1
"""Time after joining in which a peer tells of a predecessor, seconds.

Who has joined by a peer's datagram has a question to the seeds under way.
"""


class Joining:
    """Exchanges views with peers until this process knows the members.

    Attributes:
        joined: Whether the members are known as a peer knows them.
        has_full_view: Whether a peer has told its whole view.
    """

    def __init__(
        self,
        gossiper: gossip.Gossiper,
        seeds: list[str],
        exchange: member_exchange.MemberExchange,
        generator: random.Random,
        routes: route_exchange.RouteExchange,
        take: collections.abc.Callable[[list[members.Change], float], None],
        announce: collections.abc.Callable[[], None],
    ):
        """Prepares to join.

        Args:
            gossiper: Membership decisions.
            seeds: IP addresses of processes to ask; more may be added.
            exchange: Asks peers for their views.
            generator: Draws peers and pauses.
            routes: Fetches routes from a peer that was asked.
            take: Takes over changes of members.
            announce: Tells the others of this process.
        """
        self.joined = False
        self.has_full_view = False
        self._gossiper = gossiper
        self._seeds = seeds
        self._exchange = exchange
        self._random = generator
        self._routes = routes
        self._take = take
        self._announce = announce
        self._joined_at = float("inf")
        self._met = asyncio.Event()

    def on_peer(self) -> None:
        """Notes that a living peer is known."""
        self._met.set()

    def may_have_predecessor(self, now: float) -> bool:
        """Tells whether another process may have run here until just now.

        After a loss of all nobody knows of one.

        Args:
            now: Present time, seconds.
        """
        if (
            not self.has_full_view
            and now < self._joined_at + PREDECESSOR_WAIT_S
        ):
            return True
        predecessor = self._gossiper.tombstones.predecessor
        return predecessor is not None and not members.has_ended(predecessor)

    async def run(self) -> None:
        """Waits for a peer, announces this process, and compares views.

        A record of a former process of this name may have a higher
        incarnation, if the clock has been set back since; so a peer's view
        comes first.
        """
        try:
            async with asyncio.timeout(JOIN_TIMEOUT_S):
                await self._met.wait()
            self._enter("joined")
        except TimeoutError:
            self._enter("no peer answers; starting alone")
        await self._resync()

    async def _resync(self) -> None:
        """Compares views until some peers in a row have the same one."""
        pause = INITIAL_SYNC_INTERVAL_S
        agreed = 0
        earliest_end = time.monotonic() + MIN_SYNC_PERIOD_S
        for _ in range(MAX_SYNCS):
            await asyncio.sleep(pause * (0.5 + self._random.random()))
            pause *= SYNC_INTERVAL_FACTOR
            peers = self._gossiper.peers()
            if not peers:
                continue
            view = await self.sync(self._random.choice(peers).address)
            if view is None:
                continue
            agreed = agreed + 1 if view.identical else 0
            if (
                agreed >= REQUIRED_EQUAL_VIEWS
                and time.monotonic() >= earliest_end
            ):
                return

    async def join_through(self, seed: str) -> None:
        """Exchanges views with a seed, again and again until one has.

        Args:
            seed: IP address.
        """
        timeout_s = INITIAL_SEED_TIMEOUT_S
        while not await self._ask_seed(seed, timeout_s):
            if self._met.is_set() and self._gossiper.peers():
                break
            timeout_s = min(PEER_TIMEOUT_S, 2 * timeout_s)
            await asyncio.sleep(
                SEED_RETRY_INTERVAL_S * (0.5 + self._random.random())
            )
        self._met.set()

    def _enter(self, event: str) -> None:
        """Announces this process, if it has not been yet."""
        self.joined = True
        self._joined_at = time.monotonic()
        if not self._gossiper.announced:
            self._announce()
        loguru.logger.bind(
            members=len(self._gossiper.table.by_id),
            version=self._routes.table.version,
            seeds=len(self._seeds),
        ).info(event)

    async def sync(self, host: str) -> member_exchange.MemberView | None:
        """Exchanges members with a peer and takes its routes if newer.

        Args:
            host: IP address of the peer.

        Returns:
            What the peer has told, None if it has not answered.
        """
        scope = member_exchange.Scope.WHOLE
        if self.has_full_view:
            scope = member_exchange.Scope.DIFFERENCE
        view = await self._exchange.query(host, PEER_TIMEOUT_S, scope)
        if view is None:
            return None
        self._merge(view)
        await self._routes.fetch(host)
        return view

    async def _ask_seed(self, seed: str, timeout_s: float) -> bool:
        """Learns the members through a seed, or through whom it names.

        Returns:
            Whether the whole view of a peer is known.
        """
        view = await self._exchange.query(
            seed, timeout_s, member_exchange.Scope.SAMPLE
        )
        if view is None:
            return False
        self._merge(view)
        if not view.complete:
            own = self._gossiper.own.address
            others = [
                record.address
                for record in view.records
                if record.address != own and not members.has_ended(record)
            ]
            told = await self.sync(self._random.choice(others or [seed]))
            return told is not None
        await self._routes.fetch(seed)
        return True

    def _merge(self, view: member_exchange.MemberView) -> None:
        """Takes over what a peer has told."""
        self._raise_incarnation(view.records)
        now = time.monotonic()
        changes = self._gossiper.merge(view.records, now)
        self.has_full_view = self.has_full_view or view.complete
        self._take(changes, now)

    def _raise_incarnation(self, found: tuple[records.Record, ...]) -> None:
        """Outranks the record of a former process of this name."""
        for record in found:
            if record.id == self._gossiper.own.id:
                self._gossiper.raise_incarnation_above(record)
