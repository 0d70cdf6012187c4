"""What relaying balancers and side processes have in common."""

import asyncio
import collections.abc
import functools
import random
import time
import typing

import loguru

from clementinelead.memberships import anti_entropy
from clementinelead.memberships import authentication
from clementinelead.memberships import gossip
from clementinelead.memberships import members
from clementinelead.memberships import options
from clementinelead.memberships import outgoing
from clementinelead.memberships import records
from clementinelead.memberships import watchers
from clementinelead.memberships import zone_dissemination
from clementinelead.messages import controls
from clementinelead.processes import control_channel
from clementinelead.processes import http_site
from clementinelead.processes import joining
from clementinelead.processes import member_exchange
from clementinelead.processes import relay_settings
from clementinelead.processes import route_exchange
from clementinelead.processes import sockets
from clementinelead.processes import tasks
from clementinelead.relays import routes

__all__ = ["RelayNode", "Subscriber"]

TICK_S = 0.05
"""Interval of the gossip's timer, seconds."""

COLLECT_S = 0.01
"""Time in which news for the balancers of the zone is collected, seconds."""

MAX_GREETED = 64
"""Processes that a balancer greets at most; gossip reaches the others.

A datagram has some 200 bytes, so that all of them take 0.1 s on 1 Mbit/s.
"""

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
        routes: Routes in force.
        joining: How this process gets to know the members.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        role: records.Role,
        services: tuple[str, ...],
        subscriber: Subscriber,
        bound: sockets.PreboundSockets,
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
            options.Options(),
            self.random,
            now,
        )
        self._news = zone_dissemination.ZoneDissemination(
            own, self.gossiper.table, self.gossiper.peers
        )
        self._news_scheduled = False
        self._seeds = others
        self._settings = settings
        self._bound = bound
        self._subscriber = subscriber
        self._channel = control_channel.ControlChannel(
            self.gossiper,
            authentication.Sealer(settings.cluster, (_PUBLIC_KEY,)),
            self._on_control,
            lambda: self.routes.table.version,
            lambda: None,
        )
        self._site = http_site.HttpSite()
        self.routes = route_exchange.RouteExchange(
            self.gossiper,
            self._site,
            settings.http_port,
            self.random,
            self._channel.send,
            subscriber.on_routes,
            settings.first_start,
        )
        exchange = member_exchange.Exchange(
            self.gossiper,
            self._site,
            settings.http_port,
            self.random,
            self._take,
        )
        self.joining = joining.Joining(
            self.gossiper,
            self._seeds,
            exchange,
            self.random,
            self.routes,
            self._take,
            self.announce,
        )
        self._repairs = anti_entropy.SyncSchedule(self.random)
        self._tasks = tasks.Tasks()
        self._started = False

    async def start(self, stopping: asyncio.Event) -> None:
        """Opens the sockets and begins to join.

        Args:
            stopping: Set here too when a task fails.

        Raises:
            OSError: A port is taken.
        """
        self._tasks.start(stopping)
        self._started = True
        settings, bound = self._settings, self._bound
        address = settings.address
        await self._channel.open(
            bound.claim_udp((address, settings.control_port))
        )
        await self._site.start(bound.claim_tcp((address, settings.http_port)))
        self.keep("gossip", self._tick_forever)
        for seed in self._seeds:
            self._join_through(seed)
        self.keep("joining", self.joining.run)

    async def stop(self) -> None:
        """Stops the tasks and closes the sockets.

        Raises:
            exceptions.TaskFailedError: A task failed.
        """
        await self._tasks.stop()
        await self._site.stop()
        self._channel.close()
        self._tasks.raise_failure()

    def keep(
        self,
        name: str,
        run: collections.abc.Callable[
            [], collections.abc.Coroutine[None, None, None]
        ],
    ) -> None:
        """Runs a task until the node stops, anew after each failure."""
        self._tasks.supervise(name, run)

    def _join_through(self, seed: str) -> None:
        self.keep(
            f"joining through {seed}",
            functools.partial(self.joining.join_through, seed),
        )

    def announce(self, **fields: object) -> None:
        """Raises the own record and pushes it to others."""
        now = time.monotonic()
        messages, change = self.gossiper.announce(now, **fields)
        self._send(messages)
        self._send(self._news.announce(self.gossiper.own))
        if change is not None:
            self._subscriber.on_members([change], now)

    def _send(self, messages: list[outgoing.Message]) -> None:
        for message in messages:
            self._channel.send(message)

    def _take(self, changes: list[members.Change], now: float) -> None:
        """Hands changes on, to the subscriber and within the zone."""
        if not changes:
            return
        if not self.alone:
            self.joining.note_peer()
        self._subscriber.on_members(changes, now)
        own = self.gossiper.own if self.gossiper.announced else None
        self._send(self._news.on_changes(changes, own, now))
        if self._news.has_pending and not self._news_scheduled:
            self._news_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(COLLECT_S, self._pass_on)

    def _pass_on(self) -> None:
        """Tells the balancers of the zone what has been collected."""
        self._news_scheduled = False
        self._send(self._news.flush(time.monotonic()))

    def add_seeds(self, addresses: tuple[str, ...]) -> None:
        """Adds IP addresses of processes to join through."""
        for address in addresses:
            if address in (*self._seeds, self._settings.address):
                continue
            self._seeds.append(address)
            if self._started and self.alone:
                self._join_through(address)
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
            self._channel.send(self.gossiper.introduction(address))
        loguru.logger.bind(named=len(addresses), greeted=len(strangers)).info(
            "side processes greeted"
        )

    @property
    def is_watcher(self) -> bool:
        """Whether this balancer holds and watches keys for its zone.

        The others hear of new routes from it by gossip.
        """
        return watchers.is_watcher(
            self.gossiper.own,
            [
                peer
                for peer in self.gossiper.peers()
                if peer.role is records.Role.BALANCER
            ],
        )

    def count_sides(self, now: float) -> members.SideProcessCounts:
        """Returns how many side processes are known."""
        return members.count_side_processes(self.gossiper.table, now)

    @property
    def alone(self) -> bool:
        """Whether no other process is known to live."""
        return not self.gossiper.peers()

    # Gossip.

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(TICK_S)
            now = time.monotonic()
            messages, changes = self.gossiper.on_tick(now)
            self._send(messages)
            self._take(changes, now)
            if self.gossiper.duplicate_identifier:
                self.gossiper.duplicate_identifier = False
                loguru.logger.error("another process has this identifier")
            self._subscriber.on_tick(now)

    def _on_control(
        self, control: controls.Control, source: tuple[str, int]
    ) -> None:
        now = time.monotonic()
        messages, changes = self.gossiper.on_control(control, source, now)
        self._send(messages)
        self._take(changes, now)
        if self.routes.begin_following(control.revision):
            self.keep(
                "following routes",
                functools.partial(
                    self.routes.follow, source[0], control.revision
                ),
            )
        differs = control.digest != self.gossiper.table.digest
        if self._repairs.is_due(differs, now):
            self.keep(
                "comparing members", functools.partial(self._repair, source[0])
            )

    async def _repair(self, host: str) -> None:
        await self.joining.sync(host)
