"""Gossip, configuration and HTTP of balancers and side processes."""

import asyncio
import collections.abc
import random
import time

import aiohttp
from aiohttp import web
import loguru

from clementinelead import exceptions
from clementinelead.configurations import adoption
from clementinelead.memberships import anti_entropy
from clementinelead.memberships import authentication
from clementinelead.memberships import gossip
from clementinelead.memberships import members
from clementinelead.memberships import options
from clementinelead.memberships import outgoing
from clementinelead.memberships import records
from clementinelead.messages import controls
from clementinelead.processes import control_channel
from clementinelead.processes import peers
from clementinelead.processes import reversions
from clementinelead.processes import sockets
from clementinelead.processes import tasks
from clementinelead.settings import models as settings_models
from clementinelead.telemetry import metrics

__all__ = ["Node", "Subscriber"]

GOSSIP_TICK_INTERVAL_S = 0.05
"""Interval of the gossip timer, seconds."""

CONFIGURATION_FETCH_RETRY_S = 0.5
"""Longest random delay before a fetch is retried, seconds."""

CONFIGURATION_FETCH_JITTER_S = 0.05
"""Longest random delay before the first fetch of a revision, seconds."""


class Subscriber:
    """Callbacks of a node, to be overridden by balancer or side process."""

    def load(self) -> controls.TargetLoad | None:
        """Returns the target's load for control messages, None without one."""
        return None

    def on_members(self, changes: list[members.Change], now: float) -> None:
        """Called when membership records have changed.

        Args:
            changes: Each changed record, with its predecessor.
            now: Present time, seconds.
        """

    def on_configuration(self, adopted: adoption.Adopted, now: float) -> None:
        """Called when a higher revision is in force.

        Args:
            adopted: The revision, and the services that it changed.
            now: Present time, seconds.
        """

    def on_control(
        self, control: controls.Control, source: tuple[str, int], now: float
    ) -> None:
        """Called with each authentic control message.

        Args:
            control: The message.
            source: Address of its sender.
            now: Present time, seconds.
        """


