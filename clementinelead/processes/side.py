"""Side process: accepts, delivers and forwards the flows of one target."""

import asyncio
import collections.abc
import socket
import time

import loguru
import typer

from clementinelead import exceptions
from clementinelead.configurations import adoption
from clementinelead.configurations import models as config_models
from clementinelead.flows import decisions
from clementinelead.flows import loads
from clementinelead.flows import tables
from clementinelead.memberships import members
from clementinelead.memberships import records
from clementinelead.messages import controls
from clementinelead.placements import forwarding
from clementinelead.placements import targets
from clementinelead.processes import contacts
from clementinelead.processes import flow_messages
from clementinelead.processes import load_reports
from clementinelead.processes import node as node_module
from clementinelead.processes import packet_path
from clementinelead.processes import runtime
from clementinelead.processes import side_status
from clementinelead.processes import sockets
from clementinelead.processes import target_lifecycle
from clementinelead.settings import models as settings_models
from clementinelead.stores import consul
from clementinelead.telemetry import logs

__all__ = ["Side", "main"]

TICK_INTERVAL_S = 0.02
"""Interval at which expired flows, pauses and drains are checked, seconds."""

FLUSH_INTERVAL_S = 1.0
"""Interval at which due renewals and retries are sent, seconds."""

REBUILD_DELAY_S = 0.02
"""Time during which several changes share one rebuild, seconds."""

PAUSE_THRESHOLD_S = 1.0
"""Time without a tick that counts as a pause of the process, seconds."""

DEAD_OWNER_GRACE_S = 120.0
"""Time during which a dead target may return with its flows, seconds."""

JOIN_RETRY_DELAY_S = 0.1
"""Delay before the known balancers are tried again, seconds."""


