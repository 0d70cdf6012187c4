"""The decisions of a balancer before targets that answer for themselves.

A packet of a flow that the cache knows goes to the flow's side process. An
opening packet is placed: some targets are asked what a new flow would cost,
and one of those that would be done soonest gets it. For any other packet the
side processes are asked who holds the flow. The cache is a convenience: a
balancer that has just started finds the flows again.
"""

import collections.abc

from clementinelead.relays import candidates
from clementinelead.relays import directory
from clementinelead.relays import flow_cache
from clementinelead.relays import formats
from clementinelead.relays import former_services
from clementinelead.relays import frames
from clementinelead.relays import opening_retransmissions
from clementinelead.relays import outcomes
from clementinelead.relays import placing
from clementinelead.relays import routes
from clementinelead.relays import searching
from clementinelead.telemetry import counters

__all__ = ["Steering"]

EXPIRY_INTERVAL_S = 1.0
STALE_PACKET_WINDOW_S = 0.2
"""Time after a freeze in which old packets may come, seconds.

What has waited in a socket's buffer is read within some tens of milliseconds.
"""

_Kind = frames.Kind
_Address = tuple[str, int]


class Steering:
    """Decides about each packet of a caller and each answer of a peer.

    Attributes:
        table: Routes in force.
        counts: Decisions by outcome.
        former: Services that the routes no longer name.
    """

    def __init__(
        self,
        packet_format: formats.PacketFormat,
        report: collections.abc.Callable[[outcomes.Decision], None],
        zone: str,
        former: former_services.FormerServices,
    ):
        """Starts without routes and targets.

        Args:
            packet_format: Format of the callers' packets.
            report: Gets each decision for the log.
            zone: Availability zone of this balancer.
            former: Services that routes no longer name.
        """
        self.table = routes.EMPTY
        self.former = former
        self.counts = counters.CounterSet()
        self._format = packet_format
        self._by_address: dict[bytes, routes.Route] = {}
        self._directory = directory.Directory(zone)
        self._cache = flow_cache.FlowCache()
        self._searcher = searching.Searcher(
            packet_format, self._directory, former, self.counts, report
        )
        self._placer = placing.Placer(
            packet_format,
            self._directory,
            self.counts,
            report,
            self._searcher.search,
        )
        # What waited in the socket during the start may be late copies too.
        self._active_at = float("-inf")
        self._doubted_until = float("-inf")
        self._next_expiry = 0.0

    # What the process learns.

    def set_routes(self, table: routes.RoutingTable) -> None:
        """Takes over the routes of a newer version.

        Args:
            table: The routes.
        """
        if table.version <= self.table.version:
            return
        self.table = table
        self._by_address = table.by_address
        self._placer.version = table.version

    def set_targets(
        self, service: str, targets: tuple[candidates.Target, ...]
    ) -> None:
        """Takes over the targets of a service.

        Args:
            service: Name of the service.
            targets: Targets whose side processes live.
        """
        self._directory.set_targets(service, targets)

    def set_complete_from(self, moment: float) -> None:
        """Takes over from when on all side processes are known.

        Args:
            moment: That time, seconds; infinite if it is not known.
        """
        self._directory.complete_from = moment

    def set_denials_conclusive_from(self, moment: float) -> None:
        """Takes over from when on denials by all known ones are enough.

        Args:
            moment: That time, seconds; infinite if it is not known.
        """
        self._directory.denials_conclusive_from = moment

    def set_backlogged(self, behind: bool) -> None:
        """Takes over whether this balancer has more to do than it can.

        Args:
            behind: Whether packets wait for long before they are handled.
        """
        self._placer.set_backlogged(behind)

    @property
    def cached_flow_count(self) -> int:
        """Flows in the cache."""
        return len(self._cache.by_key)

    # Packets of callers.

    def on_packet(self, data: bytes, now: float) -> list[outcomes.Outcome]:
        """Returns what to do with a caller's packet.

        Args:
            data: The packet.
            now: Present time, seconds.
        """
        return self.on_segment(self._format.from_caller(data), data, now)

    def on_segment(
        self, segment: formats.Segment | None, data: bytes, now: float
    ) -> list[outcomes.Outcome]:
        """Returns what to do with a caller's packet that has been parsed.

        Args:
            segment: Header of the packet, None if it is malformed.
            data: The packet.
            now: Present time, seconds.
        """
        self._note_activity(now)
        if segment is None or segment.accepts or segment.returned:
            self.counts.add("malformed")
            return []
        flow = self._cache.by_key.get(segment.key)
        if flow is not None:
            return self._follow(flow, segment, data, now)
        if segment.opens:
            return self._open(segment, data, now, now < self._doubted_until)
        self._find(segment, data, now)
        return []

    def _note_activity(self, now: float) -> None:
        """Notices that this process has been frozen.

        Packets that have waited meanwhile may be late copies.
        """
        if (
            now - self._active_at
            >= opening_retransmissions.FIRST_RETRANSMISSION_S
        ):
            self._doubted_until = now + STALE_PACKET_WINDOW_S
        self._active_at = now

    def _follow(
        self,
        flow: flow_cache.CachedFlow,
        segment: formats.Segment,
        data: bytes,
        now: float,
    ) -> list[outcomes.Outcome]:
        """Sends a packet to the side process that holds its flow."""
        if segment.opens:
            if flow.closing or self._directory.responsiveness.is_suspect(
                flow.owner(), now
            ):
                self._cache.discard(segment.key)
                return self._open(segment, data, now, not flow.closing)
        elif not flow.owner_confirmed and not segment.resets:
            if not flow.confirm_owner(segment.acknowledgement):
                self.counts.add("opened_elsewhere")
                self._cache.discard(segment.key)
                self._find(segment, data, now)
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
        """Places a new flow, or refuses one that no route allows.

        Denials of before are no news about a flow that may open now.
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

    def _find(self, segment: formats.Segment, data: bytes, now: float) -> None:
        """Searches for the owner of a flow."""
        address = self._format.service_address(segment.key)
        route = self._by_address.get(address)
        shares = route.shares if route is not None else ()
        services = frozenset(share.service for share in shares)
        self._searcher.search(segment, services, data, now)

    # Answers of peers and the passing of time.

    def on_frame(
        self, data: bytes, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Returns what to do with a side process's datagram.

        Args:
            data: The datagram.
            source: Address that it came from.
            now: Present time, seconds.
        """
        frame = frames.decode(data)
        if frame is None:
            self.counts.add("malformed_frame")
            return []
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
        """Remembers the target that has answered an opening packet."""
        self._placer.on_accepted(frame.key)
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
        """Remembers the owner that a search has found."""
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
        """Searches anew for a flow whose packet a target has returned."""
        searched = self._searcher.on_returned(frame.key, source, now)
        if searched is not None:
            return searched
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
        self._find(segment, frame.payload, now)
        return []

    # The passing of time.

    @property
    def busy(self) -> bool:
        """Whether ``on_tick`` is to be called every few milliseconds."""
        return self._placer.busy or self._searcher.busy

    def on_tick(self, now: float) -> list[outcomes.Outcome]:
        """Returns what to do because time has passed.

        Args:
            now: Present time, seconds.
        """
        self._note_activity(now)
        sends = self._placer.on_tick(now) + self._searcher.on_tick(now)
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_INTERVAL_S
            self._expire(now)
        return sends

    def _expire(self, now: float) -> None:
        self._cache.expire(now, self.table.idle_timeout_s)
        self._searcher.expire(now)
