"""Searches for the side process that holds a flow: their start and their end.

The balancer queries all side processes that may hold the flow (see
``owner_queries``), and probes the targets of those that are unsure (see
``probing``). A reply that arrives after the end resumes the search (see
``active_searches``).
"""

import collections.abc

from clementinelead.relays import active_searches
from clementinelead.relays import address_sets
from clementinelead.relays import directory
from clementinelead.relays import formats
from clementinelead.relays import former_services
from clementinelead.relays import frames
from clementinelead.relays import outcomes
from clementinelead.relays import owner_queries
from clementinelead.relays import possible_owners
from clementinelead.relays import probing
from clementinelead.relays import searches
from clementinelead.relays import stale_packets
from clementinelead.relays import unresolved_flows
from clementinelead.telemetry import counters

__all__ = ["RESTART_TIME_S", "Searcher"]

RESTART_TIME_S = 1.0
"""Time in which a side process that is restarted replies again, seconds.

One that does not reply for longer no longer delays probes.
"""

MAX_QUEUED_PACKETS = 8
"""Most packets of a flow that are queued during its search."""

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
        stale: stale_packets.StalePackets,
    ):
        """Creates a searcher without searches.

        Args:
            packet_format: Format of the callers' packets.
            targets: The targets of all services.
            former: Services that routes no longer name.
            counts: Receives the counts of decisions by cause.
            report: Called with each decision, for the log.
            stale: Whether packets may have been queued for long.
        """
        self._stale = stale
        self._format = packet_format
        self._directory = targets
        self._counts = counts
        self._report = report
        self._addresses = address_sets.AddressTable()
        self._unresolved = unresolved_flows.UnresolvedFlows()
        self._active = active_searches.ActiveSearches(self._unresolved, counts)
        owners = possible_owners.PossibleOwners(packet_format, targets, former)
        self._queries = owner_queries.OwnerQueries(targets, owners)
        self._prober = probing.Prober(targets, owners, self._unresolved)

    @property
    def busy(self) -> bool:
        """Whether a search is in progress or queries are queued."""
        return bool(self._active.by_key) or self._queries.has_queued

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
        search = self._active.by_key.get(key)
        if search is not None:
            if len(search.packets) < MAX_QUEUED_PACKETS:
                search.packets.append(data)
            return
        last = self._unresolved.get(key)
        if last is not None and last.due_at > now:
            self._counts.add("unknown_flow")
            return
        self._begin(segment, services, data, now)

    def _begin(
        self,
        segment: formats.Segment,
        services: frozenset[str],
        data: bytes,
        now: float,
    ) -> None:
        """Starts a search.

        Targets that have returned a packet of the flow before are queried
        again, as the reply of their side process may have changed, but they
        are not probed again.

        Args:
            segment: Header of the packet.
            services: Services that the flow's route names.
            data: The packet.
            now: Present time, seconds.
        """
        if not self._active.may_begin():
            return
        table = self._addresses
        search = searches.Search(
            segment=segment,
            services=services,
            packets=[data],
            began_at=now,
            deadline=float("inf"),
            queried=address_sets.AddressSet(table),
            awaiting_reply=address_sets.AddressSet(table),
            unsure_owners=[],
            wave_size=self._prober.first_wave_size(segment.key),
            probed=address_sets.AddressSet(table),
            awaiting_return=address_sets.AddressSet(table),
            timed_out=address_sets.AddressSet(table),
            not_returned=address_sets.AddressSet(table),
            may_be_stale=self._stale.possible_since(
                now - searches.OPENING_AGE_S, now
            ),
        )
        if not self._queries.query_further(search, now):
            self._counts.add("unknown_service")
            return
        self._active.by_key[segment.key] = search
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
        self._queries.record_reply(source, now)
        return [
            self._end_found(key, search, frame.service, source, now)
            for key in _keys(frame)
            if (search := self._active.last_search(key)) is not None
        ]

    def _end_found(
        self,
        key: bytes,
        search: searches.Search,
        service: int,
        source: _Address,
        now: float,
    ) -> searches.FoundFlow:
        self._active.by_key.pop(key, None)
        self._unresolved.remove(key)
        self._report_end(key, search, "found", source[0], now)
        # The probe has already delivered the first packet to its owner.
        first = 1 if source in search.probed else 0
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
        self._queries.record_reply(source, now)
        sends: list[outcomes.Outcome] = []
        owner = (source, frame.service)  # shared by the searches
        for key in _keys(frame):
            search = self._active.last_search(key)
            if search is None:
                continue
            if source in search.timed_out:
                self._directory.overload.record_late_reply()
            if not search.take_reply(source):
                continue
            unsure = frame.kind is _Kind.UNSURE
            unsure = unsure and not search.denies(frame.value)
            search.any_unsure |= unsure
            if unsure and not self._prober.has_returned(key, source):
                search.unsure_owners.append(owner)
            else:
                search.absent_count += 1
            if self._active.resume(key, search, now) and search.idle:
                sends.extend(self._begin_probes(key, search, now))
        return sends

    def _begin_probes(
        self, key: bytes, search: searches.Search, now: float
    ) -> list[outcomes.Outcome]:
        """Probes the targets that may hold the flow, the most likely first."""
        self._prober.sort_owners(key, search)
        return self._probe_next(key, search, now)

    def _owner_may_return(self, search: searches.Search, now: float) -> bool:
        """Returns whether a process that does not reply may soon do so."""
        responsiveness = self._directory.responsiveness
        return any(
            responsiveness.unanswered_s(address, now) < RESTART_TIME_S
            for address in search.timed_out
        )

    def _probe_next(
        self, key: bytes, search: searches.Search, now: float
    ) -> list[outcomes.Outcome]:
        """Probes the next wave of targets, or ends the search without any."""
        owner_may_return = self._owner_may_return(search, now)
        sends = self._prober.probe_next(key, search, owner_may_return, now)
        if sends or self._queries.query_further(search, now):
            return sends
        return self._end_search(key, search, now)

    def _end_search(
        self, key: bytes, search: searches.Search, now: float
    ) -> list[outcomes.Outcome]:
        """Ends a search that found no owner; resets the flow if it is lost.

        The flow is lost if all side processes that may hold it have replied
        that they don't: its target has died, and after a reset the caller can
        retry at once. If a reply is missing, or the directory may be
        incomplete, the caller gets no answer and a retry is scheduled.
        """
        del self._active.by_key[key]
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
            if last.segment.key not in self._active.by_key:
                self._counts.add("searched_again")
                self._begin(last.segment, last.services, last.packets[0], now)

    def on_returned(
        self, key: bytes, source: _Address, now: float
    ) -> list[outcomes.Outcome] | None:
        """Handles a packet that a target returned.

        Once all targets of a wave have returned it, the next ones are probed.

        Args:
            key: Flow key.
            source: Address of the target's side process.
            now: Present time, seconds.

        Returns:
            The datagrams and packets to send, or None if no search for the
            flow is in progress.
        """
        search = self._active.by_key.get(key)
        wave_ended = self._prober.record_return(key, search, source, now)
        if search is None:
            return None
        return self._probe_next(key, search, now) if wave_ended else []

    def on_tick(self, now: float) -> list[outcomes.Outcome]:
        """Sends due queries; continues searches whose deadline has passed.

        Args:
            now: Present time, seconds.

        Returns:
            The datagrams and packets to send.
        """
        sends = self._queries.take_due(self._active.by_key, now)
        for key, search in list(self._active.by_key.items()):
            if now >= search.deadline:
                sends.extend(self._on_deadline(key, search, now))
        # Last, so that a due search begins before another late reply resumes
        # the one that has just ended.
        self._retry(now)
        return sends

    def _on_deadline(
        self, key: bytes, search: searches.Search, now: float
    ) -> list[outcomes.Outcome]:
        """Goes on without the replies or returns that are missing."""
        if search.awaiting_return:
            search.not_returned |= search.awaiting_return
            search.awaiting_return.clear()
            return self._probe_next(key, search, now)
        for address in search.awaiting_reply:
            self._directory.overload.record_timeout(address, now)
        search.timed_out |= search.awaiting_reply
        search.awaiting_reply.clear()
        return self._begin_probes(key, search, now)

    def cancel(self, key: bytes) -> None:
        """Cancels the search for a flow that may be opened now.

        A scheduled retry is cancelled too, and earlier returns are dropped.
        """
        self._active.by_key.pop(key, None)
        self._unresolved.remove(key)
        self._prober.discard(key)

    def expire(self, now: float) -> None:
        """Drops the retries, returns and addresses that have expired."""
        self._unresolved.expire(now)
        if self._addresses.is_oversized(self._directory.count):
            self._addresses = address_sets.AddressTable()
        self._prober.expire(now)

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
