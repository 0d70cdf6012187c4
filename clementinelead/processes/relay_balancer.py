"""The relaying balancer: callers' packets, peers' answers, readiness."""

import asyncio
import functools
import time

import loguru

from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.processes import contact_keys
from clementinelead.processes import datagrams
from clementinelead.processes import decision_log
from clementinelead.processes import http_site
from clementinelead.processes import known_targets
from clementinelead.processes import metrics_page
from clementinelead.processes import relay_node
from clementinelead.processes import relay_settings
from clementinelead.processes import route_watch
from clementinelead.processes import sockets
from clementinelead.relays import completeness
from clementinelead.relays import formats
from clementinelead.relays import outcomes
from clementinelead.relays import routes
from clementinelead.relays import steering

__all__ = ["RelayBalancer"]

BUSY_TICK_S = 0.004
"""Timer of placements and searches while there are any, seconds."""

QUIET_S = 0.7
"""Time without callers' packets after which a stop may go on, seconds."""

MIN_STOP_S = 1.2
"""Time in which the fabric notices that a process is not ready, seconds."""

STOP_MARGIN_S = 1.0
"""Time left for the end of a process, seconds."""


class RelayBalancer:
    """Wires the steering decisions to sockets and members.

    Attributes:
        node: Gossip and routes.
        steering: The decisions.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        callers_address: tuple[str, int],
        packet_format: formats.PacketFormat,
        source: route_watch.RouteSource,
        keys: contact_keys.ContactKeys,
        bound: sockets.Sockets,
    ):
        """Prepares the process.

        Args:
            settings: Settings.
            callers_address: Where the fabric hands over callers' packets.
            packet_format: Format of the packets.
            source: Where new routes come from.
            keys: Contact keys in the store.
            bound: Sockets that have been bound already.
        """
        self._bound = bound
        self._settings = settings
        self._callers_address = callers_address
        self.node = relay_node.RelayNode(
            settings, records.Role.BALANCER, (), self, bound
        )
        log = decision_log.DecisionLog(packet_format)
        self.steering = steering.Steering(
            packet_format,
            log.report,
            settings.zone,
            self.node.routes.former,
        )
        self._watch = route_watch.RouteWatch(self.node, source)
        generator = self.node.random
        self._side_count = contact_keys.SideCount()
        self._holder = contact_keys.ContactHolder(
            self.node, keys, self._side_count, generator
        )
        self._finder = contact_keys.ContactFinder(self.node, keys, generator)
        self._stopping = False
        self._last_packet = 0.0
        self._tick_scheduled = False
        self._targets = known_targets.KnownTargets(self.node.gossiper.table)
        self._completeness = completeness.Completeness()
        self._settling = False
        self._loop: asyncio.AbstractEventLoop
        self._callers: datagrams.DatagramSocket
        self._peers: datagrams.DatagramSocket
        self.metrics = metrics_page.MetricsPage(settings.id, "balancer")
        self.metrics.count(
            "flow_decisions", self.steering.counts, "Flow decisions by outcome"
        )
        self.metrics.gauge(
            "flows_cached", lambda: self.steering.flows, "Flows in the cache"
        )
        self.metrics.gauge(
            "routes_version",
            lambda: self.node.routes.table.version,
            "Routes in force",
        )

    @property
    def ready(self) -> bool:
        """Whether the fabric should hand packets to this process."""
        if self._stopping or not self.node.joining.joined or self.node.alone:
            return False
        return self.node.routes.table.version > 0

    def respond_ready(self, _: http_site.Request) -> http_site.Response:
        """Answers the fabric's question."""
        status = http_site.OK if self.ready else http_site.UNAVAILABLE
        return http_site.Response(status)

    async def run(self, stopping: asyncio.Event) -> None:
        """Runs until asked to stop, then until the fabric has turned away.

        Raises:
            OSError: A port is taken.
        """
        self._loop = asyncio.get_running_loop()
        address = (self._settings.address, self._settings.data_port)
        self._callers = datagrams.DatagramSocket(
            self._bound.udp(self._callers_address), self._on_packet
        )
        self._peers = datagrams.DatagramSocket(
            self._bound.udp(address), self._on_frame
        )
        await self.node.start(stopping)
        try:
            self._callers.start(self._loop)
            self._peers.start(self._loop)
            self.node.keep("watch of the routes", self._watch.run)
            self.node.keep("contact key", self._holder.run)
            self.node.keep("search for peers", self._finder.run)
            useful_until = time.monotonic() + completeness.VIEW_S
            self.node.keep(
                "count of side processes",
                functools.partial(
                    self._finder.count, self._side_count, useful_until
                ),
            )
            await stopping.wait()
            await self._drain()
        finally:
            self._callers.close(self._loop)
            self._peers.close(self._loop)
            await self.node.stop()

    async def _drain(self) -> None:
        """Forwards on until the fabric no longer sends anything."""
        self._stopping = True
        loguru.logger.bind(flows=self.steering.flows).info("draining")
        self.node.announce(state=records.State.LEAVING)
        started = time.monotonic()
        latest = started + max(0.0, self._settings.stop_s - STOP_MARGIN_S)
        await asyncio.sleep(min(MIN_STOP_S, latest - started))
        while (now := time.monotonic()) < latest:
            if now - self._last_packet >= QUIET_S:
                return
            await asyncio.sleep(QUIET_S / 4)

    # Datagrams.

    def _on_packet(self, data: bytes, _: tuple[str, int]) -> None:
        now = time.monotonic()
        self._last_packet = now
        self._send(self.steering.on_packet(data, now))

    def _on_frame(self, data: bytes, source: tuple[str, int]) -> None:
        now = time.monotonic()
        self._send(self.steering.on_frame(data, source, now))

    def _send(self, several: list[outcomes.Outcome]) -> None:
        for outcome in several:
            match outcome:
                case outcomes.ToPeer(address, data):
                    self._peers.send(data, address)
                case outcomes.ToCaller(address, data):
                    self._callers.send(data, address)
        if not self._tick_scheduled and self.steering.busy:
            self._tick_scheduled = True
            self._loop.call_later(BUSY_TICK_S, self._busy_tick)

    def _busy_tick(self) -> None:
        self._tick_scheduled = False
        self._send(self.steering.on_tick(time.monotonic()))

    # What the node learns.

    def on_tick(self, now: float) -> None:
        """Lets time pass for the decisions."""
        self._send(self.steering.on_tick(now))
        if self.node.joining.joined and not self._settling:
            self._settling = True
            self._completeness.on_joined(now)
            if self.node.gossiper.former.lost:
                self._completeness.on_died(now)
        count = self._side_count
        count.complete = self._completeness.reached(now)
        if not count.complete:
            sides = self.node.count_sides(now)
            self._completeness.compare(
                sides.serving, sides.missing, count.before, now
            )
        self.steering.set_complete_from(self._completeness.since)

    def on_routes(self, table: routes.RoutingTable, now: float) -> None:
        """Puts new routes in force."""
        self.steering.set_routes(table)

    def on_members(self, changes: list[members.Change], now: float) -> None:
        """Takes over the targets of the services that changed."""
        for change in changes:
            record = change.new
            if record.role is not records.Role.SIDE:
                continue
            if self._settling:
                self._unsettle(change, now)
            loguru.logger.bind(
                member=record.id,
                state=record.state.name.lower(),
                health=record.health.name.lower(),
                incarnation=record.incarnation,
                sequence=record.sequence,
                service=",".join(record.services),
            ).info("member changed")
        for service, targets in self._targets.update(changes).items():
            self.steering.set_targets(service, targets)

    def _unsettle(self, change: members.Change, now: float) -> None:
        """Puts off resets while flows may be where nobody can be asked."""
        record = change.new
        if record.state is records.State.LEAVING:
            return  # its target is gone, and the flows with it
        if record.health is records.Health.DEAD:
            # One that died while starting was beside no target, or has been
            # silent for longer than callers wait.
            if record.state is not records.State.COLD:
                self._completeness.on_died(now)
        elif change.old is None:
            self._completeness.on_appeared(now)
        self.steering.set_complete_from(self._completeness.since)
