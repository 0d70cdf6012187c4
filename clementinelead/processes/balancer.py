"""The balancer process: from the fabric to the candidates' side processes."""

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
REBUILD_BATCH = 20
READY_CHECK_S = 0.1
ALONE_S = 3.0
IDLE_BEFORE_STOP_S = 0.5


class _DataPath(asyncio.DatagramProtocol):
    """Forwards each packet of the fabric."""

    def __init__(self, forwarder: forwarding.Forwarder):
        self._forward = forwarder.forward
        self._send: collections.abc.Callable[..., None] = lambda *_: None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._send = typing.cast(asyncio.DatagramTransport, transport).sendto

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        """Handles one datagram."""
        sent = self._forward(data)
        if sent is not None:
            self._send(sent[0], sent[1])

    def error_received(self, error: Exception) -> None:
        """Notes that a datagram could not be sent."""
        loguru.logger.debug("packet socket: {}", error)


class Balancer(node_module.Subscriber):
    """Wires the forwarding decisions to sockets, store and peers."""

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
        self._placement_log = logs.RateLimiter(settings.logs.placements_per_s)
        self.forwarder = forwarding.Forwarder(self._log_routing)
        self._dirty: set[str] = set()
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
        """Runs until asked to stop, then until the fabric has turned away.

        Raises:
            OSError: A port is taken.
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
                lambda: _DataPath(self.forwarder),
                local_addr=(address, self._settings.node.data_port),
                family=socket.AF_INET,
            )
            sockets.enlarge_buffers(transport)
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
            self.node.adopted,
            self.node.gossiper.table,
            repository,
        )
        application = web.Application()
        administration.add_routes(application)
        await self._site.start(application)
        self.node.spawn(self._site.reload_forever())

    def ready(self) -> bool:
        """Tells whether the fabric should hand packets to this process."""
        if self._stopping or self.node.adopted.revision == 0:
            return False
        return self._synced and not self._dirty

    async def _become_ready(self) -> None:
        """Learns all members from a peer before it takes packets.

        With a view that is not whole, a flow would be offered to too few
        targets. A balancer that no peer answers is the first one.
        """
        deadline = time.monotonic() + ALONE_S
        while not self._synced:
            self._synced = await self._sync_with_any()
            if not self._synced and time.monotonic() >= deadline:
                loguru.logger.warning("no peer answers; starting alone")
                self._synced = True
            await asyncio.sleep(READY_CHECK_S)
        while not self.ready():
            await asyncio.sleep(READY_CHECK_S)
        self.node.announce(state=records.State.READY)

    async def _sync_with_any(self) -> bool:
        for peer in self.node.balancers():
            try:
                await self.node.sync_members(peer)
            except exceptions.PeerUnavailableError as error:
                loguru.logger.debug("members: {}", error)
                continue
            return True
        return False

    async def _drain(self) -> None:
        """Forwards on until the fabric no longer sends anything."""
        self._stopping = True
        self.node.announce(state=records.State.LEAVING)
        settings = self._settings.forwarding
        started = time.monotonic()
        await asyncio.sleep(settings.stop_delay_s)
        while time.monotonic() - started < settings.max_stop_s:
            before = self.forwarder.forwarded
            await asyncio.sleep(IDLE_BEFORE_STOP_S)
            if self.forwarder.forwarded == before:
                return

    # What the node learns.

    def on_members(self, changes: list[members.Change], now: float) -> None:
        """Rebuilds the tables of the services whose targets changed."""
        for change in changes:
            names = self._targets.update(change)
            self._dirty.update(self._shares.affected_services(names))
        self._schedule_rebuild()

    def on_configuration(self, adopted: adoption.Adopted, now: float) -> None:
        """Rebuilds the tables of the services that changed."""
        names = adopted.names
        if names is None:
            names = frozenset(self.node.adopted.entry_by_name)
            names |= self.forwarder.service_names()
        for name in names:
            entry = self.node.adopted.entry_by_name.get(name)
            self._shares.update(name, entry.service if entry else None)
        self._dirty.update(names)
        self._schedule_rebuild()

    def _schedule_rebuild(self) -> None:
        if self._rebuild_scheduled or not self._dirty:
            return
        self._rebuild_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(REBUILD_DELAY_S, self._rebuild)

    def _rebuild(self) -> None:
        """Rebuilds some tables; the packet path runs between batches."""
        self._rebuild_scheduled = False
        entry_by_name = self.node.adopted.entry_by_name
        for _ in range(min(REBUILD_BATCH, len(self._dirty))):
            name = self._dirty.pop()
            entry = entry_by_name.get(name)
            service = entry.service if entry else None
            self.forwarder.update(
                name,
                service,
                self._targets.groups(service) if service else (),
                self.node.adopted.revision,
            )
        self._schedule_rebuild()

    # What others ask.

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
                self._placement_log.pop_suppressed_count(),
            )

    def _add_metrics(self) -> None:
        published = self.node.metrics
        published.add_counters(
            "packets_dropped", self.forwarder.drops, "Packets dropped by cause"
        )
        published.add_gauge(
            "packets_forwarded",
            lambda: self.forwarder.forwarded,
            "Packets forwarded",
        )
        published.add_gauge(
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
        content = {
            "id": self._settings.node.id,
            "revision": self.node.adopted.revision,
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
        return web.json_response(content, dumps=json.dumps)


def _command(
    settings: runtime.SettingsPath, check: runtime.Check = False
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
    """Runs the command line."""
    typer.run(_command)


if __name__ == "__main__":
    main()
