"""Decisions of a balancer about packets of callers and replies of peers.

A packet of a flow with a cache entry goes to the flow's side process. An
opening packet starts a placement: some targets are queried for the load that
a new flow would meet, and one that would finish soonest gets the flow. For any
other packet the side processes are queried for the owner of the flow. Cache
entries can always be rebuilt: a restarted balancer finds the flows by queries.
"""

import collections.abc

from clementinelead.relays import candidates
from clementinelead.relays import directory
from clementinelead.relays import flow_cache
from clementinelead.relays import formats
from clementinelead.relays import former_services
from clementinelead.relays import frames
from clementinelead.relays import further_queries
from clementinelead.relays import outcomes
from clementinelead.relays import overload
from clementinelead.relays import placing
from clementinelead.relays import routes
from clementinelead.relays import searching
from clementinelead.relays import stale_packets
from clementinelead.relays import zone_spill
from clementinelead.telemetry import counters

__all__ = ["Steering"]

EXPIRY_INTERVAL_S = 1.0

_Kind = frames.Kind
_Address = tuple[str, int]


class Steering:
    """Decides on each packet of a caller and each reply of a side process.

    Attributes:
        table: Routes in force.
        counts: Counts of decisions by cause.
        former: Services that the routes no longer name.
    """

    def __init__(
        self,
        packet_format: formats.PacketFormat,
        report: collections.abc.Callable[[outcomes.Decision], None],
        zone: str,
        former: former_services.FormerServices,
        *,
        zone_spill_share: float = 0.0,
        further_queries_share: float = 0.0,
    ):
        """Creates a balancer without routes and targets.

        Args:
            packet_format: Format of the callers' packets.
            report: Called with each decision, for the log.
            zone: Availability zone of this balancer.
            former: Services that routes no longer name.
            zone_spill_share: Share of a route's objective up to which flows
                stay in the balancer's zone, 0 for no preference.
            further_queries_share: Largest share of the new flows of a service
                for which further targets are asked for their load, 0 for none.
        """
        self.table = routes.EMPTY
        self.former = former
        self.counts = counters.CounterSet()
        self._format = packet_format
        self._by_address: dict[bytes, routes.Route] = {}
        self._directory = directory.Directory(
            zone, zone_spill.queried_in_zone(zone_spill_share)
        )
        self._cache = flow_cache.FlowCache()
        self._stale_packets = stale_packets.StalePackets()
        self._searcher = searching.Searcher(
            packet_format,
            self._directory,
            former,
            self.counts,
            report,
            self._stale_packets,
        )
        self._placer = placing.Placer(
            packet_format,
            self._directory,
            self.counts,
            report,
            self._searcher.search,
            further_queries.FurtherQueries(further_queries_share, self.counts),
            zone_spill_share,
        )
        self._next_expiry = 0.0

    # Inputs from the process.

    def set_routes(self, table: routes.RoutingTable) -> None:
        """Replaces the routes, unless they are not newer than those in force.

        Args:
            table: The routes.
        """
        if table.version <= self.table.version:
            return
        self.table = table
        self._by_address = table.by_address
        self._placer.set_routes(table)

    def set_targets(
        self, service: str, targets: tuple[candidates.Target, ...]
    ) -> None:
        """Replaces the targets of a service.

        Args:
            service: Name of the service.
            targets: Targets whose side processes are alive.
        """
        self._directory.set_targets(service, targets)

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Replaces the zones whose targets get no new flows.

        Args:
            zones: Names of the evacuated zones.
        """
        self._directory.set_evacuated_zones(zones)

    def set_complete_from(
        self, moment: float, some_missing: bool = False
    ) -> None:
        """Sets the time from which the directory has all side processes.

        Args:
            moment: That time, seconds; infinite while undetermined.
            some_missing: Whether a few of before were not in service then.
        """
        self._directory.complete_from = moment
        self._directory.some_missing = some_missing

    def set_denials_conclusive_from(self, moment: float) -> None:
        """Sets the time from which unanimous denials prove a flow lost.

        From then on, a flow is lost if all side processes in the directory
        reply with certainty that they don't hold it.

        Args:
            moment: That time, seconds; infinite while undetermined.
        """
        self._directory.denials_conclusive_from = moment

    def set_backlogged(self, backlogged: bool) -> None:
        """Sets whether this balancer has a backlog of packets.

        Args:
            backlogged: Whether packets wait for long before they are handled.
        """
        self._placer.set_backlogged(backlogged)

    @property
    def overload(self) -> overload.Overload:
        """Whether this balancer should leave the fabric's rotation."""
        return self._directory.overload

    @property
    def cached_flow_count(self) -> int:
        """Number of flows with a cache entry."""
        return len(self._cache.by_key)

    # Packets of callers.

    def on_packet(self, data: bytes, now: float) -> list[outcomes.Outcome]:
        """Handles a caller's packet.

        Args:
            data: The packet.
            now: Present time, seconds.

        Returns:
            The datagrams and packets to send.
        """
        return self.on_segment(self._format.from_caller(data), data, now)

    def on_segment(
        self, segment: formats.Segment | None, data: bytes, now: float
    ) -> list[outcomes.Outcome]:
        """Handles a caller's packet that has been parsed.

        Args:
            segment: Header of the packet, None if it is malformed.
            data: The packet.
            now: Present time, seconds.

        Returns:
            The datagrams and packets to send.
        """
        self._stale_packets.note_activity(now)
        if segment is None or segment.accepts or segment.returned:
            self.counts.add("malformed")
            return []
        flow = self._cache.by_key.get(segment.key)
        if flow is not None:
            return self._forward(flow, segment, data, now)
        if segment.opens:
            may_be_open = self._stale_packets.is_possible(now)
            return self._open(segment, data, now, may_be_open)
        self._search(segment, data, now)
        return []

    def _forward(
        self,
        flow: flow_cache.CachedFlow,
        segment: formats.Segment,
        data: bytes,
        now: float,
    ) -> list[outcomes.Outcome]:
        """Forwards a packet to the side process in the flow's cache entry.

        The entry is dropped if it may be outdated: an opening packet is placed
        again if the flow is closing or its side process is suspected, or its
        zone has been evacuated. A packet whose acknowledgement matches no
        cached owner starts a search.
        """
        if segment.opens:
            owner = flow.owner()
            suspect = self._directory.responsiveness.is_suspect(owner, now)
            if flow.closing or suspect or owner in self._directory.evacuated:
                self._cache.discard(segment.key)
                return self._open(segment, data, now, not flow.closing)
        elif not flow.owner_confirmed and not segment.resets:
            if not flow.confirm_owner(segment.acknowledgement):
                self.counts.add("opened_elsewhere")
                self._cache.discard(segment.key)
                self._search(segment, data, now)
                return []
        flow.last_packet_at = now
        if segment.closes or segment.resets:
            flow.closing = True
        self.counts.add("followed")
        kind = _Kind.PLACE if segment.opens else _Kind.PACKET
        message = frames.encode(kind, flow.service, segment.key, data)
        return [outcomes.ToPeer(flow.owner(), message)]

    def _open(
        self,
        segment: formats.Segment,
        data: bytes,
        now: float,
        may_be_open: bool,
    ) -> list[outcomes.Outcome]:
        """Places a new flow, or refuses one without a route.

        Cancels a search for the flow first: replies that denied it are
        outdated once it may open.
        """
        self._searcher.cancel(segment.key)
        address = self._format.service_address(segment.key)
        route = self._by_address.get(address)
        if route is not None:
            return self._placer.open(segment, route, data, now, may_be_open)
        if self.table.version == 0:
            self.counts.add("no_configuration")
            return []
        return [self._placer.refuse(segment, "no route", {})]

    def _search(
        self, segment: formats.Segment, data: bytes, now: float
    ) -> None:
        """Searches for the owner of a flow among its route's services."""
        address = self._format.service_address(segment.key)
        route = self._by_address.get(address)
        shares = route.shares if route is not None else ()
        services = frozenset(share.service for share in shares)
        self._searcher.search(segment, services, data, now)

    # Replies of peers.

    def on_frame(
        self, data: bytes, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Handles a datagram of a side process.

        Args:
            data: The datagram.
            source: Address of the side process.
            now: Present time, seconds.

        Returns:
            The datagrams and packets to send.
        """
        frame = frames.decode(data)
        if frame is None:
            self.counts.add("malformed_frame")
            return []
        self._directory.overload.record_reply(source, now)
        if self._directory.responsiveness.record_reply(source):
            self.counts.add("suspect_answered")
        match frame.kind:
            case _Kind.LOAD | _Kind.BUSY:
                return self._placer.on_load(frame, source, now)
            case _Kind.ACCEPTED:
                return self._on_accepted(frame, source, now)
            case _Kind.DEFERRED:
                return self._placer.on_deferred(frame, source, now)
            case _Kind.REFUSED:
                return self._placer.on_refused(frame, source, now)
            case _Kind.HELD:
                return self._on_held(frame, source, now)
            case _Kind.ABSENT | _Kind.UNSURE:
                return self._searcher.on_absent(frame, source, now)
            case _Kind.NOT_HELD:
                return self._on_not_held(frame, source, now)
        self.counts.add("foreign_frame")
        return []

    def _on_accepted(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Caches the target that has answered an opening packet as an owner."""
        self._placer.on_accepted(frame.key, now)
        flow = self._cache.by_key.get(frame.key)
        if flow is None or flow.closing:
            owners: list[tuple[_Address, int | None]] = [(source, frame.value)]
            cached = flow_cache.CachedFlow(frame.service, owners, now, now)
            self._cache.put(frame.key, cached)
        elif not flow.owner_confirmed:
            flow.add_owner(source, frame.value)
        return []

    def _on_held(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Caches the owners that searches have found; sends queued packets."""
        sends: list[outcomes.Outcome] = []
        for found in self._searcher.on_held(frame, source, now):
            flow = flow_cache.CachedFlow(
                found.service,
                [(found.owner, None)],
                now,
                now,
                owner_confirmed=True,
            )
            self._cache.put(found.key, flow)
            sends.extend(found.datagrams)
        return sends

    def _on_not_held(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Searches for a flow whose packet a target has returned."""
        sends = self._searcher.on_returned(frame.key, source, now)
        if sends is not None:
            return sends
        flow = self._cache.by_key.get(frame.key)
        if flow is not None:
            if flow.owner() != source:
                return []
            self._cache.discard(frame.key)
            if flow.closing:
                return []
        segment = self._format.from_caller(frame.payload)
        if segment is None or segment.key != frame.key:
            self.counts.add("malformed_frame")
            return []
        self._search(segment, frame.payload, now)
        return []

    # Timers.

    @property
    def busy(self) -> bool:
        """Whether ``on_tick`` must be called every few milliseconds."""
        return self._placer.busy or self._searcher.busy

    def on_tick(self, now: float) -> list[outcomes.Outcome]:
        """Handles expired timers of placements, searches and cache entries.

        Args:
            now: Present time, seconds.

        Returns:
            The datagrams and packets to send.
        """
        self._stale_packets.note_activity(now)
        sends = self._placer.on_tick(now) + self._searcher.on_tick(now)
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_INTERVAL_S
            self._expire(now)
        return sends

    def _expire(self, now: float) -> None:
        self._cache.expire(now, self.table.idle_timeout_s)
        self._searcher.expire(now)
        self._directory.expire()
