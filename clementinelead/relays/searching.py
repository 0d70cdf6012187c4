"""Searches for the side process that holds a flow.

The balancer queries all side processes that may hold the flow. Those that are
unsure are probed one after the other: their target gets the flow's first
packet, and returns it if it does not hold the flow.
"""

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
"""Time in which a target must return a probe if it lacks the flow, seconds."""

MAX_PROBED_TARGETS = 8
"""Most targets that are probed for a flow, in rendezvous order.

A flow is nearly always placed on one of the first targets in that order.
"""

MAX_QUEUED_PACKETS = 8
"""Most packets of a flow that are queued during its search."""

MAX_SEARCHES = 4_096
"""Most concurrent searches; further flows rely on the callers' retransmissions.
"""

_Kind = frames.Kind
_Address = tuple[str, int]


class Searcher:
    """Queries the side processes for flows without a cache entry."""

    def __init__(
        self,
        packet_format: formats.PacketFormat,
        targets: directory.Directory,
        former: former_services.FormerServices,
        counts: counters.CounterSet,
        report: collections.abc.Callable[[outcomes.Decision], None],
    ):
        """Creates a searcher without searches.

        Args:
            packet_format: Format of the callers' packets.
            targets: The targets of all services.
            former: Services that routes no longer name.
            counts: Receives the counts of decisions by cause.
            report: Called with each decision, for the log.
        """
        self._format = packet_format
        self._directory = targets
        self._owners = possible_owners.PossibleOwners(
            packet_format, targets, former
        )
        self._counts = counts
        self._report = report
        self._search_by_key: dict[bytes, searches.Search] = {}
        self._unresolved = unresolved_flows.UnresolvedFlows()
        self._rounds = query_rounds.QueryRounds(targets)

    @property
    def busy(self) -> bool:
        """Whether a search is in progress or queries are queued."""
        return bool(self._search_by_key) or self._rounds.has_queued

    def search(
        self,
        segment: formats.Segment,
        services: frozenset[str],
        data: bytes,
        now: float,
    ) -> None:
        """Starts a search for the owner of a flow, or queues its packet.

        A packet of a flow whose last search failed is dropped until the next
        search for the flow is due.

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
        """Starts a search.

        Args:
            segment: Header of the packet.
            services: Services that the flow's route names.
            data: The packet.
            returned: Side processes whose targets have returned the packet in
                earlier searches. They are queried again, as their answer may
                have changed, but not probed again.
            probes: Targets probed in earlier searches.
            now: Present time, seconds.
        """
        if len(self._search_by_key) >= MAX_SEARCHES:
            self._counts.add("searches_full")
            return
        owners, awaited = self._owners.to_query(segment, services, now)
        if not awaited:
            self._counts.add("unknown_service")
            return
        self._search_by_key[segment.key] = searches.Search(
            segment=segment,
            services=services,
            packets=[data],
            began_at=now,
            deadline=float("inf"),
            awaiting_reply=awaited,
            unsure_owners=[],
            probe_count=probes,
            returned_by=returned,
        )
        self._rounds.add(segment.key, owners, now)
        self._counts.add("searches")

    def on_held(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[searches.FoundFlow]:
        """Ends the searches for the flows that a side process holds.

        Args:
            frame: The side process's reply; it names the flows.
            source: Address of the side process.
            now: Present time, seconds.

        Returns:
            The flows, with their queued packets.
        """
        self._rounds.record_reply(source, now)
        return [
            self._end_found(key, frame.service, source, now)
            for key in _keys(frame)
            if key in self._search_by_key
        ]

    def _end_found(
        self, key: bytes, service: int, source: _Address, now: float
    ) -> searches.FoundFlow:
        search = self._search_by_key.pop(key)
        self._unresolved.remove(key)
        self._report_end(key, search, "found", source[0], now)
        # The probe has already delivered the first packet to its owner.
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
        """Handles the reply of a side process that has no record of a flow.

        Args:
            frame: The reply: ``ABSENT`` if the side process is certain that it
                does not hold the flow, ``UNSURE`` if its target may hold it.
            source: Address of the side process.
            now: Present time, seconds.

        Returns:
            The datagrams and packets to send.
        """
        self._rounds.record_reply(source, now)
        sends: list[outcomes.Outcome] = []
        for key in _keys(frame):
            search = self._search_by_key.get(key)
            if search is None or source not in search.awaiting_reply:
                continue
            search.awaiting_reply.discard(source)
            unsure = frame.kind is _Kind.UNSURE
            search.any_unsure |= unsure
            if unsure and source not in search.returned_by:
                search.unsure_owners.append((source, frame.service))
            else:
                search.absent_count += 1
            if not search.awaiting_reply:
                sends.extend(self._probe_next(key, search, now))
        return sends

    def _probe_next(
        self, key: bytes, search: searches.Search, now: float
    ) -> list[outcomes.Outcome]:
        """Probes the next target that may hold the flow with its first packet.

        Opening packets are not used as probes, since a target would open a new
        flow for them.
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
        """Ends a search that found no owner; resets the flow if it is lost.

        The flow is lost if all side processes that may hold it have replied
        that they don't: its target has died, and after a reset the caller can
        retry at once. If a reply is missing, or the directory may be
        incomplete, the caller gets no answer and a retry is scheduled.
        """
        del self._search_by_key[key]
        lost = search.all_replied and self._is_exhaustive(search, now)
        if lost and not search.segment.resets:
            self._unresolved.remove(key)
            self._report_end(key, search, "reset", None, now)
            reset = self._format.reset_packet(search.segment)
            return [outcomes.ToCaller(self._format.caller_address(key), reset)]
        # The retry does not wait for the caller's next packet, which may be
        # seconds away.
        if not self._unresolved.schedule_retry(search, now):
            self._counts.add("unresolved_full")
        self._report_end(key, search, "not found", None, now)
        return []

    def _is_exhaustive(self, search: searches.Search, now: float) -> bool:
        """Returns whether only the queried side processes may hold the flow.

        That holds for an opening packet, once the directory is complete, or
        once the replies of all restarted side processes suffice, provided that
        none of them was unsure.
        """
        if search.opening or now >= self._directory.complete_from:
            return True
        conclusive = now >= self._directory.denials_conclusive_from
        return conclusive and not search.any_unsure

    def _retry(self, now: float) -> None:
        """Repeats the failed searches that are due."""
        decidable = self._directory.absence_decidable(now)
        for last in self._unresolved.due_searches(decidable, now):
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
        """Handles a packet that a target returned: probes the next target.

        Args:
            key: Flow key.
            source: Address of the target's side process.
            now: Present time, seconds.

        Returns:
            The datagrams and packets to send, or None if no search for the
            flow is in progress.
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
        """Sends due queries; continues searches whose deadline has passed.

        Args:
            now: Present time, seconds.

        Returns:
            The datagrams and packets to send.
        """
        self._retry(now)
        sends, queried = self._rounds.take_due(now)
        for key in queried & self._search_by_key.keys():
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
        """Cancels the search for a flow and any scheduled retry."""
        self._search_by_key.pop(key, None)
        self._unresolved.remove(key)

    def expire(self, now: float) -> None:
        """Drops the scheduled retries of flows whose callers have timed out."""
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
    """Returns the keys of the flows that a reply to a query names."""
    if not frame.payload:
        return [frame.key]
    return frames.split_keys(frame.payload, len(frame.key)) or []
