"""Placement of new flows: targets are asked, the one soonest done gets it."""

import collections.abc

from clementinelead.relays import directory
from clementinelead.relays import formats
from clementinelead.relays import frames
from clementinelead.relays import load_queries
from clementinelead.relays import opening_retransmissions
from clementinelead.relays import outcomes
from clementinelead.relays import pending_flows
from clementinelead.relays import routes
from clementinelead.telemetry import counters

__all__ = ["Placer"]

LOAD_REPLY_GRACE_S = 0.008
"""Time given to the others once one target has answered, seconds.

Two round trips between availability zones and some processor time.
"""

ACCEPT_TIMEOUT_S = 0.08
"""Time that a chosen target has to answer the opening packet, seconds."""

HOLD_BACKOFF_FACTOR = 1.5
"""Factor between one such time and the next.

Flows that have just come ask more often, so they go first when a slot gets
free: theirs are the answers that can still be in time.
"""

_Kind = frames.Kind
_Address = tuple[str, int]
_Search = collections.abc.Callable[
    [formats.Segment, frozenset[str], bytes, float], None
]


class Placer:
    """Places new flows, and holds those that no target takes yet."""

    def __init__(
        self,
        packet_format: formats.PacketFormat,
        known: directory.Directory,
        counts: counters.CounterSet,
        report: collections.abc.Callable[[outcomes.Decision], None],
        search: _Search,
    ):
        """Starts with nothing to place.

        Args:
            packet_format: Format of the callers' packets.
            known: The targets.
            counts: Counts decisions by outcome.
            report: Gets each decision for the log.
            search: Searches for a flow that may be open, as
                ``searching.Searcher.find`` does.
        """
        self.version = 0
        self._format = packet_format
        self._directory = known
        self._counts = counts
        self._report = report
        self._search = search
        self._placement_by_key: dict[bytes, pending_flows.Placement] = {}
        self._questions = load_queries.LoadQueries(known, counts)

    def set_backlogged(self, behind: bool) -> None:
        """Takes over whether this balancer has more to do than it can."""
        self._questions.recent.backlogged = behind

    @property
    def busy(self) -> bool:
        """Whether flows wait to be placed."""
        return bool(self._placement_by_key)

    def open(
        self,
        segment: formats.Segment,
        route: routes.Route,
        data: bytes,
        now: float,
        may_be_open: bool,
    ) -> list[outcomes.Outcome]:
        """Begins to place a new flow.

        Args:
            segment: Header of the opening packet.
            route: Route of the flow.
            data: The opening packet.
            now: Present time, seconds.
            may_be_open: Whether the flow was placed before, and its target is
                silent now, or its packet may have waited long.
        """
        key = segment.key
        if key in self._placement_by_key:
            self._counts.add("opening_repeated")
            return []
        service = route.select_service(key)
        placement = pending_flows.Placement(
            route=route,
            service=service,
            number=frames.service_number(service),
            packet=data,
            began_at=now - opening_retransmissions.min_wait_s(segment.copies),
            deadline=now + load_queries.LOAD_REPLY_TIMEOUT_S,
            queried=[],
            awaiting_reply=set(),
            load_by_address={},
            tried=[],
            busy=set(),
            may_be_open=may_be_open or segment.copies > 0,
        )
        self._placement_by_key[key] = placement
        if self._questions.use_recent(key, placement, now):
            return self._decide(key, placement, now)
        asked = self._questions.query_targets(key, placement, now)
        return asked or self._decide_later(key, placement, now)

    def on_load(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Takes a target's answer to the question for its load."""
        self._questions.record_reply(frame, source, now)
        placement = self._placement_by_key.get(frame.key)
        if placement is None or placement.chosen is not None:
            return []
        if source not in placement.queried:
            return []
        placement.awaiting_reply.discard(source)
        placement.load_by_address[source] = frame.value
        if frame.kind is _Kind.BUSY:
            placement.busy.add(source)
        if not placement.awaiting_reply:
            return self._decide(frame.key, placement, now)
        placement.deadline = min(placement.deadline, now + LOAD_REPLY_GRACE_S)
        return []

    def _decide(
        self, key: bytes, placement: pending_flows.Placement, now: float
    ) -> list[outcomes.Outcome]:
        """Sends the opening packet to the best target that has answered."""
        address = pending_flows.best_target(
            placement, self._directory.same_zone
        )
        if address is None:
            return self._decide_later(key, placement, now)
        placement.chosen = address
        placement.tried.append(address)
        placement.delivered_to.add(address)
        self._questions.recent.add_placement(address)
        placement.deadline = now + ACCEPT_TIMEOUT_S
        self._directory.responsiveness.record_query(address, now)
        self._report_decision(key, placement, "sent", now)
        message = frames.encode(
            _Kind.PLACE,
            placement.number,
            key,
            placement.packet,
            placement.remaining_ms(now),
        )
        return [outcomes.ToPeer(address, message)]

    def _decide_later(
        self, key: bytes, placement: pending_flows.Placement, now: float
    ) -> list[outcomes.Outcome]:
        """Goes on where no target that has answered takes the flow now."""
        placement.chosen = None
        asked = self._questions.query_targets(key, placement, now)
        if asked:
            return asked
        if placement.awaiting_reply:
            placement.deadline = now + load_queries.LOAD_REPLY_TIMEOUT_S
            return []
        waits = placement.busy or placement.timed_out
        if not waits and not self._may_come(placement):
            return self._give_up(key, placement, now)
        self._counts.add("held_back")
        placement.load_by_address.clear()
        placement.tried.clear()
        placement.busy.clear()
        placement.timed_out.clear()
        placement.deadline = min(
            now + placement.retry_delay_s, placement.give_up_at
        )
        placement.retry_delay_s *= HOLD_BACKOFF_FACTOR
        return []

    def _may_come(self, placement: pending_flows.Placement) -> bool:
        """Tells whether a target may soon take the flow.

        One that starts or has left a packet unanswered may, and so may those
        of a service of which none is known: all may be starting.
        """
        targets = self._directory.targets(placement.service)
        starting = any(target.starting for target in targets)
        return not targets or starting or bool(placement.tried)

    def on_accepted(self, key: bytes) -> None:
        """Ends a placement: a target has answered the opening packet."""
        if self._placement_by_key.pop(key, None) is not None:
            self._counts.add("placed")

    def on_deferred(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Goes on after a target has become busy since it was asked."""
        placement = self._placement_by_key.get(frame.key)
        if placement is None or placement.chosen != source:
            return []
        placement.busy.add(source)
        return self._turned_down(frame, placement, frame.value, now)

    def on_refused(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Goes on after a target has not taken the opening packet."""
        placement = self._placement_by_key.get(frame.key)
        if placement is None or placement.chosen != source:
            return []
        load = frames.NOT_ACCEPTING
        return self._turned_down(frame, placement, load, now)

    def _turned_down(
        self,
        frame: frames.Frame,
        placement: pending_flows.Placement,
        load: int,
        now: float,
    ) -> list[outcomes.Outcome]:
        """Goes on after the chosen target has not had the opening packet."""
        assert placement.chosen is not None, "a target was chosen"
        self._questions.recent.discard(placement.chosen)
        placement.delivered_to.discard(placement.chosen)
        placement.load_by_address[placement.chosen] = load
        placement.chosen = None
        return self._decide(frame.key, placement, now)

    def on_tick(self, now: float) -> list[outcomes.Outcome]:
        """Goes on with the flows that have waited long enough."""
        sends: list[outcomes.Outcome] = []
        for key, placement in list(self._placement_by_key.items()):
            if now >= placement.deadline:
                sends.extend(self._overdue(key, placement, now))
        return sends

    def _overdue(
        self, key: bytes, placement: pending_flows.Placement, now: float
    ) -> list[outcomes.Outcome]:
        if placement.is_expired(now):
            return self._give_up(key, placement, now)
        if placement.chosen is not None:
            self._counts.add("accept_overdue")
            self._report_decision(key, placement, "not answered", now)
            placement.chosen = None
        # Who has not answered may yet, but the others do not wait for it.
        placement.timed_out |= placement.awaiting_reply
        placement.awaiting_reply.clear()
        return self._decide(key, placement, now)

    def _give_up(
        self, key: bytes, placement: pending_flows.Placement, now: float
    ) -> list[outcomes.Outcome]:
        """Refuses a flow that no target takes; the caller hears at once.

        If the flow may be open by now, it is searched for; the search refuses
        it if all side processes deny it.
        """
        del self._placement_by_key[key]
        segment = self._format.from_caller(placement.packet)
        assert segment is not None, "a placement's packet was parsed before"
        copied = (
            now - placement.began_at
            >= opening_retransmissions.FIRST_RETRANSMISSION_S
        )
        if copied or placement.may_be_open or placement.delivered_to:
            self._report_decision(key, placement, "searched for", now)
            services = frozenset((placement.service,))
            self._search(segment, services, placement.packet, now)
            return []
        inputs: dict[str, object] = {
            "service": placement.service,
            "age_ms": round((now - placement.began_at) * 1000, 1),
        }
        return [self.refuse(segment, "no target accepts", inputs)]

    def refuse(
        self, segment: formats.Segment, cause: str, inputs: dict[str, object]
    ) -> outcomes.Outcome:
        """Returns the reset that tells a caller that its flow is not opened.

        Args:
            segment: Header of the opening packet.
            cause: Why, for the log.
            inputs: What it was decided from.
        """
        self._counts.add("refused")
        inputs = {**inputs, "cause": cause, "version": self.version}
        self._report(
            outcomes.Decision("placement", "refused", segment.key, inputs)
        )
        return outcomes.ToCaller(
            self._format.caller(segment.key), self._format.reset(segment)
        )

    def _report_decision(
        self,
        key: bytes,
        placement: pending_flows.Placement,
        outcome: str,
        now: float,
    ) -> None:
        inputs = {"version": self.version, **placement.log_inputs(now)}
        self._report(outcomes.Decision("placement", outcome, key, inputs))
