"""What relaying balancers and side processes have in common."""

import asyncio
import collections.abc
import random
import time
import typing

import loguru
import msgspec

from clementinelead import exceptions
from clementinelead.memberships import authentication
from clementinelead.memberships import gossip
from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.memberships import repairs
from clementinelead.memberships import watchers
from clementinelead.messages import controls
from clementinelead.processes import control_channel
from clementinelead.processes import http_site
from clementinelead.processes import peer_exchange
from clementinelead.processes import relay_settings
from clementinelead.processes import tasks
from clementinelead.relays import route_patches
from clementinelead.relays import routes

__all__ = ["RelayNode", "Subscriber"]

TICK_S = 0.05
"""Interval of the gossip's timer, seconds."""

JOIN_RETRY_S = 0.15
"""Pause between two rounds of asking the seeds, seconds."""

ALONE_S = 2.5
"""Time after which a process that no seed answers starts alone, seconds."""

RESYNC_PAUSES_S = (0.3, 0.6, 1.2)
"""Pauses before views are compared again after joining, seconds.

Many processes may start at the same time, and learn of each other only now.
"""

DIRECT_MEMBERS = 200
"""Members up to which all balancers hear and look for news themselves.

Up to it a process tells all of them what is new, and each watches the routes
in the store. Above it gossip carries both, at a cost that does not grow.
"""

FIRST_TIMEOUT_S = 0.2
"""Deadline of the first question to a seed, seconds; it doubles.

A machine without power does not answer, and a connection to it hangs even
when it has power again.
"""

ORIENTED_S = 0.1
"""Time after joining in which a peer tells of a predecessor, seconds.

Who has joined by a peer's datagram has a question to the seeds under way.
"""

PEER_TIMEOUT_S = 1.0
"""Deadline of a question to a peer, seconds."""

MAX_GREETED = 64
"""Processes that a balancer greets at most; gossip reaches the others.

A datagram has some 200 bytes, so that all of them take 0.1 s on 1 Mbit/s.
"""

FOLLOW_RETRY_S = 0.3
"""Longest pause before routes are asked for again, seconds."""

_PUBLIC_KEY = b"clementinelead"
"""Key of the control datagrams where the settings bring no secret.

It tells strays of another cluster or version apart; it keeps nobody out.
"""


class Subscriber(typing.Protocol):
    """Hears of what a node learns."""

    def on_members(self, changes: list[members.Change], now: float) -> None:
        """Called when membership records have changed."""

    def on_routes(self, table: routes.RoutingTable, now: float) -> None:
        """Called when routes of a higher version are in force."""

    def on_tick(self, now: float) -> None:
        """Called every ``TICK_S``."""


