"""Membership, routes and peer HTTP of relaying balancers and side processes."""

import asyncio
import collections.abc
import functools
import random
import time
import typing

import loguru

from clementinelead.memberships import anti_entropy
from clementinelead.memberships import authentication
from clementinelead.memberships import capacities
from clementinelead.memberships import gossip
from clementinelead.memberships import members
from clementinelead.memberships import options
from clementinelead.memberships import outgoing
from clementinelead.memberships import records
from clementinelead.memberships import watchers
from clementinelead.memberships import zone_dissemination
from clementinelead.messages import controls
from clementinelead.processes import control_channel
from clementinelead.processes import evacuation_exchange
from clementinelead.processes import http_site
from clementinelead.processes import joining
from clementinelead.processes import member_exchange
from clementinelead.processes import relay_settings
from clementinelead.processes import route_exchange
from clementinelead.processes import sockets
from clementinelead.processes import tasks
from clementinelead.relays import routes

__all__ = ["RelayNode", "Subscriber"]

TICK_INTERVAL_S = 0.05
"""Interval of the gossip timer, seconds."""

DISSEMINATION_DELAY_S = 0.01
"""Time in which changes for the balancers of the zone are batched, seconds."""

PEER_SILENCE_S = 1.0
"""Time without any control message after which peers are out of reach, seconds.

A process pings a peer every 0.3 s and is pinged as often.
"""

MAX_INTRODUCTIONS = 64
"""Most processes to which a balancer introduces itself; gossip reaches others.

A datagram has some 200 bytes, so this many take 0.1 s at 1 Mbit/s.
"""

_PUBLIC_KEY = b"clementinelead"
"""Key of the control datagrams, as the settings contain no secret.

It filters out datagrams of another cluster or version and does not
authenticate senders.
"""


class Subscriber(typing.Protocol):
    """Receives the events of a node."""

    def on_members(self, changes: list[members.Change], now: float) -> None:
        """Called when membership records have changed.

        Args:
            changes: The changes.
            now: Present time, seconds.
        """

    def on_routes(self, table: routes.RoutingTable, now: float) -> None:
        """Called when routes of a higher version are in force.

        Args:
            table: The routes.
            now: Present time, seconds.
        """

    def on_evacuations(self, zones: frozenset[str], now: float) -> None:
        """Called when the evacuated zones have changed.

        Args:
            zones: Names of the evacuated zones.
            now: Present time, seconds.
        """

    def on_tick(self, now: float) -> None:
        """Called every ``TICK_INTERVAL_S``.

        Args:
            now: Present time, seconds.
        """


