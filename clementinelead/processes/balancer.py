"""Balancer process: forwards the fabric's packets to side processes."""

import asyncio
import collections.abc
import json
import socket
import time
import typing

from aiohttp import web
import loguru
import typer

from clementinelead import exceptions
from clementinelead.administration import api
from clementinelead.administration import limits
from clementinelead.administration import tokens
from clementinelead.configurations import adoption
from clementinelead.configurations import repositories
from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.placements import forwarding
from clementinelead.placements import targets
from clementinelead.processes import administration_site
from clementinelead.processes import config_watch
from clementinelead.processes import contacts
from clementinelead.processes import node as node_module
from clementinelead.processes import runtime
from clementinelead.processes import sockets
from clementinelead.settings import models as settings_models
from clementinelead.stores import consul
from clementinelead.telemetry import logs

__all__ = ["Balancer", "main"]

REBUILD_DELAY_S = 0.02
"""Time during which several changes share one rebuild, seconds."""

REBUILD_BATCH_SERVICES = 20
"""Services whose tables are rebuilt before packets are handled again."""

READY_CHECK_INTERVAL_S = 0.1
"""Interval of the readiness checks at startup, seconds."""

PEER_SYNC_TIMEOUT_S = 3.0
"""Time after which a balancer that gets no peer's members starts, seconds."""

DRAIN_IDLE_INTERVAL_S = 0.5
"""Time without a forwarded packet after which a drain ends, seconds."""