class Side(node_module.Subscriber):
    """Connects the flow decisions to sockets, peers and the target.

    Attributes:
        estimate: Estimate of the target's load.
        decider: Decides about packets and holds the flows.
        node: Gossip, configuration and HTTP of this process.
        life: State of the target.
    """

    def __init__(self, settings: settings_models.SideSettings):
        now = time.monotonic()
        target = settings.target
        self._settings = settings
        self._services = target.services
        self.estimate = loads.LoadEstimate(
            loads.Limits(
                slots=target.slots,
                connections=target.connections,
                cold_start_s=target.cold_start_s,
            ),
            now,
        )
        node = settings.node
        self.decider = decisions.Decider(
            node.id,
            (node.address, node.data_port),
            self.estimate,
            tables.Timeouts(),
        )
        self.node = node_module.Node(
            settings.node,
            settings.cluster,
            records.Role.SIDE,
            target.services,
            target.weight,
            self,
        )
        self.life = target_lifecycle.TargetLifecycle(target.cold_start_s)
        self._messages = flow_messages.FlowMessages(self.node, self.decider)
        self._placement_log = packet_path.PlacementLog(
            settings.logs.placements_per_s
        )
        self._placement_log.add_target(node.id)
        self._packet_path = packet_path.PacketPath(
            self.decider,
            self._messages,
            self,
            self._placement_log,
            settings_models.parse_endpoint(target.endpoint),
            settings_models.parse_endpoint(target.egress),
        )
        self._last_tick = now
        self._targets = targets.TargetIndex()
        self._related_services = frozenset(self._services)
        self._rebuild_scheduled = False
        side_status.SideStatus(
            self.node, self.decider, self._packet_path, self.life
        )

    async def run(self, stopping: asyncio.Event) -> None:
        """Runs until a stop is requested.

        The target's flows outlive this process: its peers hold registrations
        of them, from which the process that replaces it recovers them.

        Args:
            stopping: Set when the process is to stop.

        Raises:
            OSError: A port is in use.
            exceptions.TaskFailedError: A background task failed.
        """
        await self.node.start(stopping)
        try:
            loop = asyncio.get_running_loop()
            node = self._settings.node
            transport, _ = await loop.create_datagram_endpoint(
                lambda: self._packet_path,
                local_addr=(node.address, node.data_port),
                family=socket.AF_INET,
            )
            sockets.enlarge_transport_buffers(transport)
            self.node.spawn(self._tick_forever())
            self.node.spawn(self._join())
            self._find_contacts()
            if self._settings.target.load_url:
                poller = load_reports.LoadReportPoller(
                    self.node.session,
                    self._settings.target.load_url,
                    self.estimate,
                )
                self.node.spawn(poller.run())
            loguru.logger.info("side process started")
            await stopping.wait()
            if self.life.state != "leaving":
                await self._messages.wait_for_acknowledgements()
            transport.close()
        finally:
            await self.node.stop()
        loguru.logger.info("side process stopped")

    # Joining.

    def _find_contacts(self) -> None:
        """Starts the search for peers in the store, if there is one."""
        settings = self._settings.store
        if settings is None:
            return
        store = consul.ConsulStore(
            self.node.session, settings.url, settings.timeout_s
        )
        finder = contacts.ContactFinder(self.node, store, settings.prefix)
        self.node.spawn(finder.run())

    async def _join(self) -> None:
        """Fetches members, configuration and own flows, then accepts flows."""
        await self._sync_with_balancer()
        await self._messages.recover_flows(self._related_peers())
        self.decider.acceptor.recovering = False
        self._announce_state()
        self._rebuild()
        loguru.logger.info(
            "joined revision={} flows={}",
            self.node.configuration.revision,
            len(self.decider.flows),
        )
        self.life.start_accepting(time.monotonic())

    async def _sync_with_balancer(self) -> None:
        """Retries until a balancer has sent members and a configuration."""
        while True:
            for peer in self.node.live_balancers():
                try:
                    await self.node.sync_members(peer)
                except exceptions.PeerUnavailableError:
                    continue
                await self.node.fetch_configuration(peer)
                if self.node.configuration.revision > 0:
                    return
            await asyncio.sleep(JOIN_RETRY_DELAY_S)

    def _related_peers(self) -> list[records.Record]:
        """Returns the side processes that may hold flows of this target."""
        return [
            record
            for record in self.node.gossiper.peers()
            if record.role is records.Role.SIDE and self._is_related(record)
        ]

    def _is_related(self, record: records.Record) -> bool:
        """Returns whether a target may share flows with this one."""
        return not self._related_services.isdisjoint(record.services)

    # Timers.

    async def _tick_forever(self) -> None:
        next_flush = 0.0
        while True:
            await asyncio.sleep(TICK_INTERVAL_S)
            now = time.monotonic()
            self.check_pause(now)
            self._last_tick = now
            self.decider.on_tick(now)
            self._messages.schedule_flush()
            if now >= next_flush:
                next_flush = now + FLUSH_INTERVAL_S
                self._messages.flush()
            self._check_drain(now)
            self._check_evacuation()

    def check_pause(self, now: float) -> None:
        """Reports a pause to the decider if this process did not run.

        Args:
            now: Present time, seconds.
        """
        if now - self._last_tick <= PAUSE_THRESHOLD_S:
            return
        loguru.logger.warning(
            "paused for {:.1f} s; first packets are dropped for a moment",
            now - self._last_tick,
        )
        self._last_tick = now
        self.decider.on_pause(now)

    # Draining.

    def _check_drain(self, now: float) -> None:
        """Applies the operators' drain, and leaves when no flow is left."""
        drain = self.node.configuration.drains.get(self._settings.node.id)
        bound_s = self._drain_bound_s(drain) if drain is not None else None
        held = (
            self.estimate.open_flows
            + self.decider.registrar.unacknowledged_count
        )
        if not self.life.update(bound_s, held == 0, now):
            return
        self._announce_state()
        if self.life.state == "draining":
            loguru.logger.info(
                "draining bound_s={} flows={}", bound_s, len(self.decider.flows)
            )

    def _check_evacuation(self) -> None:
        """Applies an evacuation of the own zone to new flows."""
        evacuations = self.node.configuration.evacuations
        evacuation = evacuations.get(self._settings.node.zone)
        evacuated = evacuation is not None
        if evacuated is self.decider.acceptor.evacuated:
            return
        self.decider.acceptor.evacuated = evacuated
        loguru.logger.bind(
            zone=self._settings.node.zone,
            revision=self.node.configuration.revision,
            change=evacuation.author.change if evacuation else None,
        ).info("zone evacuated" if evacuated else "evacuation of zone ended")

    def _drain_bound_s(self, drain: config_models.Drain) -> float:
        entries = self.node.configuration.entry_by_name.values()
        return drain.effective_bound_s(entry.service for entry in entries)

    def _announce_state(self) -> None:
        self.decider.acceptor.state = self.life.state
        self.node.announce(
            state=target_lifecycle.STATE_BY_NAME[self.life.state]
        )
        loguru.logger.info("state={}", self.life.state)

    # Callbacks of the node.

    def load(self) -> controls.TargetLoad:
        """Returns the target's free slots and completion time.

        The completion time is ``loads.NOT_ACCEPTING_MS`` if the target accepts no
        flows.
        """
        now = time.monotonic()
        if self.decider.acceptor.state not in ("cold", "ready"):
            return controls.TargetLoad(0, loads.NOT_ACCEPTING_MS)
        if not self.estimate.check_admission(now, last_resort=True).allowed:
            return controls.TargetLoad(0, loads.NOT_ACCEPTING_MS)
        return controls.TargetLoad(
            self.estimate.free_slots(now), self.estimate.completion_ms(now)
        )

    def on_members(self, changes: list[members.Change], now: float) -> None:
        """Schedules a rebuild if targets of related services changed."""
        for change in changes:
            if self._is_related(change.new):
                self._update_target(change)
                self._schedule_rebuild()
                self._check_restart(change)

    def _update_target(self, change: members.Change) -> None:
        self._placement_log.add_target(change.new.id)
        self._targets.update(change)

    def _check_restart(self, change: members.Change) -> None:
        """Repeats the registrations that a peer lost with its restart."""
        old = change.old
        if old is not None and old.incarnation != change.new.incarnation:
            self.decider.on_resend_request(change.new.id)

    def on_configuration(self, adopted: adoption.Adopted, now: float) -> None:
        """Applies the services in force to the decisions and limits."""
        entries = self.node.configuration.entry_by_name
        self.decider.on_services(
            {
                name: entry.service.endpoint_by_key.keys()
                for name, entry in entries.items()
            },
            frozenset(
                name
                for name, entry in entries.items()
                if entry.ends_at is not None
            ),
        )
        self._add_related_services(
            {
                share.service
                for entry in entries.values()
                for share in entry.service.effective_shares
            }
        )
        self._apply_limits()
        self._schedule_rebuild()

    def _add_related_services(self, names: collections.abc.Set[str]) -> None:
        """Adds the targets of services that share flows with the own ones.

        Targets of services that no longer do are kept, as they may hold flows.
        """
        added = names - self._related_services
        if not added:
            return
        self._related_services |= names
        for record in self.node.gossiper.table.by_id.values():
            if self._is_related(record):
                self._update_target(members.Change(None, record))

    def _apply_limits(self) -> None:
        """Applies the services' shortest waits and slot holds.

        The idle timeouts are the longest of all services.
        """
        services = [
            entry.service
            for entry in self.node.configuration.entry_by_name.values()
        ]
        if not services:
            return
        self.estimate.limits = loads.Limits(
            slots=self._settings.target.slots,
            connections=self._settings.target.connections,
            max_wait_s=min(service.max_wait_s for service in services),
            cold_start_s=self._settings.target.cold_start_s,
        )
        self.decider.flows.timeouts = tables.Timeouts(
            tcp_idle_s=max(service.tcp_idle_s for service in services),
            udp_idle_s=max(service.udp_idle_s for service in services),
            slot_hold_s=min(service.slot_hold_s for service in services),
        )

    def _schedule_rebuild(self) -> None:
        if self._rebuild_scheduled:
            return
        self._rebuild_scheduled = True
        loop = asyncio.get_running_loop()
        loop.call_later(REBUILD_DELAY_S, self._rebuild)

    def _rebuild(self) -> None:
        """Rebuilds the placement table of each service in force."""
        self._rebuild_scheduled = False
        now = time.monotonic()
        membership = self.node.gossiper.table
        entries = self.node.configuration.entry_by_name
        dead_ids = membership.recently_dead_ids(now, DEAD_OWNER_GRACE_S)
        grace_ends = now + DEAD_OWNER_GRACE_S if dead_ids else 0.0
        self.decider.on_dead_owners(dead_ids, grace_ends)
        for name, entry in entries.items():
            previous = self.decider.table(name)
            table = forwarding.build_policy_table(
                entry.service,
                self._targets.groups(entry.service),
                self.node.configuration.revision,
                previous,
            )
            self.decider.on_table(name, table, now)

    def on_control(
        self, control: controls.Control, source: tuple[str, int], now: float
    ) -> None:
        """Handles a peer's load and its message about flows."""
        if control.load is not None:
            self.decider.acceptor.on_load(control.sender, control.load, now)
        self._messages.on_control(control, now)


def _command(
    settings: runtime.SettingsArgument, check: runtime.CheckOption = False
) -> None:
    """Accepts and delivers flows beside one target.

    Exit codes: 0 stopped, 1 failed, 2 wrong settings, 3 a port is taken.
    """
    loaded = runtime.load_settings(
        settings, settings_models.SideSettings, check
    )
    logs.configure(loaded.node.id, loaded.logs.level, loaded.logs.json_lines)
    runtime.run(Side(loaded).run)


def main() -> None:
    """Runs the side process with the settings named on the command line."""
    typer.run(_command)


if __name__ == "__main__":
    main()
