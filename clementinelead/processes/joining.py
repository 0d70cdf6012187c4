"""Join of a starting process: bootstrap from seeds and full state syncs."""

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
"""Mean pause between two queries of a seed, seconds."""

JOIN_TIMEOUT_S = 2.5
"""Time without a peer after which a process starts on its own, seconds."""

INITIAL_SYNC_INTERVAL_S = 0.2
"""Mean pause before the first sync after the join, seconds.

Many processes may start at the same time and be missing in earlier views.
"""

SYNC_INTERVAL_FACTOR = 1.2
"""Factor by which the pause between two syncs grows."""

MAX_SYNCS = 12
"""Most syncs after the join; in a large cluster views differ at any time."""

REQUIRED_EQUAL_VIEWS = 2
"""Consecutive peers with an equal view after which the syncs end."""

MIN_SYNC_PERIOD_S = 2.0
"""Time in which syncs continue although the views are equal, seconds.

Processes that start together form groups at first. The views within a group
are equal but lack the members of the other groups.
"""

INITIAL_SEED_TIMEOUT_S = 0.2
"""Timeout of the first query of a seed, seconds; it doubles with each retry.

A host that is powered off does not reply, and a connection that was started
then hangs even when the host is up again.
"""

PEER_TIMEOUT_S = 1.0
"""Timeout of a query of a peer, seconds."""

PREDECESSOR_WAIT_S = 0.1
"""Time after the join in which a predecessor may still be reported, seconds.

A process that has joined by the datagram of a peer has queries of the seeds
pending.
"""


class Joining:
    """Syncs the member table with seeds and peers after the start.

    Attributes:
        joined: Whether this process has joined: a peer is known, a seed has
            replied, or the join has timed out.
        has_full_view: Whether the complete view of a peer has been merged.
    """

    def __init__(
        self,
        gossiper: gossip.Gossiper,
        seeds: list[str],
        exchange: member_exchange.MemberExchange,
        generator: random.Random,
        routes: route_exchange.RouteExchange,
        on_changes: collections.abc.Callable[
            [list[members.Change], float], None
        ],
        announce: collections.abc.Callable[[], None],
    ):
        """Creates the join without starting it.

        Args:
            gossiper: Membership protocol and member table.
            seeds: IP addresses of the seeds; the caller may append more.
            exchange: Queries peers for their views.
            generator: Source of random peers and pauses.
            routes: Fetches routes from the peers that are queried.
            on_changes: Called with changes of members and the present time.
            announce: Announces this process to the others.
        """
        self.joined = False
        self.has_full_view = False
        self._gossiper = gossiper
        self._seeds = seeds
        self._exchange = exchange
        self._random = generator
        self._routes = routes
        self._on_changes = on_changes
        self._announce = announce
        self._joined_at = float("inf")
        self._peer_known = asyncio.Event()

    def on_peer(self) -> None:
        """Records that the member table has a living peer."""
        self._peer_known.set()

    def may_have_predecessor(self, now: float) -> bool:
        """Returns whether a predecessor may have run here until just now.

        After a loss of all processes no peer has a record of one.

        Args:
            now: Present time, seconds.

        Returns:
            True if a peer has returned a predecessor that has not ended, and
            until a full view has been merged or ``PREDECESSOR_WAIT_S`` has
            passed since the join.
        """
        if (
            not self.has_full_view
            and now < self._joined_at + PREDECESSOR_WAIT_S
        ):
            return True
        predecessor = self._gossiper.tombstones.predecessor
        return predecessor is not None and not members.has_ended(predecessor)

    async def run(self) -> None:
        """Waits for a peer, announces this process and syncs with peers.

        The record of a predecessor has a higher incarnation if the clock was
        set back since, so the view of a peer is merged before announcing.
        """
        try:
            async with asyncio.timeout(JOIN_TIMEOUT_S):
                await self._peer_known.wait()
            self._finish("joined")
        except TimeoutError:
            self._finish("no peer answers; starting alone")
        await self._sync_until_equal()

    async def _sync_until_equal(self) -> None:
        """Syncs until several consecutive peers have an equal view."""
        pause = INITIAL_SYNC_INTERVAL_S
        equal_views = 0
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
            equal_views = equal_views + 1 if view.identical else 0
            if (
                equal_views >= REQUIRED_EQUAL_VIEWS
                and time.monotonic() >= earliest_end
            ):
                return

    async def join_through(self, seed: str) -> None:
        """Syncs with a seed and retries until it succeeds or a peer is known.

        Args:
            seed: IP address of the seed.
        """
        timeout_s = INITIAL_SEED_TIMEOUT_S
        while not await self._sync_with_seed(seed, timeout_s):
            if self._peer_known.is_set() and self._gossiper.peers():
                break
            timeout_s = min(PEER_TIMEOUT_S, 2 * timeout_s)
            await asyncio.sleep(
                SEED_RETRY_INTERVAL_S * (0.5 + self._random.random())
            )
        self._peer_known.set()

    def _finish(self, event: str) -> None:
        """Marks this process as joined and announces it if necessary."""
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
        """Syncs members with a peer and fetches its routes if they are newer.

        Args:
            host: IP address of the peer.

        Returns:
            The view of the peer, None if it has not replied.
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

    async def _sync_with_seed(self, seed: str, timeout_s: float) -> bool:
        """Syncs with a seed, or with a member of the sample that it returns.

        Returns:
            Whether the complete view of a peer has been merged.
        """
        view = await self._exchange.query(
            seed, timeout_s, member_exchange.Scope.SAMPLE
        )
        if view is None:
            return False
        self._merge(view)
        if not view.complete:
            own = self._gossiper.own.address
            peer_addresses = [
                record.address
                for record in view.records
                if record.address != own and not members.has_ended(record)
            ]
            host = self._random.choice(peer_addresses or [seed])
            peer_view = await self.sync(host)
            return peer_view is not None
        await self._routes.fetch(seed)
        return True

    def _merge(self, view: member_exchange.MemberView) -> None:
        """Merges the view of a peer into the member table."""
        self._raise_incarnation(view.records)
        now = time.monotonic()
        changes = self._gossiper.merge(view.records, now)
        self.has_full_view = self.has_full_view or view.complete
        self._on_changes(changes, now)

    def _raise_incarnation(self, received: tuple[records.Record, ...]) -> None:
        """Raises the own incarnation above that of a predecessor's record."""
        for record in received:
            if record.id == self._gossiper.own.id:
                self._gossiper.raise_incarnation_above(record)