class Node:
    """Gossip, configuration and HTTP of one process.

    Attributes:
        random: Source of randomness, seeded with identifier and incarnation.
        gossiper: Membership decisions.
        configuration: Configuration in force.
        channel: UDP channel of control messages.
        server: Handlers of the other processes' HTTP requests.
        application: HTTP application; routes can be added before ``start``.
        metrics: Metrics that are published at ``/metrics``.
    """

    def __init__(
        self,
        node: settings_models.Node,
        cluster: settings_models.Cluster,
        role: records.Role,
        services: tuple[str, ...],
        weight: float,
        subscriber: Subscriber,
    ):
        now = time.monotonic()
        own = records.Record(
            id=node.id,
            incarnation=time.time_ns() // 1_000_000,
            sequence=0,
            role=role,
            state=records.State.COLD,
            region=node.region,
            zone=node.zone,
            address=node.address,
            data_port=node.data_port,
            control_port=node.control_port,
            http_port=node.http_port,
            services=services,
            weight=weight,
        )
        self.random = random.Random(f"{node.id}/{own.incarnation}")
        self.gossiper = gossip.Gossiper(
            own,
            _seeds(node, cluster),
            options.Options(bytes_per_s=cluster.bytes_per_s),
            self.random,
            now,
        )
        self.configuration = adoption.ActiveConfiguration(
            frozenset(services) if services else None
        )
        keys = tuple(key.get_secret_value().encode() for key in cluster.keys)
        self.channel = control_channel.ControlChannel(
            self.gossiper,
            authentication.Sealer(cluster.name, keys),
            self._on_control,
            lambda: self.configuration.revision,
            subscriber.load,
        )
        self.server = peers.PeerServer(
            keys, self.gossiper.table, self.configuration
        )
        self.application = web.Application()
        self.server.add_routes(self.application)
        self.application.router.add_get("/metrics", self._on_metrics)
        self.metrics = metrics.Metrics(node.id, role.name.lower())
        self.metrics.add_counters(
            "control_datagrams", self.channel.counters, "Control datagrams"
        )
        self.metrics.add_gauge(
            "configuration_revision",
            lambda: self.configuration.revision,
            "Configuration revision in force",
        )
        self.metrics.add_gauge(
            "members_known",
            lambda: len(self.gossiper.table.by_id),
            "Membership records known",
        )
        self._reversions = reversions.ReversionLog()
        self.metrics.add_counters(
            "configuration_reversions",
            self._reversions.counts,
            "Offers of an older configuration, by source",
        )
        self._settings = node
        self._keys = keys
        self._subscriber = subscriber
        self._tasks = tasks.Tasks()
        self._runner: web.AppRunner | None = None
        self._fetching_revision = False
        self._member_syncs = anti_entropy.SyncSchedule(self.random)
        self._session: aiohttp.ClientSession | None = None

    @property
    def session(self) -> aiohttp.ClientSession:
        """HTTP client session, open between ``start`` and ``stop``."""
        assert self._session is not None, "the node has not started"
        return self._session

    @property
    def client(self) -> peers.PeerClient:
        """HTTP client for queries to other processes."""
        return peers.PeerClient(self.session, self._keys)

    async def start(self, stopping: asyncio.Event) -> None:
        """Opens the sockets and starts the timers.

        Args:
            stopping: Set by the node when a task fails.

        Raises:
            OSError: A port is in use.
        """
        self._tasks.start(stopping)
        self._session = aiohttp.ClientSession()
        address = self._settings.address
        control_address = (address, self._settings.control_port)
        await self.channel.open(
            sockets.PreboundSockets().claim_udp(control_address)
        )
        self._runner = web.AppRunner(self.application, access_log=None)
        await self._runner.setup()
        site = web.TCPSite(self._runner, address, self._settings.http_port)
        await site.start()
        self.spawn(self._tick_forever())

    async def stop(self) -> None:
        """Stops the timers and closes the sockets.

        Raises:
            exceptions.TaskFailedError: A task had failed before the stop.
        """
        await self._tasks.stop()
        if self._runner is not None:
            await self._runner.cleanup()
        self.channel.close()
        await self.session.close()
        self._tasks.raise_failure()

    def spawn(
        self, coroutine: collections.abc.Coroutine[None, None, None]
    ) -> None:
        """Runs a coroutine in the background until the node stops.

        Its failure is logged and stops the process.
        """
        self._tasks.spawn(coroutine)

    def announce(self, **fields: object) -> None:
        """Publishes changes of the own record and pushes it to peers.

        Args:
            fields: New values of fields of the record.
        """
        now = time.monotonic()
        messages, change = self.gossiper.announce(now, **fields)
        self.send_all(messages)
        if change is not None:
            self._subscriber.on_members([change], now)

    def send_all(
        self, messages: collections.abc.Iterable[outgoing.Message]
    ) -> None:
        """Seals and sends control messages over the control channel."""
        for message in messages:
            self.channel.send(message)

    def live_balancers(self) -> list[records.Record]:
        """Returns the records of the other live balancers."""
        return [
            record
            for record in self.gossiper.peers()
            if record.role is records.Role.BALANCER
        ]

    def handle_adoption_outcome(
        self, outcome: adoption.AdoptionOutcome, source: str
    ) -> None:
        """Handles the outcome of an offered configuration.

        An adopted revision is reported to the subscriber and to some peers; an
        older one is logged and counted.

        Args:
            outcome: Whether and why the offer was adopted or not.
            source: Identifier of the peer, or ``store``, for the log.
        """
        match outcome:
            case adoption.Adopted(revision):
                loguru.logger.info(
                    "configuration revision={} from={}", revision, source
                )
                self._reversions.on_adopted()
                now = time.monotonic()
                self._subscriber.on_configuration(outcome, now)
                self._push_revision()
            case adoption.OlderRevision():
                self._reversions.record(outcome, source)

    async def sync_members(self, peer: records.Record) -> None:
        """Merges the membership records in which a peer differs.

        Args:
            peer: Record of the peer.

        Raises:
            exceptions.PeerUnavailableError: No authentic response came.
        """
        differing = await self.client.fetch_differing_members(
            peer, self.gossiper.table
        )
        now = time.monotonic()
        changes = self.gossiper.merge(differing, now)
        if changes:
            self._subscriber.on_members(changes, now)

    async def _tick_forever(self) -> None:
        while True:
            await asyncio.sleep(GOSSIP_TICK_INTERVAL_S)
            self._tick(time.monotonic())

    def _tick(self, now: float) -> None:
        messages, changes = self.gossiper.on_tick(now)
        self.send_all(messages)
        if changes:
            self._subscriber.on_members(changes, now)
        if self.gossiper.duplicate_identifier:
            self.gossiper.duplicate_identifier = False
            loguru.logger.error(
                "another process uses the identifier {}; one of them must get"
                " another one",
                self._settings.id,
            )

    def _on_control(
        self, control: controls.Control, source: tuple[str, int]
    ) -> None:
        now = time.monotonic()
        messages, changes = self.gossiper.on_control(control, source, now)
        self.send_all(messages)
        if changes:
            self._subscriber.on_members(changes, now)
        if (
            control.revision > self.configuration.revision
            and not self._fetching_revision
        ):
            self._fetching_revision = True
            self.spawn(self._fetch_revision(control.sender, control.revision))
        differs = control.digest != self.gossiper.table.digest
        if self._member_syncs.is_due(differs, now):
            self.spawn(self._sync_with_sender(control.sender))
        self._subscriber.on_control(control, source, now)

    async def _sync_with_sender(self, sender: str) -> None:
        peer = self.gossiper.table.by_id.get(sender)
        if peer is None:
            return
        try:
            await self.sync_members(peer)
        except exceptions.PeerUnavailableError as error:
            loguru.logger.debug("members of {}: {}", sender, error)

    async def _fetch_revision(self, sender: str, revision: int) -> None:
        """Fetches from balancers until a revision is in force.

        The sender of the message that announced it is queried first if it is a
        balancer; the retries choose at random.
        """
        try:
            await asyncio.sleep(
                self.random.random() * CONFIGURATION_FETCH_JITTER_S
            )
            while self.configuration.revision < revision:
                peer = self._configuration_source(sender)
                if peer is not None:
                    await self.fetch_configuration(peer)
                if self.configuration.revision < revision:
                    sender = ""
                    await asyncio.sleep(
                        CONFIGURATION_FETCH_RETRY_S * self.random.random()
                    )
        finally:
            self._fetching_revision = False

    async def fetch_configuration(self, peer: records.Record) -> None:
        """Fetches a peer's configuration and adopts it if it is newer.

        Args:
            peer: Record of the peer; the fetch is given up if it is
                unavailable.
        """
        try:
            outcome = await self.client.fetch_configuration(
                peer, self.configuration
            )
        except exceptions.PeerUnavailableError as error:
            loguru.logger.debug("configuration of {}: {}", peer.id, error)
            return
        if not isinstance(outcome, adoption.OlderRevision):
            self.handle_adoption_outcome(outcome, peer.id)

    def _configuration_source(self, sender: str) -> records.Record | None:
        """Returns the sender if it is a balancer, else any balancer."""
        peer = self.gossiper.table.by_id.get(sender)
        if peer is not None and peer.role is records.Role.BALANCER:
            return peer
        others = self.live_balancers()
        return self.random.choice(others) if others else None

    def _push_revision(self) -> None:
        self.send_all(
            outgoing.notifications(
                self.gossiper.peers(),
                self.gossiper.options.push_fanout,
                self.random,
            )
        )

    async def _on_metrics(self, request: web.Request) -> web.Response:
        return web.Response(
            body=self.metrics.exposition(),
            headers={"Content-Type": "text/plain; version=0.0.4"},
        )


def _seeds(
    node: settings_models.Node, cluster: settings_models.Cluster
) -> tuple[tuple[str, int], ...]:
    own = (node.address, node.control_port)
    addresses = (settings_models.parse_endpoint(seed) for seed in cluster.seeds)
    return tuple(address for address in addresses if address != own)
