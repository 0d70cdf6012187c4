"""The decisions of a balancer before targets that answer for themselves.

A packet of a flow that the cache knows goes to the flow's side process. An
opening packet is placed: some targets are asked what a new flow would cost,
and the one that would be done soonest gets it. For any other packet the side
processes are asked who holds the flow. The cache is a convenience: a balancer
that has just started finds the flows again.
"""

import collections.abc

from clementinelead.relays import candidates
from clementinelead.relays import flow_cache
from clementinelead.relays import formats
from clementinelead.relays import frames
from clementinelead.relays import outcomes
from clementinelead.relays import placing
from clementinelead.relays import responsiveness
from clementinelead.relays import routes
from clementinelead.relays import searching
from clementinelead.telemetry import counters

__all__ = ["Steering"]

EXPIRY_INTERVAL_S = 1.0
RETIRED_ROUTE_S = 90.0
"""Time that the flows of a dropped route can still be found, seconds."""

_Kind = frames.Kind
_Address = tuple[str, int]


class Steering:
    """Decides about each packet of a caller and each answer of a peer.

    Attributes:
        table: Routes in force.
        counts: Decisions by outcome.
    """

    def __init__(
        self,
        packet_format: formats.PacketFormat,
        report: collections.abc.Callable[[outcomes.Decision], None],
        zone: str,
    ):
        """Starts without routes and targets.

        Args:
            packet_format: Format of the callers' packets.
            report: Gets each decision for the log.
            zone: Availability zone of this balancer.
        """
        self.table = routes.EMPTY
        self.counts = counters.CounterSet()
        self._format = packet_format
        self._report = report
        self._zone = zone
        self._by_address: dict[bytes, routes.Route] = {}
        self._retired: dict[bytes, tuple[routes.Route, float]] = {}
        self._targets_by_service: dict[str, tuple[candidates.Target, ...]] = {}
        self._near: frozenset[_Address] = frozenset()
        self._cache = flow_cache.FlowCache()
        self._responsive = responsiveness.Responsiveness()
        self._placement_by_key: dict[bytes, placing.Placement] = {}
        self._search_by_key: dict[bytes, searching.Search] = {}
        self._unknown_until: dict[bytes, float] = {}
        self._queries: dict[tuple[_Address, int], list[bytes]] = {}
        self._queries_due = float("inf")
        self._resets_from = float("inf")
        self._next_expiry = 0.0

    # What the process learns.

    def set_routes(self, table: routes.RoutingTable, now: float) -> None:
        """Takes over the routes of a newer version.

        Args:
            table: The routes.
            now: Present time, seconds.
        """
        if table.version <= self.table.version:
            return
        by_address = table.by_address
        for address, route in self._by_address.items():
            if address not in by_address:
                self._retired[address] = (route, now + RETIRED_ROUTE_S)
        self.table = table
        self._by_address = by_address

    def set_targets(
        self, service: str, targets: tuple[candidates.Target, ...]
    ) -> None:
        """Takes over the targets of a service.

        Args:
            service: Name of the service.
            targets: Targets whose side processes live.
        """
        old = self._targets_by_service.get(service, ())
        kept = {target.address for target in targets}
        for target in old:
            if target.address not in kept:
                self._responsive.forget(target.address)
        self._targets_by_service[service] = targets
        self._near = frozenset(
            target.address
            for known in self._targets_by_service.values()
            for target in known
            if target.zone == self._zone
        )

    def view_changed(self, settled_at: float) -> None:
        """Notes that some side process may not be known until a time.

        Args:
            settled_at: When all will be known again, seconds.
        """
        if self._resets_from == float("inf"):
            self._resets_from = settled_at
        self._resets_from = max(self._resets_from, settled_at)

    @property
    def flows(self) -> int:
        """Flows in the cache."""
        return len(self._cache.by_key)

    # Packets of callers.

    def on_packet(self, data: bytes, now: float) -> list[outcomes.Outcome]:
        """Returns what to do with a caller's packet.

        Args:
            data: The packet.
            now: Present time, seconds.
        """
        segment = self._format.from_caller(data)
        if segment is None or segment.accepts or segment.returned:
            self.counts.add("malformed")
            return []
        flow = self._cache.by_key.get(segment.key)
        if flow is not None:
            return self._follow(flow, segment, data, now)
        if segment.opens:
            return self._open(segment, data, now)
        return self._find(segment.key, data, now)

    def _follow(
        self,
        flow: flow_cache.CachedFlow,
        segment: formats.Segment,
        data: bytes,
        now: float,
    ) -> list[outcomes.Outcome]:
        """Sends a packet to the side process that holds its flow."""
        if segment.opens:
            if flow.closing or self._responsive.suspect(flow.owner(), now):
                self._cache.forget(segment.key)
                return self._open(segment, data, now)
        elif not flow.settled:
            flow.settle(segment.acknowledgement)
        flow.last = now
        if segment.closes or segment.resets:
            flow.closing = True
        self.counts.add("followed")
        kind = _Kind.PLACE if segment.opens else _Kind.PACKET
        message = frames.encode(kind, flow.service, segment.key, data)
        return [outcomes.ToPeer(flow.owner(), message)]

    # Placement.

    def _open(
        self, segment: formats.Segment, data: bytes, now: float
    ) -> list[outcomes.Outcome]:
        """Begins to place a new flow."""
        key = segment.key
        pending = self._placement_by_key.get(key)
        if pending is not None:
            self.counts.add("opening_repeated")
            return []
        route = self._by_address.get(self._format.service_address(key))
        if route is None:
            if self.table.version == 0:
                self.counts.add("no_configuration")
                return []
            return [self._refuse(segment, "no route", {})]
        service = route.service(key)
        placement = placing.Placement(
            route=route,
            service=service,
            number=frames.service_number(service),
            packet=data,
            begun=now,
            deadline=now + placing.ANSWER_S,
            asked=[],
            waiting=set(),
            load_by_address={},
            tried=[],
            busy=set(),
        )
        self._placement_by_key[key] = placement
        asked = self._ask_more(key, placement, now)
        return asked or self._decide_later(key, placement, now)

    def _ask_more(
        self, key: bytes, placement: placing.Placement, now: float
    ) -> list[outcomes.Outcome]:
        """Asks targets that have not been asked yet for this flow."""
        known = placement.waiting | set(placement.load_by_address)
        chosen: list[candidates.Target] = []
        suspects: list[candidates.Target] = []
        targets = self._targets_by_service.get(placement.service, ())
        for target in candidates.ranked(key, targets):
            if not target.accepting or target.address in known:
                continue
            if self._responsive.suspect(target.address, now):
                suspects.append(target)
            elif len(chosen) < placing.ASKED:
                chosen.append(target)
        due = [
            target
            for target in suspects
            if not chosen or self._responsive.retry_due(target.address, now)
        ]
        asked: list[outcomes.Outcome] = []
        message = frames.encode(
            _Kind.ASK_LOAD,
            placement.number,
            key,
            value=placement.route.objective_ms,
        )
        for target in chosen + due[:1]:
            if target.address not in placement.asked:
                placement.asked.append(target.address)
            placement.waiting.add(target.address)
            self._responsive.asked(target.address, now)
            asked.append(outcomes.ToPeer(target.address, message))
        placement.deadline = now + placing.ANSWER_S
        return asked

    def _on_load(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        placement = self._placement_by_key.get(frame.key)
        if placement is None or placement.chosen is not None:
            return []
        if source not in placement.asked:
            return []
        placement.waiting.discard(source)
        placement.load_by_address[source] = frame.value
        if frame.kind is _Kind.BUSY:
            placement.busy.add(source)
        if not placement.waiting:
            return self._decide(frame.key, placement, now)
        placement.deadline = min(placement.deadline, now + placing.GATHER_S)
        return []

    def _decide(
        self, key: bytes, placement: placing.Placement, now: float
    ) -> list[outcomes.Outcome]:
        """Sends the opening packet to the best target that has answered."""
        address = placing.best(placement, self._near)
        if address is None:
            return self._decide_later(key, placement, now)
        placement.chosen = address
        placement.tried.append(address)
        placement.deadline = now + placing.ACCEPT_S
        self._responsive.asked(address, now)
        self._report_placement(key, placement, "sent", now)
        message = frames.encode(
            _Kind.PLACE, placement.number, key, placement.packet
        )
        return [outcomes.ToPeer(address, message)]

    def _decide_later(
        self, key: bytes, placement: placing.Placement, now: float
    ) -> list[outcomes.Outcome]:
        """Goes on where no target that has answered takes the flow now."""
        placement.chosen = None
        asked = self._ask_more(key, placement, now)
        if asked:
            return asked
        if placement.waiting:
            placement.deadline = now + placing.ANSWER_S
            return []
        if not placement.busy and not self._may_come(placement):
            return self._give_up(key, placement, now)
        self.counts.add("held_back")
        placement.load_by_address.clear()
        placement.tried.clear()
        placement.busy.clear()
        placement.deadline = now + placement.hold_s
        placement.hold_s *= placing.HOLD_GROWTH
        return []

    def _may_come(self, placement: placing.Placement) -> bool:
        """Tells whether a target may soon take the flow.

        One that starts or has left a packet unanswered may, and so may those
        of a service of which none is known: all may be starting.
        """
        targets = self._targets_by_service.get(placement.service, ())
        starting = any(target.starting for target in targets)
        return not targets or starting or bool(placement.tried)

    def _on_accepted(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        placement = self._placement_by_key.pop(frame.key, None)
        if placement is not None:
            self.counts.add("placed")
        flow = self._cache.by_key.get(frame.key)
        if flow is None or flow.closing:
            owners: list[tuple[_Address, int | None]] = [(source, frame.value)]
            cached = flow_cache.CachedFlow(frame.service, owners, now, now)
            self._cache.put(frame.key, cached)
        elif not flow.settled:
            flow.add(source, frame.value)
        return []

    def _on_refused(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        placement = self._placement_by_key.get(frame.key)
        if placement is None or placement.chosen != source:
            return []
        placement.chosen = None
        placement.load_by_address[source] = frames.NOT_ACCEPTING
        return self._decide(frame.key, placement, now)

    def _give_up(
        self, key: bytes, placement: placing.Placement, now: float
    ) -> list[outcomes.Outcome]:
        """Refuses a flow that no target takes; the caller hears at once."""
        del self._placement_by_key[key]
        segment = self._format.from_caller(placement.packet)
        assert segment is not None, "a placement's packet was parsed before"
        inputs: dict[str, object] = {
            "service": placement.service,
            "age_ms": round((now - placement.begun) * 1000, 1),
        }
        return [self._refuse(segment, "no target accepts", inputs)]

    def _refuse(
        self, segment: formats.Segment, cause: str, inputs: dict[str, object]
    ) -> outcomes.Outcome:
        self.counts.add("refused")
        inputs = {**inputs, "cause": cause, "version": self.table.version}
        self._report(
            outcomes.Decision("placement", "refused", segment.key, inputs)
        )
        return outcomes.ToCaller(
            self._format.caller(segment.key), self._format.reset(segment)
        )

    def _report_placement(
        self,
        key: bytes,
        placement: placing.Placement,
        outcome: str,
        now: float,
    ) -> None:
        loads = {
            address[0]: load
            for address, load in placement.load_by_address.items()
        }
        inputs: dict[str, object] = {
            "service": placement.service,
            "version": self.table.version,
            "target": placement.chosen[0] if placement.chosen else None,
            "loads_ms": loads,
            "unanswered": [address[0] for address in placement.waiting],
            "tried": len(placement.tried),
            "age_ms": round((now - placement.begun) * 1000, 1),
        }
        self._report(outcomes.Decision("placement", outcome, key, inputs))

    # Searches.

    def _find(
        self, key: bytes, data: bytes, now: float
    ) -> list[outcomes.Outcome]:
        """Begins or joins a search for the owner of a flow."""
        search = self._search_by_key.get(key)
        if search is not None:
            if len(search.packets) < searching.MAX_PACKETS:
                search.packets.append(data)
            return []
        if self._unknown_until.get(key, 0.0) > now:
            self.counts.add("unknown_flow")
            return []
        if len(self._search_by_key) >= searching.MAX_SEARCHES:
            self.counts.add("searches_full")
            return []
        owners, complete = self._possible_owners(key)
        if not owners:
            self.counts.add("unknown_service")
            return []
        search = searching.Search(
            packets=[data],
            begun=now,
            deadline=now + searching.QUERY_DELAY_S + searching.ANSWER_S,
            waiting={address for address, _ in owners},
            unsure=[],
            complete=complete,
        )
        self._search_by_key[key] = search
        for owner in owners:
            self._queries.setdefault(owner, []).append(key)
        due = now + searching.QUERY_DELAY_S
        self._queries_due = min(self._queries_due, due)
        self.counts.add("searches")
        return []

    def _possible_owners(
        self, key: bytes
    ) -> tuple[list[tuple[_Address, int]], bool]:
        """Returns who may hold a flow, and whether that is everybody.

        A flow may be older than its route is as it is now, so all side
        processes are asked unless they are too many.

        Returns:
            Addresses of side processes with their services' numbers, and
            whether they are all that are known.
        """
        services = set(self._targets_by_service)
        count = sum(map(len, self._targets_by_service.values()))
        complete = count <= searching.MAX_ASKED
        if not complete:
            address = self._format.service_address(key)
            route = self._by_address.get(address)
            if route is None and address in self._retired:
                route = self._retired[address][0]
            shares = route.shares if route is not None else ()
            services = {share.service for share in shares}
        owners = [
            (target.address, frames.service_number(service))
            for service in services
            for target in self._targets_by_service.get(service, ())
        ]
        return owners, complete

    def _flush_queries(self, now: float) -> list[outcomes.Outcome]:
        sends: list[outcomes.Outcome] = []
        for (address, number), keys in self._queries.items():
            self._responsive.asked(address, now)
            for start in range(0, len(keys), frames.MAX_KEYS):
                part = keys[start : start + frames.MAX_KEYS]
                message = frames.encode(
                    _Kind.ASK_HELD, number, part[0], frames.join_keys(part)
                )
                sends.append(outcomes.ToPeer(address, message))
        self._queries.clear()
        self._queries_due = float("inf")
        return sends

    def _on_held(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        sends: list[outcomes.Outcome] = []
        for key in _keys(frame):
            search = self._search_by_key.pop(key, None)
            if search is None:
                continue
            flow = flow_cache.CachedFlow(
                frame.service, [(source, None)], now, now, settled=True
            )
            self._cache.put(key, flow)
            self._report_search(key, search, "found", source[0], now)
            # A probed target has had the first packet already.
            first = 1 if search.probed == source else 0
            for packet in search.packets[first:]:
                message = frames.encode(
                    _Kind.PACKET, frame.service, key, packet
                )
                sends.append(outcomes.ToPeer(source, message))
        return sends

    def _on_absent(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        sends: list[outcomes.Outcome] = []
        for key in _keys(frame):
            search = self._search_by_key.get(key)
            if search is None or source not in search.waiting:
                continue
            search.waiting.discard(source)
            if frame.kind is _Kind.UNSURE:
                search.unsure.append((source, frame.service))
            else:
                search.absent += 1
            if not search.waiting:
                sends.extend(self._probe_next(key, search, now))
        return sends

    def _probe_next(
        self, key: bytes, search: searching.Search, now: float
    ) -> list[outcomes.Outcome]:
        """Hands the first packet to the next target that may hold the flow."""
        if search.probes >= searching.MAX_PROBES and search.unsure:
            search.complete = False
            search.unsure.clear()
        if not search.unsure:
            return self._end_search(key, search, now)
        if search.probed is None:
            self._rank(key, search)
        address, number = search.unsure.pop(0)
        search.probed = address
        search.probes += 1
        search.deadline = now + searching.PROBE_S
        self._responsive.asked(address, now)
        message = frames.encode(_Kind.PROBE, number, key, search.packets[0])
        return [outcomes.ToPeer(address, message)]

    def _rank(self, key: bytes, search: searching.Search) -> None:
        """Puts the likely owners of a flow first."""
        place_by_address = {
            target.address: place
            for targets in self._targets_by_service.values()
            for place, target in enumerate(candidates.ranked(key, targets))
        }
        last = len(place_by_address)
        search.unsure.sort(key=lambda one: place_by_address.get(one[0], last))

    def _end_search(
        self, key: bytes, search: searching.Search, now: float
    ) -> list[outcomes.Outcome]:
        """Gives up a search; resets a flow that surely nobody holds.

        Its target has died, and the caller can try again at once. If anybody
        has not answered, or somebody may not be known, there is silence.
        """
        del self._search_by_key[key]
        segment = self._format.from_caller(search.packets[0])
        assert segment is not None, "a search's packet was parsed before"
        nowhere = search.complete and now >= self._resets_from
        if nowhere and not segment.resets:
            self._report_search(key, search, "reset", None, now)
            reset = self._format.reset(segment)
            return [outcomes.ToCaller(self._format.caller(key), reset)]
        self._unknown_until[key] = now + searching.UNKNOWN_S
        self._report_search(key, search, "not found", None, now)
        return []

    def _on_not_held(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Goes on when a target has returned a packet."""
        search = self._search_by_key.get(frame.key)
        if search is not None:
            if search.probed != source:
                return []
            search.absent += 1
            return self._probe_next(frame.key, search, now)
        flow = self._cache.by_key.get(frame.key)
        if flow is not None:
            if flow.owner() != source:
                return []
            self._cache.forget(frame.key)
            if flow.closing:
                return []
        return self._find(frame.key, frame.payload, now)

    def _report_search(
        self,
        key: bytes,
        search: searching.Search,
        outcome: str,
        target: str | None,
        now: float,
    ) -> None:
        self.counts.add(f"search_{outcome.replace(' ', '_')}")
        inputs: dict[str, object] = {
            "target": target,
            "absent": search.absent,
            "unanswered": [address[0] for address in search.waiting],
            "packets": len(search.packets),
            "age_ms": round((now - search.begun) * 1000, 1),
        }
        self._report(outcomes.Decision("search", outcome, key, inputs))

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
        if self._responsive.heard(source):
            self.counts.add("suspect_answered")
        match frame.kind:
            case _Kind.LOAD | _Kind.BUSY:
                return self._on_load(frame, source, now)
            case _Kind.ACCEPTED:
                return self._on_accepted(frame, source, now)
            case _Kind.REFUSED:
                return self._on_refused(frame, source, now)
            case _Kind.HELD:
                return self._on_held(frame, source, now)
            case _Kind.ABSENT | _Kind.UNSURE:
                return self._on_absent(frame, source, now)
            case _Kind.NOT_HELD:
                return self._on_not_held(frame, source, now)
        self.counts.add("foreign_frame")
        return []

    @property
    def busy(self) -> bool:
        """Whether ``on_tick`` is to be called every few milliseconds."""
        return bool(
            self._placement_by_key or self._search_by_key or self._queries
        )

    def on_tick(self, now: float) -> list[outcomes.Outcome]:
        """Returns what to do because time has passed.

        Args:
            now: Present time, seconds.
        """
        sends: list[outcomes.Outcome] = []
        if now >= self._queries_due:
            sends.extend(self._flush_queries(now))
        for key, placement in list(self._placement_by_key.items()):
            if now >= placement.deadline:
                sends.extend(self._overdue_placement(key, placement, now))
        for key, search in list(self._search_by_key.items()):
            if now >= search.deadline:
                sends.extend(self._overdue_search(key, search, now))
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_INTERVAL_S
            self._expire(now)
        return sends

    def _overdue_placement(
        self, key: bytes, placement: placing.Placement, now: float
    ) -> list[outcomes.Outcome]:
        if placement.overdue(now):
            return self._give_up(key, placement, now)
        if placement.chosen is not None:
            self.counts.add("accept_overdue")
            self._report_placement(key, placement, "not answered", now)
            placement.chosen = None
        return self._decide(key, placement, now)

    def _overdue_search(
        self, key: bytes, search: searching.Search, now: float
    ) -> list[outcomes.Outcome]:
        search.complete = False
        search.waiting.clear()
        return self._probe_next(key, search, now)

    def _expire(self, now: float) -> None:
        self._cache.expire(now, self.table.idle_timeout_s)
        for key, until in list(self._unknown_until.items()):
            if until <= now:
                del self._unknown_until[key]
        for address, (_, until) in list(self._retired.items()):
            if until <= now:
                del self._retired[address]


def _keys(frame: frames.Frame) -> list[bytes]:
    """Returns the keys that an answer to a search names."""
    if not frame.payload:
        return [frame.key]
    return frames.split_keys(frame.payload, len(frame.key)) or []
