"""Searches for the side process that holds a flow."""

import collections.abc

from clementinelead.relays import directory
from clementinelead.relays import formats
from clementinelead.relays import former_services
from clementinelead.relays import frames
from clementinelead.relays import outcomes
from clementinelead.relays import possible_owners
from clementinelead.relays import query_rounds
from clementinelead.relays import searches
from clementinelead.relays import unresolved_flows
from clementinelead.telemetry import counters

__all__ = ["Searcher"]

PROBE_TIMEOUT_S = 0.06
"""Time that a target has to return a packet that is not its own, seconds."""

MAX_PROBED_TARGETS = 8
"""Targets that a packet is handed to at most, first in rendezvous order.

A flow is nearly always placed on one of the first.
"""

MAX_QUEUED_PACKETS = 8
"""Packets of a flow kept while it is searched for."""

MAX_SEARCHES = 4_096
"""Searches at a time; a burst beyond it waits for its packets' repetition."""


_Kind = frames.Kind
_Address = tuple[str, int]


class Searcher:
    """Asks the side processes for flows that the cache does not know."""

    def __init__(
        self,
        packet_format: formats.PacketFormat,
        known: directory.Directory,
        former: former_services.FormerServices,
        counts: counters.CounterSet,
        report: collections.abc.Callable[[outcomes.Decision], None],
    ):
        """Starts with nothing to search.

        Args:
            packet_format: Format of the callers' packets.
            known: The targets.
            former: Services that routes no longer name.
            counts: Counts decisions by outcome.
            report: Gets each decision for the log.
        """
        self._format = packet_format
        self._directory = known
        self._owners = possible_owners.PossibleOwners(
            packet_format, known, former
        )
        self._counts = counts
        self._report = report
        self._search_by_key: dict[bytes, searches.Search] = {}
        self._unresolved = unresolved_flows.UnresolvedFlows()
        self._rounds = query_rounds.QueryRounds(known)

    @property
    def busy(self) -> bool:
        """Whether searches are under way."""
        return bool(self._search_by_key) or self._rounds.has_queued

    def search(
        self,
        segment: formats.Segment,
        services: frozenset[str],
        data: bytes,
        now: float,
    ) -> None:
        """Begins or joins a search for the owner of a flow.

        Args:
            segment: Header of the packet.
            services: Services that the flow's route names.
            data: A packet of the flow.
            now: Present time, seconds.
        """
        key = segment.key
        search = self._search_by_key.get(key)
        if search is not None:
            if len(search.packets) < MAX_QUEUED_PACKETS:
                search.packets.append(data)
            return
        returned: frozenset[_Address] = frozenset()
        last = self._unresolved.get(key)
        if last is not None:
            if last.due_at > now:
                self._counts.add("unknown_flow")
                return
            returned = last.last_search.returned_by
        self._begin(segment, services, data, returned, 0, now)

    def _begin(
        self,
        segment: formats.Segment,
        services: frozenset[str],
        data: bytes,
        returned: frozenset[_Address],
        probes: int,
        now: float,
    ) -> None:
        """Begins a search.

        Args:
            segment: Header of the packet.
            services: Services that the flow's route names.
            data: The packet.
            returned: Addresses whose targets have returned it; they are asked,
                as they may know better now, and not handed it again.
            probes: Targets that have been handed it.
            now: Present time, seconds.
        """
        if len(self._search_by_key) >= MAX_SEARCHES:
            self._counts.add("searches_full")
            return
        owners, waiting = self._owners.to_query(segment, services, now)
        if not waiting:
            self._counts.add("unknown_service")
            return
        self._search_by_key[segment.key] = searches.Search(
            segment=segment,
            services=services,
            packets=[data],
            began_at=now,
            deadline=float("inf"),
            awaiting_reply=waiting,
            unsure_owners=[],
            probe_count=probes,
            returned_by=returned,
        )
        self._rounds.add(segment.key, owners, now)
        self._counts.add("searches")

    def on_held(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[searches.FoundFlow]:
        """Ends searches: a side process holds these flows."""
        self._rounds.record_reply(source, now)
        return [
            self._found(key, frame.service, source, now)
            for key in _keys(frame)
            if key in self._search_by_key
        ]

    def _found(
        self, key: bytes, service: int, source: _Address, now: float
    ) -> searches.FoundFlow:
        search = self._search_by_key.pop(key)
        self._unresolved.remove(key)
        self._report_end(key, search, "found", source[0], now)
        # A probed target has had the first packet already.
        first = 1 if search.probed_address == source else 0
        sends = tuple(
            outcomes.ToPeer(
                source, frames.encode(_Kind.PACKET, service, key, packet)
            )
            for packet in search.packets[first:]
        )
        return searches.FoundFlow(key, source, service, sends)

    def on_absent(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Takes the answer of a side process that knows of no such flow."""
        self._rounds.record_reply(source, now)
        sends: list[outcomes.Outcome] = []
        for key in _keys(frame):
            search = self._search_by_key.get(key)
            if search is None or source not in search.awaiting_reply:
                continue
            search.awaiting_reply.discard(source)
            doubts = frame.kind is _Kind.UNSURE
            search.any_unsure |= doubts
            if doubts and source not in search.returned_by:
                search.unsure_owners.append((source, frame.service))
            else:
                search.absent_count += 1
            if not search.awaiting_reply:
                sends.extend(self._probe_next(key, search, now))
        return sends

    def _probe_next(
        self, key: bytes, search: searches.Search, now: float
    ) -> list[outcomes.Outcome]:
        """Hands the first packet to the next target that may hold the flow.

        A target would take an opening packet for a new flow.
        """
        if search.unsure_owners and (
            search.opening or search.probe_count >= MAX_PROBED_TARGETS
        ):
            search.all_replied = False
            search.unsure_owners.clear()
        if not search.unsure_owners:
            return self._end_search(key, search, now)
        if search.probed_address is None:
            search.unsure_owners = self._owners.by_likelihood(
                key, search.unsure_owners
            )
        address, number = search.unsure_owners.pop(0)
        search.probed_address = address
        search.probe_count += 1
        search.deadline = now + PROBE_TIMEOUT_S
        self._directory.responsiveness.record_query(address, now)
        message = frames.encode(_Kind.PROBE, number, key, search.packets[0])
        return [outcomes.ToPeer(address, message)]

    def _end_search(
        self, key: bytes, search: searches.Search, now: float
    ) -> list[outcomes.Outcome]:
        """Gives up a search; resets a flow that surely nobody holds.

        Its target has died, and the caller can try again at once. If anybody
        has not answered, or somebody may not be known, there is silence.
        """
        del self._search_by_key[key]
        nowhere = search.all_replied and self._all_known(search, now)
        if nowhere and not search.segment.resets:
            self._unresolved.remove(key)
            self._report_end(key, search, "reset", None, now)
            reset = self._format.reset(search.segment)
            return [outcomes.ToCaller(self._format.caller(key), reset)]
        # The caller's next packet may come only seconds later.
        if not self._unresolved.schedule_retry(search, now):
            self._counts.add("unresolved_full")
        self._report_end(key, search, "not found", None, now)
        return []

    def _all_known(self, search: searches.Search, now: float) -> bool:
        """Tells whether nobody but those asked may hold a flow."""
        if search.opening or now >= self._directory.complete_from:
            return True
        settled = now >= self._directory.denials_conclusive_from
        return settled and not search.any_unsure

    def _retry(self, now: float) -> None:
        """Searches again for flows that are due."""
        settled = self._directory.absence_decidable(now)
        for last in self._unresolved.due_searches(settled, now):
            if last.segment.key not in self._search_by_key:
                self._counts.add("searched_again")
                self._begin(
                    last.segment,
                    last.services,
                    last.packets[0],
                    last.returned_by,
                    last.probe_count,
                    now,
                )

    def on_returned(
        self, key: bytes, source: _Address, now: float
    ) -> list[outcomes.Outcome] | None:
        """Goes on after a target has returned a packet.

        Returns:
            What to send, or None if there is no search for the flow.
        """
        search = self._search_by_key.get(key)
        if search is None:
            return None
        if search.probed_address != source:
            return []
        search.absent_count += 1
        search.returned_by |= {source}
        return self._probe_next(key, search, now)

    def on_tick(self, now: float) -> list[outcomes.Outcome]:
        """Sends questions that are due; goes on without missing answers."""
        self._retry(now)
        sends, asked = self._rounds.take_due(now)
        for key in asked & self._search_by_key.keys():
            self._search_by_key[key].deadline = (
                now + query_rounds.QUERY_REPLY_TIMEOUT_S
            )
        for key, search in list(self._search_by_key.items()):
            if now >= search.deadline:
                search.all_replied = False
                search.timed_out = frozenset(search.awaiting_reply)
                search.awaiting_reply.clear()
                sends.extend(self._probe_next(key, search, now))
        return sends

    def cancel(self, key: bytes) -> None:
        """Gives up the search for a flow, and those that would follow."""
        self._search_by_key.pop(key, None)
        self._unresolved.remove(key)

    def expire(self, now: float) -> None:
        """Forgets which flows were searched for in vain a while ago."""
        self._unresolved.expire(now)

    def _report_end(
        self,
        key: bytes,
        search: searches.Search,
        outcome: str,
        target: str | None,
        now: float,
    ) -> None:
        self._counts.add(f"search_{outcome.replace(' ', '_')}")
        inputs = search.log_inputs(target, now)
        self._report(outcomes.Decision("search", outcome, key, inputs))


def _keys(frame: frames.Frame) -> list[bytes]:
    """Returns the keys that an answer to a search names."""
    if not frame.payload:
        return [frame.key]
    return frames.split_keys(frame.payload, len(frame.key)) or []