class RelayNode:
    """Gossip, routes and the peers' HTTP of one process.

    Attributes:
        gossiper: Membership decisions.
        table: Routes in force.
        joined: Whether the members are known as a peer knows them.
        viewed: Whether a peer has told its whole view.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        role: records.Role,
        services: tuple[str, ...],
        subscriber: Subscriber,
    ):
        now = time.monotonic()
        own = records.Record(
            id=settings.id,
            incarnation=time.time_ns() // 1_000_000,
            sequence=0,
            role=role,
            state=records.State.COLD,
            region=settings.region,
            zone=settings.zone,
            address=settings.address,
            data_port=settings.data_port,
            control_port=settings.control_port,
            http_port=settings.http_port,
            services=services,
        )
        self.random = random.Random(f"{own.id}/{own.incarnation}")
        others = [seed for seed in settings.seeds if seed != settings.address]
        self.gossiper = gossip.Gossiper(
            own,
            tuple((seed, settings.control_port) for seed in others),
            gossip.Options(),
            self.random,
            now,
        )
        self.table = routes.EMPTY
        self._history = route_patches.RouteHistory()
        self.joined = False
        self.viewed = False
        self._joined_at = float("inf")
        self._seeds = others
        self._settings = settings
        self._subscriber = subscriber
        self._channel = control_channel.ControlChannel(
            self.gossiper,
            authentication.Sealer(settings.cluster, (_PUBLIC_KEY,)),
            self._on_control,
            lambda: self.table.version,
            lambda: None,
        )
        self._site = http_site.HttpSite()
        self._site.add("POST", peer_exchange.MEMBERS_PATH, self._serve_members)
        self._site.add("GET", peer_exchange.ROUTES_PATH, self._serve_routes)
        self._site.add("GET", peer_exchange.PATCH_PATH, self._serve_patch)
        self._repairs = repairs.RepairSchedule(self.random)
        self._tasks = tasks.Tasks()
        self._following = False
        self._started = False
        self._met = asyncio.Event()

    async def start(self, stopping: asyncio.Event) -> None:
        """Opens the sockets and begins to join.

        Args:
            stopping: Set here too when a task fails.

        Raises:
            OSError: A port is taken.
        """
        self._tasks.start(stopping)
        self._started = True
        address = self._settings.address
        await self._channel.open((address, self._settings.control_port))
        await self._site.start(address, self._settings.http_port)
        self.spawn(self._tick_forever())
        self.spawn(self._join())

    async def stop(self) -> None:
        """Stops the tasks and closes the sockets.

        Raises:
            exceptions.TaskFailedError: A task failed.
        """
        await self._tasks.stop()
        await self._site.stop()
        self._channel.close()
        self._tasks.raise_failure()

    def spawn(
        self, coroutine: collections.abc.Coroutine[None, None, None]
    ) -> None:
        """Runs a coroutine until the node stops; its failure stops it."""
        self._tasks.spawn(coroutine)

    def announce(self, **fields: object) -> None:
        """Raises the own record and pushes it to others."""
        now = time.monotonic()
        sends, change = self.gossiper.announce(now, **fields)
        for message in sends:
            self._channel.send(message)
        if len(self.gossiper.table.by_id) <= DIRECT_MEMBERS:
            for peer in self.gossiper.peers():
                if peer.role is records.Role.BALANCER:
                    self._tell(peer)
        if change is not None:
            self._subscriber.on_members([change], now)

    def _tell(self, peer: records.Record) -> None:
        """Sends the own record to a peer."""
        self._channel.send(
            gossip.Send(
                peer.control_address,
                (self.gossiper.own,),
                controls.Nothing(),
            )
        )

    def _take(self, changes: list[members.Change], now: float) -> None:
        """Hands changes on; greets balancers that have just started.

        A balancer that starts when all do learns the targets sooner so.
        """
        if not changes:
            return
        if not self.alone:
            self._met.set()
        self._subscriber.on_members(changes, now)
        few = len(self.gossiper.table.by_id) <= DIRECT_MEMBERS
        if not few or not self.gossiper.announced:
            return
        for change in changes:
            record = change.new
            if record.role is not records.Role.BALANCER:
                continue
            if record.id == self.gossiper.own.id or members.ended(record):
                continue
            old = change.old
            if old is None or old.incarnation != record.incarnation:
                self._tell(record)

    def add_seeds(self, addresses: tuple[str, ...]) -> None:
        """Adds IP addresses of processes to join through."""
        for address in addresses:
            if address in (*self._seeds, self._settings.address):
                continue
            self._seeds.append(address)
            if self._started and self.alone:
                self.spawn(self._join_through(address))
        port = self._settings.control_port
        self.gossiper.add_seeds(tuple((seed, port) for seed in self._seeds))

    def greet(self, addresses: collections.abc.Set[tuple[str, int]]) -> None:
        """Tells some processes of this one, unless they are known already.

        Args:
            addresses: Control addresses.
        """
        known = {
            record.control_address
            for record in self.gossiper.table.by_id.values()
        }
        strangers = sorted(addresses - known)
        if len(strangers) > MAX_GREETED:
            strangers = self.random.sample(strangers, MAX_GREETED)
        for address in strangers:
            self._channel.send(self.gossiper.greeting(address))
        loguru.logger.bind(named=len(addresses), greeted=len(strangers)).info(
            "side processes greeted"
        )

    @property
    def is_watcher(self) -> bool:
        """Whether this balancer holds and watches keys for its zone."""
        return watchers.is_watcher(
            self.gossiper.own,
            [
                peer
                for peer in self.gossiper.peers()
                if peer.role is records.Role.BALANCER
            ],
        )

    @property
    def watches_routes(self) -> bool:
        """Whether this balancer follows the routes in the store itself.

        The others hear of a new version from it by gossip.
        """
        few = len(self.gossiper.table.by_id) <= DIRECT_MEMBERS
        return few or self.is_watcher

    def count_sides(self, now: float) -> members.Census:
        """Returns how many side processes are known."""
        return members.census(self.gossiper.table, now)

    def succeeds(self, now: float) -> bool:
        """Tells whether another process may have run here until just now.

        After a loss of all nobody knows of one.

        Args:
            now: Present time, seconds.
        """
        if not self.viewed and now < self._joined_at + ORIENTED_S:
            return True
        predecessor = self.gossiper.predecessor
        return predecessor is not None and not members.ended(predecessor)

    @property
    def alone(self) -> bool:
        """Whether no other process is known to live."""
        return not self.gossiper.peers()

    def adopt(self, table: routes.RoutingTable, source: str) -> None:
        """Takes over routes if their version is higher.

        Args:
            table: The routes.
            source: Where they came from, for the log.
        """
        if table.version <= self.table.version:
            return
        before = self.table.version
        if before:
            self._history.note(self.table, table)
        self.table = table
        loguru.logger.bind(
            version=table.version,
            before=before,
            routes=len(table.routes),
            source=source,
        ).info("routes adopted")
        self._subscriber.on_routes(table, time.monotonic())
        if before:
            self._push_version()

    def _push_version(self) -> None:
        """Tells some peers at once that there is a higher version."""
        others = self.gossiper.peers()
        count = min(self.gossiper.options.fanout, len(others))
        for peer in self.random.sample(others, count):
            self._channel.send(
                gossip.Send(peer.control_address, (), controls.Nothing())
            )

    # Joining.

    async def _join(self) -> None:
        """Learns the members and routes from a peer, then announces itself.

        A record of a former process of this name may have a higher
        incarnation, if the clock has been set back since; so the peer's view
        comes first.
        """
        for seed in self._seeds:
            self.spawn(self._join_through(seed))
        try:
            async with asyncio.timeout(ALONE_S):
                await self._met.wait()
            self._enter("joined")
        except TimeoutError:
            self._enter("no peer answers; starting alone")
        for pause in RESYNC_PAUSES_S:
            await asyncio.sleep(pause * (0.5 + self.random.random()))
            peers = self.gossiper.peers()
            if peers:
                await self._repair(self.random.choice(peers).address)

    async def _join_through(self, seed: str) -> None:
        """Exchanges views with a seed, again and again until one has."""
        address = (seed, self._settings.http_port)
        timeout_s = FIRST_TIMEOUT_S
        while not await self._sync(address, timeout_s):
            if self._met.is_set() and not self.alone:
                break
            timeout_s = min(PEER_TIMEOUT_S, 2 * timeout_s)
            await asyncio.sleep(JOIN_RETRY_S * (0.5 + self.random.random()))
        self._met.set()

    def _enter(self, event: str) -> None:
        """Announces this process, if it has not been yet."""
        self.joined = True
        self._joined_at = time.monotonic()
        if not self.gossiper.announced:
            self.announce()
        loguru.logger.bind(
            members=len(self.gossiper.table.by_id),
            version=self.table.version,
            seeds=len(self._seeds),
        ).info(event)

    async def _sync(
        self, address: tuple[str, int], timeout_s: float = PEER_TIMEOUT_S
    ) -> bool:
        """Exchanges members with a peer and takes its routes if newer.

        Args:
            address: IP address and port of the peer.
            timeout_s: Deadline of the exchange, seconds.

        Returns:
            Whether the peer has answered.
        """
        own = [self.gossiper.own] if self.gossiper.announced else []
        found = await peer_exchange.exchange_members(address, own, timeout_s)
        if found is None:
            return False
        self._raise_incarnation(found)
        now = time.monotonic()
        changes = self.gossiper.merge(found, now)
        self.viewed = True
        self._take(changes, now)
        await self._fetch_routes(address)
        return True

    def _raise_incarnation(self, found: tuple[records.Record, ...]) -> None:
        """Outranks the record of a former process of this name."""
        for record in found:
            if record.id == self.gossiper.own.id:
                self.gossiper.outrank(record)

    async def _fetch_routes(self, address: tuple[str, int]) -> None:
        """Takes over a peer's routes if they are newer."""
        table = await peer_exchange.fetch_routes(
            address, self.table, PEER_TIMEOUT_S
        )
        if table is not None:
            self.adopt(table, address[0])

    def _serve_members(self, request: http_site.Request) -> http_site.Response:
        try:
            told = controls.decode_records(request.body)
        except exceptions.MalformedMessageError as error:
            loguru.logger.warning("members told by a peer: {}", error)
            return http_site.Response(http_site.BAD_REQUEST)
        now = time.monotonic()
        changes = self.gossiper.merge(told, now)
        self._take(changes, now)
        table = self.gossiper.table
        # Who has restarted learns of its predecessor from the last ones.
        several = [*table.by_id.values(), *table.predecessor_by_id.values()]
        body = controls.encode_records(several)
        return http_site.Response(
            http_site.OK, body, "application/octet-stream"
        )

    def _serve_routes(self, request: http_site.Request) -> http_site.Response:
        if self.table.version <= _version_in(request):
            return http_site.Response(http_site.NOT_MODIFIED)
        return http_site.Response(http_site.OK, msgspec.json.encode(self.table))

    def _serve_patch(self, request: http_site.Request) -> http_site.Response:
        since = _version_in(request)
        if self.table.version <= since:
            return http_site.Response(http_site.NOT_MODIFIED)
        patch = self._history.since(since, self.table)
        if patch is None:
            return http_site.Response(http_site.NOT_FOUND)
        return http_site.Response(http_site.OK, msgspec.json.encode(patch))

    # Gossip.

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            sends, changes = self.gossiper.on_tick(now)
            for message in sends:
                self._channel.send(message)
            self._take(changes, now)
            if self.gossiper.duplicate_identifier:
                self.gossiper.duplicate_identifier = False
                loguru.logger.error("another process has this identifier")
            self._subscriber.on_tick(now)

    def _on_control(
        self, control: controls.Control, source: tuple[str, int]
    ) -> None:
        now = time.monotonic()
        sends, changes = self.gossiper.on_control(control, source, now)
        for message in sends:
            self._channel.send(message)
        self._take(changes, now)
        if control.revision > self.table.version and not self._following:
            self._following = True
            self.spawn(self._follow(source[0], control.revision))
        differs = control.digest != self.gossiper.table.digest
        if self._repairs.due(differs, now):
            self.spawn(self._repair(source[0]))

    async def _repair(self, host: str) -> None:
        await self._sync((host, self._settings.http_port))

    async def _follow(self, host: str, version: int) -> None:
        """Fetches routes of a higher version until they are in force."""
        try:
            while self.table.version < version:
                await self._fetch_routes((host, self._settings.http_port))
                if self.table.version >= version:
                    return
                await asyncio.sleep(FOLLOW_RETRY_S * self.random.random())
                peers = self.gossiper.peers()
                if peers:
                    host = self.random.choice(peers).address
        finally:
            self._following = False


def _version_in(request: http_site.Request) -> int:
    """Returns the version that a peer has, 0 if it does not say."""
    since = request.query.get("since", "0")
    return int(since) if since.isdecimal() else 0
