"""The relaying side process: beside one target that answers for itself."""

import asyncio
import time

import loguru

from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.processes import contact_keys
from clementinelead.processes import datagrams
from clementinelead.processes import decision_log
from clementinelead.processes import metrics_page
from clementinelead.processes import relay_node
from clementinelead.processes import relay_settings
from clementinelead.processes import sockets
from clementinelead.processes import target_presence
from clementinelead.relays import announcements
from clementinelead.relays import formats
from clementinelead.relays import outcomes
from clementinelead.relays import routes
from clementinelead.relays import target_relay

__all__ = ["RelaySide"]

MAX_LINGER_S = 1.5
"""Time that a stop waits for work under way, seconds.

Open feeds go on when the process is back; requests mostly end sooner.
"""

UNHEARD_HEARTBEATS = 3
"""Heartbeats missing after a start after which there is no target.

One may be lost while this process starts, and the next be late.
"""

FROZEN_S = 0.5
"""Time without a tick after which this process has been frozen, seconds.

Ticks come ten times as often. Heartbeats that came meanwhile are not read yet.
"""

LINGER_STEP_S = 0.05
RETURN_TICK_S = 0.01

_STATE_BY_NAME = {
    "cold": records.State.COLD,
    "ready": records.State.READY,
    "draining": records.State.DRAINING,
    "leaving": records.State.LEAVING,
    "dead": records.State.LEAVING,
}