class _PacketProtocol(asyncio.DatagramProtocol):
    """Forwards each packet that the fabric sends."""

    def __init__(self, forwarder: forwarding.Forwarder):
        self._forward = forwarder.forward
        self._send: collections.abc.Callable[..., None] = lambda *_: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the send method of the transport."""
        self._send = typing.cast(asyncio.DatagramTransport, transport).sendto

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        """Forwards a packet, unless the forwarder drops it."""
        forwarded = self._forward(data)
        if forwarded is not None:
            self._send(forwarded[0], forwarded[1])

    def error_received(self, error: Exception) -> None:
        """Logs that a datagram could not be sent."""
        loguru.logger.debug("packet socket: {}", error)


class Balancer(node_module.Subscriber):
    """Connects the forwarding decisions to sockets, store and peers.

    Attributes:
        node: Gossip, configuration and HTTP of this process.
        forwarder: Chooses the candidates of each packet.
    """

    def __init__(self, settings: settings_models.BalancerSettings):
        self._settings = settings
        self.node = node_module.Node(
            settings.node,
            settings.cluster,
            records.Role.BALANCER,
            (),
            1.0,
            self,
        )
        self._placement_log = logs.RateLimit(settings.logs.placements_per_s)
        self.forwarder = forwarding.Forwarder(self._log_routing)
        self._dirty_services: set[str] = set()
        self._targets = targets.TargetIndex()
        self._shares = targets.ShareIndex()
        self._rebuild_scheduled = False
        self._stopping = False
        self._synced = False
        self._site = administration_site.AdministrationSite(
            settings.api, settings.node.address
        )
        router = self.node.application.router
        router.add_get("/ready", self._on_ready)
        router.add_get("/status", self._on_status)
        self._add_metrics()

    async def run(self, stopping: asyncio.Event) -> None:
        """Runs until a stop is requested, then drains.

        Args:
            stopping: Set when the process is to stop.

        Raises:
            OSError: A port is in use.
            exceptions.TaskFailedError: A background task failed.
        """
        await self.node.start(stopping)
        try:
            store = consul.ConsulStore(
                self.node.session,
                self._settings.store.url,
                self._settings.store.timeout_s,
            )
            repository = repositories.Repository(
                store, self._settings.store.prefix, self.node.random
            )
            await self._serve_administration(repository)
            loop = asyncio.get_running_loop()
            address = self._settings.node.address
            transport, _ = await loop.create_datagram_endpoint(
                lambda: _PacketProtocol(self.forwarder),
                local_addr=(address, self._settings.node.data_port),
                family=socket.AF_INET,
            )
            sockets.enlarge_transport_buffers(transport)
            watch = config_watch.ConfigurationWatch(self.node, repository)
            self.node.spawn(watch.run())
            prefix = self._settings.store.prefix
            holder = contacts.ContactHolder(self.node, store, prefix)
            finder = contacts.ContactFinder(self.node, store, prefix)
            self.node.spawn(holder.run())
            self.node.spawn(finder.run())
            self.node.announce(state=records.State.COLD)
            self.node.spawn(self._become_ready())
            loguru.logger.info("balancer started")
            await stopping.wait()
            await self._drain()
            transport.close()
        finally:
            await self._site.stop()
            await self.node.stop()
        loguru.logger.info("balancer stopped")

    async def _serve_administration(
        self, repository: repositories.Repository
    ) -> None:
        settings = self._settings.api
        if not settings.port:
            return
        administration = api.Administration(
            tuple(tokens.parse_grant(text) for text in settings.tokens),
            limits.TeamRateLimiter(settings.requests_per_s, settings.burst),
            self.node.configuration,
            self.node.gossiper.table,
            repository,
        )
        application = web.Application()
        administration.add_routes(application)
        await self._site.start(application)
        self.node.spawn(self._site.reload_forever())

    def ready(self) -> bool:
        """Returns whether the fabric should send packets to this process.

        It should once the process has a configuration and the members and has
        built all tables, until it begins to stop.
        """
        if self._stopping or self.node.configuration.revision == 0:
            return False
        return self._synced and not self._dirty_services

    async def _become_ready(self) -> None:
        """Fetches the members from a peer, then announces readiness.

        With an incomplete view, a flow would be offered to too few targets. A
        balancer that gets no answer from a peer assumes it is the first one.
        """
        deadline = time.monotonic() + PEER_SYNC_TIMEOUT_S
        while not self._synced:
            self._synced = await self._sync_with_any()
            if not self._synced and time.monotonic() >= deadline:
                loguru.logger.warning("no peer answers; starting alone")
                self._synced = True
            await asyncio.sleep(READY_CHECK_INTERVAL_S)
        while not self.ready():
            await asyncio.sleep(READY_CHECK_INTERVAL_S)
        self.node.announce(state=records.State.READY)

    async def _sync_with_any(self) -> bool:
        for peer in self.node.live_balancers():
            try:
                await self.node.sync_members(peer)
            except exceptions.PeerUnavailableError as error:
                loguru.logger.debug("members: {}", error)
                continue
            return True
        return False

    async def _drain(self) -> None:
        """Keeps forwarding until the fabric sends no more packets.

        The drain takes at least the settings' ``stop_delay_s``, and no idle
        interval begins after their ``max_stop_s``.
        """
        self._stopping = True
        self.node.announce(state=records.State.LEAVING)
        settings = self._settings.forwarding
        started = time.monotonic()
        await asyncio.sleep(settings.stop_delay_s)
        while time.monotonic() - started < settings.max_stop_s:
            before = self.forwarder.forwarded
            await asyncio.sleep(DRAIN_IDLE_INTERVAL_S)
            if self.forwarder.forwarded == before:
                return

    # Callbacks of the node.

    def on_members(self, changes: list[members.Change], now: float) -> None:
        """Schedules a rebuild for the services whose targets changed."""
        for change in changes:
            names = self._targets.update(change)
            self._dirty_services.update(self._shares.affected_services(names))
        self._schedule_rebuild()

    def on_configuration(self, adopted: adoption.Adopted, now: float) -> None:
        """Schedules a rebuild for the services that changed."""
        names = adopted.names
        if names is None:
            names = frozenset(self.node.configuration.entry_by_name)
            names |= self.forwarder.service_names()
        for name in names:
            entry = self.node.configuration.entry_by_name.get(name)
            self._shares.update(name, entry.service if entry else None)
        self._dirty_services.update(names)
        self._schedule_rebuild()

    def _schedule_rebuild(self) -> None:
        if self._rebuild_scheduled or not self._dirty_services:
            return
        self._rebuild_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(REBUILD_DELAY_S, self._rebuild)

    def _rebuild(self) -> None:
        """Rebuilds one batch of tables and schedules the next.

        Packets are forwarded between two batches.
        """
        self._rebuild_scheduled = False
        entry_by_name = self.node.configuration.entry_by_name
        for _ in range(min(REBUILD_BATCH_SERVICES, len(self._dirty_services))):
            name = self._dirty_services.pop()
            entry = entry_by_name.get(name)
            service = entry.service if entry else None
            self.forwarder.update(
                name,
                service,
                self._targets.groups(service) if service else (),
                self.node.configuration.revision,
            )
        self._schedule_rebuild()

    # Logs, metrics and HTTP handlers.

    def _log_routing(self, decision: forwarding.RoutingDecision) -> None:
        if self._placement_log.allows(time.monotonic()):
            loguru.logger.info(
                "route service={} flow={} first={} candidates={} revision={}"
                " left_out={}",
                decision.service,
                decision.flow,
                decision.first,
                decision.candidates,
                decision.revision,
                self._placement_log.take_left_out(),
            )

    def _add_metrics(self) -> None:
        metrics = self.node.metrics
        metrics.count(
            "packets_dropped", self.forwarder.drops, "Packets dropped by cause"
        )
        metrics.gauge(
            "packets_forwarded",
            lambda: self.forwarder.forwarded,
            "Packets forwarded",
        )
        metrics.gauge(
            "services",
            lambda: len(self.forwarder.service_names()),
            "Services known",
        )

    async def _on_ready(self, _: web.Request) -> web.Response:
        if self.ready():
            return web.Response(text="ready\n")
        raise web.HTTPServiceUnavailable(text="not ready\n")

    async def _on_status(self, _: web.Request) -> web.Response:
        table = self.node.gossiper.table
        status = {
            "id": self._settings.node.id,
            "revision": self.node.configuration.revision,
            "ready": self.ready(),
            "forwarded": self.forwarder.forwarded,
            "dropped": dict(self.forwarder.drops.by_cause),
            "control": dict(self.node.channel.counters.by_cause),
            "members": [
                {
                    "id": record.id,
                    "role": record.role.name.lower(),
                    "state": record.state.name.lower(),
                    "health": record.health.name.lower(),
                    "zone": record.zone,
                    "services": list(record.services),
                }
                for record in table.by_id.values()
            ],
        }
        return web.json_response(status, dumps=json.dumps)


def _command(
    settings: runtime.SettingsArgument, check: runtime.CheckOption = False
) -> None:
    """Forwards the fabric's packets to the targets' side processes.

    Exit codes: 0 stopped, 1 failed, 2 wrong settings, 3 a port is taken.
    """
    loaded = runtime.load_settings(
        settings, settings_models.BalancerSettings, check
    )
    logs.configure(loaded.node.id, loaded.logs.level, loaded.logs.json_lines)
    runtime.run(Balancer(loaded).run)


def main() -> None:
    """Runs the balancer with the settings named on the command line."""
    typer.run(_command)


if __name__ == "__main__":
    main()