class RelayNode:
    """Runs membership, route exchange and the peer HTTP server of a process.

    Attributes:
        gossiper: Membership protocol and member table.
        routes: Routes in force and their exchange with peers.
        evacuations: Evacuated zones and their exchange with peers.
        joining: Join and full state syncs with peers.
        random: Generator of the delays and random selections of this process.
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
            weight=capacities.weight(role, settings.link_mbps),
        )
        self.random = random.Random(f"{own.id}/{own.incarnation}")
        seeds = [seed for seed in settings.seeds if seed != settings.address]
        self.gossiper = gossip.Gossiper(
            own,
            tuple((seed, settings.control_port) for seed in seeds),
            options.Options(),
            self.random,
            now,
        )
        self._dissemination = zone_dissemination.ZoneDissemination(
            own, self.gossiper.table, self.gossiper.peers
        )
        self._flush_scheduled = False
        self._zone_changed = asyncio.Event()
        self._last_control_at = now
        self._seeds = seeds
        self._settings = settings
        self._bound = bound
        self._subscriber = subscriber
        self._channel = control_channel.ControlChannel(
            self.gossiper,
            authentication.Sealer(settings.cluster, (_PUBLIC_KEY,)),
            self._on_control,
            lambda: self.routes.table.version,
            lambda: None,
            lambda: self.evacuations.state,
        )
        self.evacuations = evacuation_exchange.EvacuationExchange(
            self.gossiper,
            self.random,
            self._channel.send,
            subscriber.on_evacuations,
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
        exchange = member_exchange.MemberExchange(
            self.gossiper,
            self._site,
            settings.http_port,
            self.random,
            self._on_changes,
        )
        self.joining = joining.Joining(
            self.gossiper,
            self._seeds,
            exchange,
            self.random,
            self.routes,
            self._on_changes,
            self.announce,
        )
        self._sync_schedule = anti_entropy.SyncSchedule(self.random)
        self._tasks = tasks.Tasks()
        self._is_started = False

    async def start(self, stopping: asyncio.Event) -> None:
        """Opens the sockets and starts to join through the seeds.

        Args:
            stopping: Event that ends the process; set here if a task fails.

        Raises:
            OSError: A port is in use.
        """
        self._tasks.start(stopping)
        self._is_started = True
        settings, bound = self._settings, self._bound
        address = settings.address
        await self._channel.open(
            bound.claim_udp((address, settings.control_port))
        )
        await self._site.start(bound.claim_tcp((address, settings.http_port)))
        self.supervise("gossip", self._run_timer)
        for seed in self._seeds:
            self._start_join(seed)
        self.supervise("joining", self.joining.run)

    async def stop(self) -> None:
        """Stops the tasks and closes the sockets.

        Raises:
            exceptions.TaskFailedError: A task failed.
        """
        await self._tasks.stop()
        await self._site.stop()
        self._channel.close()
        self._tasks.raise_failure()

    def supervise(
        self,
        name: str,
        run: collections.abc.Callable[
            [], collections.abc.Coroutine[None, None, None]
        ],
    ) -> None:
        """Runs a task until the node stops and restarts it after a failure.

        Args:
            name: Name of the task, for the log.
            run: Creates the coroutine of the task.
        """
        self._tasks.supervise(name, run)

    def _start_join(self, seed: str) -> None:
        self.supervise(
            f"joining through {seed}",
            functools.partial(self.joining.join_through, seed),
        )

    def announce(self, **fields: object) -> None:
        """Publishes a new version of the own record to other processes.

        Args:
            **fields: Fields of the record that change.
        """
        now = time.monotonic()
        messages, change = self.gossiper.announce(now, **fields)
        self._send(messages)
        self._send(self._dissemination.announce(self.gossiper.own))
        if change is not None:
            self._subscriber.on_members([change], now)

    def _send(self, messages: list[outgoing.Message]) -> None:
        for message in messages:
            self._channel.send(message)

    def _on_changes(self, changes: list[members.Change], now: float) -> None:
        """Forwards changes to the subscriber and the balancers of the zone."""
        if not changes:
            return
        if not self.is_isolated:
            self.joining.on_peer()
        self._subscriber.on_members(changes, now)
        if any(self._may_change_watchers(change) for change in changes):
            self._zone_changed.set()
        own = self.gossiper.own if self.gossiper.announced else None
        self._send(self._dissemination.on_changes(changes, own, now))
        if self._dissemination.has_pending and not self._flush_scheduled:
            self._flush_scheduled = True
            loop = asyncio.get_running_loop()
            loop.call_later(DISSEMINATION_DELAY_S, self._flush_dissemination)

    def _flush_dissemination(self) -> None:
        """Sends the batched changes to the balancers of the zone."""
        self._flush_scheduled = False
        self._send(self._dissemination.flush(time.monotonic()))

    def add_seeds(self, addresses: tuple[str, ...]) -> None:
        """Adds seeds and joins through them if no peer is known.

        Args:
            addresses: IP addresses of the processes.
        """
        for address in addresses:
            if address in (*self._seeds, self._settings.address):
                continue
            self._seeds.append(address)
            if self._is_started and self.is_isolated:
                self._start_join(address)
        port = self._settings.control_port
        self.gossiper.add_seeds(tuple((seed, port) for seed in self._seeds))

    def introduce_to(
        self, addresses: collections.abc.Set[tuple[str, int]]
    ) -> None:
        """Sends the own record to processes that are not in the member table.

        Args:
            addresses: Control addresses of the processes. Beyond
                ``MAX_INTRODUCTIONS`` unknown ones a random sample is used.
        """
        known_addresses = {
            record.control_address
            for record in self.gossiper.table.by_id.values()
        }
        unknown_addresses = sorted(addresses - known_addresses)
        if len(unknown_addresses) > MAX_INTRODUCTIONS:
            unknown_addresses = self.random.sample(
                unknown_addresses, MAX_INTRODUCTIONS
            )
        for address in unknown_addresses:
            self._channel.send(self.gossiper.introduction(address))
        loguru.logger.bind(
            named=len(addresses), greeted=len(unknown_addresses)
        ).info("side processes greeted")

    @property
    def is_watcher(self) -> bool:
        """Whether this balancer holds and watches store keys for its zone.

        The other processes receive the version of new routes by gossip.
        """
        return watchers.is_watcher(
            self.gossiper.own,
            [
                peer
                for peer in self.gossiper.peers()
                if peer.role is records.Role.BALANCER
            ],
        )

    def is_cut_off(self, now: float) -> bool:
        """Returns whether no peer has sent anything for ``PEER_SILENCE_S``.

        Changes can't be expected from peers then, although the member table
        still lists them as alive.

        Args:
            now: Present time, seconds.
        """
        return now - self._last_control_at >= PEER_SILENCE_S

    def _may_change_watchers(self, change: members.Change) -> bool:
        """Returns whether a change concerns a balancer of the own zone."""
        record = change.new
        is_balancer = record.role is records.Role.BALANCER
        return is_balancer and record.zone == self._settings.zone

    async def wait_for_watchers(self, timeout_s: float) -> None:
        """Waits until the watchers of the own zone may have changed.

        Args:
            timeout_s: Longest wait, seconds.
        """
        self._zone_changed.clear()
        try:
            async with asyncio.timeout(timeout_s):
                await self._zone_changed.wait()
        except TimeoutError:
            return

    def count_side_processes(self, now: float) -> members.SideProcessCounts:
        """Counts the side processes in the member table.

        Args:
            now: Present time, seconds.
        """
        return members.count_side_processes(self.gossiper.table, now)

    @property
    def is_isolated(self) -> bool:
        """Whether the member table has no other living process."""
        return not self.gossiper.peers()

    # Gossip.

    async def _run_timer(self) -> None:
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = time.monotonic()
            messages, changes = self.gossiper.on_tick(now)
            self._send(messages)
            self._on_changes(changes, now)
            self.evacuations.on_tick(now)
            if self.gossiper.duplicate_identifier:
                self.gossiper.duplicate_identifier = False
                loguru.logger.error("another process has this identifier")
            self._subscriber.on_tick(now)

    def _on_control(
        self, control: controls.Control, source: tuple[str, int]
    ) -> None:
        now = time.monotonic()
        self._last_control_at = now
        messages, changes = self.gossiper.on_control(control, source, now)
        self._send(messages)
        self._on_changes(changes, now)
        self.evacuations.adopt(control.evacuated, control.sender, now)
        if self.routes.reserve_fetch(control.revision, now):
            self.supervise(
                "route fetch",
                functools.partial(
                    self.routes.fetch_until, source[0], control.revision
                ),
            )
        differs = control.digest != self.gossiper.table.digest
        if self._sync_schedule.is_due(differs, now):
            self.supervise(
                "member sync", functools.partial(self._sync, source[0])
            )

    async def _sync(self, host: str) -> None:
        await self.joining.sync(host)