class RelaySide:
    """Wires the holding decisions to sockets, members and the target.

    Attributes:
        node: Gossip and routes.
        holding: The decisions.
    """

    def __init__(
        self,
        settings: relay_settings.RelaySettings,
        service: str,
        target: tuple[str, int],
        answers_address: tuple[str, int],
        packet_format: formats.PacketFormat,
        keys: contact_keys.ContactKeys,
        bound: sockets.PreboundSockets,
    ):
        """Prepares the process.

        Args:
            settings: Settings.
            service: Name of the service that the target serves.
            target: Where the target takes packets.
            answers_address: Where the target sends its packets.
            packet_format: Format of the packets.
            keys: Contact keys in the store.
            bound: Sockets that have been bound already.
        """
        self._bound = bound
        self._settings = settings
        self._target = target
        self._answers_address = answers_address
        self.node = relay_node.RelayNode(
            settings, records.Role.SIDE, (service,), self, bound
        )
        self._finder = contact_keys.ContactFinder(
            self.node, keys, self.node.random
        )
        log = decision_log.DecisionLog(packet_format)
        self.holding = target_relay.TargetRelay(
            packet_format,
            service,
            log.report,
            time.monotonic(),
            time.time_ns() // 1_000_000,
        )
        self._unheard_since = time.monotonic()
        self._ticked_at = self._unheard_since
        self._unheard_s = UNHEARD_HEARTBEATS * settings.heartbeat_s
        self._announced = records.State.COLD
        self._looked = asyncio.Event()
        self._tick_scheduled = False
        self._loop: asyncio.AbstractEventLoop
        self._answers: datagrams.DatagramSocket
        self._peers: datagrams.DatagramSocket
        self.metrics = metrics_page.MetricsPage(settings.id, "side")
        self.metrics.count(
            "flow_decisions", self.holding.counts, "Flow decisions by outcome"
        )
        self.metrics.gauge(
            "flows_held", lambda: self.holding.flow_count, "Flows of the target"
        )
        self.metrics.gauge(
            "work_under_way",
            lambda: self.holding.work_under_way,
            "Requests at work",
        )
        self.metrics.histogram(
            "answer_seconds",
            self.holding.latencies,
            "Time from a request to the first byte of its answer, seconds",
        )

    async def run(self, stopping: asyncio.Event) -> None:
        """Runs until asked to stop, and until work under way has ended.

        Raises:
            OSError: A port is taken.
        """
        self._loop = asyncio.get_running_loop()
        self._answers = datagrams.DatagramSocket(
            self._bound.claim_udp(self._answers_address), self._on_answer
        )
        address = (self._settings.address, self._settings.data_port)
        self._peers = datagrams.DatagramSocket(
            self._bound.claim_udp(address), self._on_frame
        )
        await self.node.start(stopping)
        try:
            self._answers.start(self._loop)
            self._peers.start(self._loop)
            self.node.keep("search for peers", self._finder.run)
            self.node.keep("look for the target", self._look_for_target)
            await stopping.wait()
            await self._linger()
        finally:
            self._answers.close(self._loop)
            self._peers.close(self._loop)
            await self.node.stop()

    async def _linger(self) -> None:
        """Takes no new flow, and waits for the work under way."""
        self.holding.stopping = True
        if self.holding.lifecycle.last_heartbeat is None:
            await self._wait_for_look()
        gone = self._target_gone(time.monotonic())
        loguru.logger.bind(
            flows=self.holding.flow_count,
            working=self.holding.work_under_way,
            gone=gone,
        ).info("draining")
        self._announce(time.monotonic())
        latest = time.monotonic() + min(MAX_LINGER_S, self._settings.stop_s)
        while not gone and time.monotonic() < latest:
            await asyncio.sleep(LINGER_STEP_S)
            if self.holding.work_under_way == 0:
                return

    async def _look_for_target(self) -> None:
        """Denies all flows at once if this process has begun without a target.

        Else balancers could not tell callers of lost flows so before the
        target is overdue.
        """
        absent = await target_presence.is_absent(self._target)
        self._looked.set()
        if not absent:
            return
        believed = self.holding.on_target_absent(time.monotonic())
        loguru.logger.bind(address=self._target[0], believed=believed).info(
            "no target listens"
        )

    async def _wait_for_look(self) -> None:
        """Lets a process that is stopped at once still learn what it is beside.

        If it said that it drains, searches would wait for it for seconds.
        """
        try:
            async with asyncio.timeout(target_presence.BOUND_S):
                await self._looked.wait()
        except TimeoutError:
            loguru.logger.info("stopped before the target was looked for")

    def _target_gone(self, now: float) -> bool:
        """Tells whether the target has ended, as far as one can know.

        A target that has never announced itself does not live.
        """
        lifecycle = self.holding.lifecycle
        if lifecycle.last_heartbeat is None:
            if self.holding.stopping and self.holding.startup.target_absent:
                return True
            return now - self._unheard_since > self._unheard_s
        return lifecycle.state in ("leaving", "dead")

    # What the target says of itself.

    def heartbeat(
        self, announcement: announcements.Heartbeat
    ) -> announcements.UpdateResult:
        """Takes over a heartbeat of the target."""
        now = time.monotonic()
        verdict = self.holding.on_heartbeat(announcement, now)
        if verdict is not announcements.UpdateResult.UNCHANGED:
            self._log_target(announcement.id, announcement.sequence, verdict)
        self._announce(now)
        return verdict

    def depart(
        self, departure: announcements.Departure
    ) -> announcements.UpdateResult:
        """Takes over that the target has ended."""
        verdict = self.holding.lifecycle.on_departure(departure)
        self._log_target(departure.id, 0, verdict)
        self._announce(time.monotonic())
        return verdict

    def _log_target(
        self,
        identifier: str,
        sequence: int,
        verdict: announcements.UpdateResult,
    ) -> None:
        loguru.logger.bind(
            target=identifier,
            sequence=sequence,
            outcome=verdict.value,
            state=self.holding.lifecycle.state,
        ).info("target announced")

    def _announce(self, now: float) -> None:
        """Tells the others of a changed state."""
        # LEAVING says that there are no flows any more; a process that is to
        # be replaced beside a living target must not say so.
        if self._target_gone(now):
            state = records.State.LEAVING
        elif self.holding.stopping:
            state = records.State.DRAINING
        else:
            state = _STATE_BY_NAME[self.holding.lifecycle.state]
        if state is self._announced or not self.node.gossiper.announced:
            return
        self._announced = state
        self.node.announce(state=state)

    # Datagrams.

    def _on_frame(self, data: bytes, source: tuple[str, int]) -> None:
        now = time.monotonic()
        self._send(self.holding.on_frame(data, source, now))

    def _on_answer(self, data: bytes, _: tuple[str, int]) -> None:
        now = time.monotonic()
        self._send(self.holding.on_target_packet(data, now))

    def _send(self, several: list[outcomes.Outcome]) -> None:
        for outcome in several:
            match outcome:
                case outcomes.ToPeer(address, data):
                    self._peers.send(data, address)
                case outcomes.ToCaller(address, data):
                    self._peers.send(data, address)
                case outcomes.ToTarget(data):
                    self._answers.send(data, self._target)
        if not self._tick_scheduled and self.holding.needs_fast_ticks:
            self._tick_scheduled = True
            self._loop.call_later(RETURN_TICK_S, self._return_tick)

    def _return_tick(self) -> None:
        self._tick_scheduled = False
        self._send(self.holding.on_tick(time.monotonic()))

    # What the node learns.

    def on_tick(self, now: float) -> None:
        """Lets time pass for the decisions."""
        frozen = now - self._ticked_at
        self._ticked_at = now
        if frozen >= FROZEN_S:
            self._unheard_since += frozen
        self._note_predecessor(now)
        self._send(self.holding.on_tick(now))
        self._announce(now)

    def _note_predecessor(self, now: float) -> None:
        """Takes over whether a predecessor may have served the target."""
        first = not self.node.joining.succeeds(now)
        if first is self.holding.startup.no_predecessor:
            return
        self.holding.startup.no_predecessor = first
        predecessor = self.node.gossiper.tombstones.predecessor
        loguru.logger.bind(
            first=first,
            viewed=self.node.joining.viewed,
            incarnation=predecessor.incarnation if predecessor else None,
            state=predecessor.state.name.lower() if predecessor else None,
            health=predecessor.health.name.lower() if predecessor else None,
        ).info("predecessor")

    def on_routes(self, table: routes.RoutingTable, now: float) -> None:
        """Keeps the routes for balancers that start while the store is away."""

    def on_members(self, changes: list[members.Change], now: float) -> None:
        """Does nothing: a side process places no flows."""
