"""Placement of new flows on the target with the lowest reported load.

The balancer queries some targets for the load that a new flow would meet, and
sends the opening packet to the one that would finish soonest.
"""

import collections.abc

from clementinelead.relays import admission
from clementinelead.relays import backlogs
from clementinelead.relays import directory
from clementinelead.relays import formats
from clementinelead.relays import frames
from clementinelead.relays import further_queries
from clementinelead.relays import load_queries
from clementinelead.relays import outcomes
from clementinelead.relays import pending_flows
from clementinelead.relays import refusals
from clementinelead.relays import routes
from clementinelead.relays import zone_spill
from clementinelead.telemetry import counters

__all__ = ["Placer"]

LOAD_REPLY_GRACE_S = 0.008
"""Time that further load replies have after the first one, seconds.

Two round trips between availability zones plus some processing time.
"""

ACCEPT_TIMEOUT_S = 0.08
"""Time in which a chosen target must answer the opening packet, seconds."""

_Kind = frames.Kind
_Address = tuple[str, int]


class Placer:
    """Places new flows, and holds back those that no target accepts yet."""

    def __init__(
        self,
        packet_format: formats.PacketFormat,
        targets: directory.Directory,
        counts: counters.CounterSet,
        report: collections.abc.Callable[[outcomes.Decision], None],
        search: refusals.Search,
        further: further_queries.FurtherQueries,
        zone_spill_share: float = 0.0,
    ):
        """Creates a placer without pending flows.

        Args:
            packet_format: Format of the callers' packets.
            targets: The targets of all services.
            counts: Receives the counts of decisions by cause.
            report: Called with each decision, for the log.
            search: Searches for a flow that may be open, as
                ``searching.Searcher.search`` does.
            further: Chooses the flows that get further load queries.
            zone_spill_share: Share of a route's objective up to which flows
                stay in the balancer's zone, 0 for no preference.
        """
        self._zone = zone_spill.ZonePreference(zone_spill_share)
        self._directory = targets
        self._counts = counts
        self._further = further
        self._refuser = refusals.Refuser(packet_format, counts, report, search)
        self._placement_by_key: dict[bytes, pending_flows.Placement] = {}
        self._queries = load_queries.LoadQueries(targets, counts)
        self._admission = admission.Admission(
            packet_format, counts, self._refuser.report_placement
        )

    def set_backlogged(self, backlogged: bool) -> None:
        """Sets whether packets queue up faster than they are handled.

        Args:
            backlogged: Whether this balancer has a backlog of packets; it then
                reuses older loads instead of querying targets.
        """
        self._queries.recent.backlogged = backlogged

    def set_routes(self, table: routes.RoutingTable) -> None:
        """Applies the routes in force: version for the log, and priorities.

        Args:
            table: The routes.
        """
        self._refuser.version = table.version
        self._admission.set_routes(table)

    @property
    def busy(self) -> bool:
        """Whether any flow is pending."""
        return bool(self._placement_by_key)

    def open(
        self,
        segment: formats.Segment,
        route: routes.Route,
        data: bytes,
        now: float,
        may_be_open: bool,
    ) -> list[outcomes.Outcome]:
        """Starts the placement of a new flow; ignores retransmissions of it.

        Args:
            segment: Header of the opening packet.
            route: Route of the flow.
            data: The opening packet.
            now: Present time, seconds.
            may_be_open: Whether the flow may be open already: it was placed
                before and its target does not reply, or the packet may have
                been queued for long.

        Returns:
            The datagrams and packets to send.
        """
        key = segment.key
        if key in self._placement_by_key:
            self._counts.add("opening_repeated")
            return []
        placement = pending_flows.new_placement(
            segment, route, data, now, may_be_open
        )
        placement.deadline = now + load_queries.LOAD_REPLY_TIMEOUT_S
        self._placement_by_key[key] = placement
        self._further.add_flow(placement.service, now)
        if self._admission.delays(key, placement, now):
            return []
        if self._queries.use_recent(key, placement, now):
            return self._send_to_best(key, placement, now)
        queries = self._queries.query_targets(key, placement, now)
        return queries or self._query_or_hold(key, placement, now)

    def on_load(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Handles a target's reply to a load query.

        Args:
            frame: The reply.
            source: Address of the target's side process.
            now: Present time, seconds.

        Returns:
            The datagrams and packets to send.
        """
        self._queries.record_reply(frame, source, now)
        placement = self._placement_by_key.get(frame.key)
        if placement is None or source not in placement.awaiting_reply:
            self._directory.overload.record_late_reply()
        if placement is None or placement.chosen is not None:
            return []
        if source not in placement.queried:
            return []
        self._admission.record_answer(placement, frame.value, now)
        if placement.rests:
            return self._on_late_load(frame, source, placement, now)
        placement.awaiting_reply.discard(source)
        placement.load_by_address[source] = frame.value
        if frame.kind is _Kind.BUSY:
            placement.busy.add(source)
        if not placement.awaiting_reply:
            return self._send_to_best(frame.key, placement, now)
        placement.deadline = min(placement.deadline, now + LOAD_REPLY_GRACE_S)
        return []

    def _on_late_load(
        self,
        frame: frames.Frame,
        source: _Address,
        placement: pending_flows.Placement,
        now: float,
    ) -> list[outcomes.Outcome]:
        """Handles a reply to a held flow, which queries no target meanwhile.

        The flow is sent to the target if that has room, unless it yields to a
        flow of a higher priority. Otherwise its pause goes on.
        """
        if frame.kind is _Kind.BUSY or self._admission.yields(placement, now):
            return []
        placement.load_by_address[source] = frame.value
        if self._best(placement, now) is None:
            del placement.load_by_address[source]
            return []
        return self._send(frame.key, placement, source, now)

    def _best(
        self, placement: pending_flows.Placement, now: float
    ) -> _Address | None:
        """Returns the best target that has replied, None without any."""
        return self._zone.choose(
            placement, self._directory.same_zone, self._directory.evacuated, now
        )

    def _send_to_best(
        self, key: bytes, placement: pending_flows.Placement, now: float
    ) -> list[outcomes.Outcome]:
        """Sends the opening packet to the best target that has replied."""
        placement.paused = False
        address = self._best(placement, now)
        if address is None:
            return self._query_or_hold(key, placement, now)
        queries = self._query_further(key, placement, address, now)
        return queries or self._send(key, placement, address, now)

    def _send(
        self,
        key: bytes,
        placement: pending_flows.Placement,
        address: _Address,
        now: float,
    ) -> list[outcomes.Outcome]:
        """Sends the opening packet to a target that has replied."""
        placement.paused = False
        same_zone = self._directory.same_zone
        zone_outcome = self._zone.outcome(placement, address, same_zone)
        if zone_outcome is not None:
            self._counts.add(zone_outcome)
        placement.chosen = address
        placement.tried.append(address)
        placement.delivered_to.add(address)
        self._queries.recent.add_placement(address)
        placement.deadline = now + ACCEPT_TIMEOUT_S
        self._directory.responsiveness.record_query(address, now)
        self._refuser.report_placement(key, placement, "sent", now)
        message = frames.encode(
            _Kind.PLACE,
            placement.number,
            key,
            placement.packet,
            placement.remaining_ms(now),
        )
        return [outcomes.ToPeer(address, message)]

    def _query_further(
        self,
        key: bytes,
        placement: pending_flows.Placement,
        address: _Address,
        now: float,
    ) -> list[outcomes.Outcome]:
        """Returns load queries to further targets, if the flow gets them."""
        # A backlogged balancer spares its processor time.
        if (
            self._queries.recent.backlogged
            or not self._further.is_candidate(placement, address, now)
            or not self._queries.has_unqueried(placement)
            or not self._further.asks_further(placement, now)
        ):
            return []
        queries = self._queries.query_targets(key, placement, now)
        self._refuser.report_placement(key, placement, "asked further", now)
        return queries

    def _query_or_hold(
        self, key: bytes, placement: pending_flows.Placement, now: float
    ) -> list[outcomes.Outcome]:
        """Handles a flow that no target with a known load accepts now.

        Queries further targets if there are any. Otherwise holds the flow and
        queries all again after a delay, or gives up if no target can accept.
        """
        placement.chosen = None
        queries = self._queries.query_targets(key, placement, now)
        if queries:
            return queries
        if placement.awaiting_reply:
            placement.deadline = now + load_queries.LOAD_REPLY_TIMEOUT_S
            return []
        if not (
            placement.busy
            or placement.timed_out
            or self._queries.may_become_ready(placement)
        ):
            return self._give_up(key, placement, now)
        self._counts.add("held_back")
        placement.start_pause(now)
        self._admission.hold(key, placement, now)
        return []

    def on_accepted(self, key: bytes, now: float) -> None:
        """Ends the placement of a flow whose opening packet was answered.

        Args:
            key: Flow key.
            now: Present time, seconds.
        """
        placement = self._placement_by_key.pop(key, None)
        if placement is not None:
            self._counts.add("placed")
            self._admission.record_placed(placement, now)

    def on_deferred(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Tries another target: the chosen one became busy after its reply.

        Args:
            frame: The side process's answer, with the target's load.
            source: Address of the side process.
            now: Present time, seconds.

        Returns:
            The datagrams and packets to send.
        """
        placement = self._placement_by_key.get(frame.key)
        if placement is None or placement.chosen != source:
            return []
        placement.busy.add(source)
        self._admission.record_answer(placement, frame.value, now)
        return self._try_another(frame, placement, frame.value, now)

    def on_refused(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Tries another target: the chosen one refused the opening packet.

        Args:
            frame: The side process's answer.
            source: Address of the side process.
            now: Present time, seconds.

        Returns:
            The datagrams and packets to send.
        """
        placement = self._placement_by_key.get(frame.key)
        if placement is None or placement.chosen != source:
            return []
        load = frames.NOT_ACCEPTING
        return self._try_another(frame, placement, load, now)

    def _try_another(
        self,
        frame: frames.Frame,
        placement: pending_flows.Placement,
        load: int,
        now: float,
    ) -> list[outcomes.Outcome]:
        """Chooses again: the packet did not reach the chosen target."""
        assert placement.chosen is not None, "placement has a chosen target"
        self._queries.recent.discard(placement.chosen)
        placement.delivered_to.discard(placement.chosen)
        placement.load_by_address[placement.chosen] = load
        placement.chosen = None
        return self._send_to_best(frame.key, placement, now)

    def on_tick(self, now: float) -> list[outcomes.Outcome]:
        """Handles the flows whose deadline has passed.

        Args:
            now: Present time, seconds.

        Returns:
            The datagrams and packets to send.
        """
        sends: list[outcomes.Outcome] = []
        self._admission.update_due(self._placement_by_key.values())
        for key, placement in list(self._placement_by_key.items()):
            if now >= placement.deadline:
                sends.extend(self._on_deadline(key, placement, now))
        return sends

    def _on_deadline(
        self, key: bytes, placement: pending_flows.Placement, now: float
    ) -> list[outcomes.Outcome]:
        if placement.is_expired(now):
            return self._give_up(key, placement, now)
        if placement.refusing:
            estimate = self._admission.refuses(placement, now)
            if estimate is not None:
                return self._give_up(key, placement, now, estimate)
        if placement.paused and self._admission.postpones(key, placement, now):
            return []
        if placement.chosen is not None:
            self._counts.add("accept_overdue")
            self._refuser.report_placement(key, placement, "not answered", now)
            placement.chosen = None
        # Missing replies are still accepted, but no longer delay the choice.
        for address in placement.awaiting_reply:
            self._directory.overload.record_timeout(address, now)
        placement.timed_out |= placement.awaiting_reply
        placement.awaiting_reply.clear()
        return self._send_to_best(key, placement, now)

    def _give_up(
        self,
        key: bytes,
        placement: pending_flows.Placement,
        now: float,
        estimate: backlogs.Estimate | None = None,
    ) -> list[outcomes.Outcome]:
        """Ends a placement, see ``refusals.Refuser.give_up``."""
        del self._placement_by_key[key]
        self._admission.release(placement)
        return self._refuser.give_up(key, placement, now, estimate)

    def refuse(
        self, segment: formats.Segment, cause: str, inputs: dict[str, object]
    ) -> outcomes.Outcome:
        """Refuses a new flow, see ``refusals.Refuser.refuse``."""
        return self._refuser.refuse(segment, cause, inputs)
