"""Searches for the side process that holds a flow."""

import collections.abc

import msgspec

from clementinelead.relays import candidates
from clementinelead.relays import directory
from clementinelead.relays import formats
from clementinelead.relays import former_services
from clementinelead.relays import frames
from clementinelead.relays import outcomes
from clementinelead.relays import query_rounds
from clementinelead.relays import unresolved
from clementinelead.telemetry import counters

__all__ = ["Found", "Search", "Searcher"]

PROBE_S = 0.06
"""Time that a target has to return a packet that is not its own, seconds."""

MAX_PROBES = 8
"""Targets that a packet is handed to at most, first in rendezvous order.

A flow is nearly always placed on one of the first.
"""

MAX_PACKETS = 8
"""Packets of a flow kept while it is searched for."""

MAX_SEARCHES = 4_096
"""Searches at a time; a burst beyond it waits for its packets' repetition."""


class Search(msgspec.Struct):
    """A search for the owner of a flow.

    Attributes:
        packets: The flow's packets that have come meanwhile.
        services: Services that its route names.
        begun: When it began, seconds.
        deadline: When to go on without what is missing, seconds.
        waiting: Addresses that have been asked and not answered.
        unsure: Addresses, with the service's number, whose target may hold
            the flow.
        probed: The address whose target has been handed the first packet.
        absent: How many have said that they do not hold it.
        silent: Addresses that have not answered in time.
        probes: Targets that have been handed the first packet.
        returned: Addresses whose targets have returned it, now or before.
        doubted: Whether somebody has answered that it is not sure.
        opening: Whether the first packet opens the flow; then it is less than
            two seconds old, and at a target of its route if anywhere.
        complete: Whether all who were asked have answered.
    """

    packets: list[bytes]
    services: frozenset[str]
    begun: float
    deadline: float
    waiting: set[tuple[str, int]]
    unsure: list[tuple[tuple[str, int], int]]
    probed: tuple[str, int] | None = None
    absent: int = 0
    silent: frozenset[tuple[str, int]] = frozenset()
    probes: int = 0
    returned: frozenset[tuple[str, int]] = frozenset()
    doubted: bool = False
    opening: bool = False
    complete: bool = True


_Kind = frames.Kind
_Address = tuple[str, int]


class Found(msgspec.Struct, frozen=True):
    """A flow that a search has found.

    Attributes:
        key: Flow key.
        owner: Address of its side process.
        service: Number of its service.
        sends: Its packets that have waited, for the owner.
    """

    key: bytes
    owner: tuple[str, int]
    service: int
    sends: tuple[outcomes.Outcome, ...]


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
        self._former = former
        self._counts = counts
        self._report = report
        self._search_by_key: dict[bytes, Search] = {}
        self._unresolved = unresolved.UnresolvedFlows()
        self._rounds = query_rounds.QueryRounds(known)

    @property
    def busy(self) -> bool:
        """Whether searches are under way."""
        return bool(self._search_by_key) or self._rounds.pending

    def find(
        self,
        segment: formats.Segment,
        services: frozenset[str],
        data: bytes,
        now: float,
    ) -> list[outcomes.Outcome]:
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
            if len(search.packets) < MAX_PACKETS:
                search.packets.append(data)
            return []
        returned: frozenset[_Address] = frozenset()
        waiting = self._unresolved.get(key)
        if waiting is not None:
            if waiting.due > now:
                self._counts.add("unknown_flow")
                return []
            returned = waiting.returned
        return self._begin(segment, services, data, returned, 0, now)

    def _begin(
        self,
        segment: formats.Segment,
        services: frozenset[str],
        data: bytes,
        returned: frozenset[_Address],
        probes: int,
        now: float,
    ) -> list[outcomes.Outcome]:
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
        key = segment.key
        if len(self._search_by_key) >= MAX_SEARCHES:
            self._counts.add("searches_full")
            return []
        owners = self._possible_owners(segment, services, now)
        owners, waiting = self._asked(owners, now)
        if not waiting:
            self._counts.add("unknown_service")
            return []
        search = Search(
            packets=[data],
            services=services,
            begun=now,
            deadline=float("inf"),
            waiting=waiting,
            unsure=[],
            probes=probes,
            returned=returned,
            opening=segment.opens,
        )
        self._search_by_key[key] = search
        self._rounds.add(key, owners, now)
        self._counts.add("searches")
        return []

    def _possible_owners(
        self,
        segment: formats.Segment,
        services: frozenset[str],
        now: float,
    ) -> list[tuple[_Address, int]]:
        """Returns who may hold a flow, with their services' numbers.

        These are the side processes of the services that the flow's address
        has and had. After a loss of all processes nobody knows which it had,
        so for some time all services are asked.

        Args:
            segment: Header of the flow's packet.
            services: Services that its route names.
            now: Present time, seconds.
        """
        address = self._format.service_address(segment.key)
        asked = services | self._former.services(address)
        if now < self._former.complete_from and asked and not segment.opens:
            asked = frozenset(self._directory.by_service)
        return [
            (target.address, frames.service_number(service))
            for service in asked
            for target in self._directory.targets(service)
        ]

    def _asked(
        self, owners: list[tuple[_Address, int]], now: float
    ) -> tuple[list[tuple[_Address, int]], set[_Address]]:
        """Returns whom to ask, and whose answers to wait for.

        An abandoned process is asked now and then, in case it is back.
        """
        asked = []
        waiting = set()
        for address, number in owners:
            if not self._directory.abandoned(address, now):
                waiting.add(address)
            elif not self._directory.responsive.retry_due(address, now):
                continue
            asked.append((address, number))
        return asked, waiting

    def on_held(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[Found]:
        """Ends searches: a side process holds these flows."""
        self._rounds.answered(source, now)
        return [
            self._found(key, frame.service, source, now)
            for key in _keys(frame)
            if key in self._search_by_key
        ]

    def _found(
        self, key: bytes, service: int, source: _Address, now: float
    ) -> Found:
        search = self._search_by_key.pop(key)
        self._unresolved.resolve(key)
        self._report_end(key, search, "found", source[0], now)
        # A probed target has had the first packet already.
        first = 1 if search.probed == source else 0
        sends = tuple(
            outcomes.ToPeer(
                source, frames.encode(_Kind.PACKET, service, key, packet)
            )
            for packet in search.packets[first:]
        )
        return Found(key, source, service, sends)

    def on_absent(
        self, frame: frames.Frame, source: _Address, now: float
    ) -> list[outcomes.Outcome]:
        """Takes the answer of a side process that knows of no such flow."""
        self._rounds.answered(source, now)
        sends: list[outcomes.Outcome] = []
        for key in _keys(frame):
            search = self._search_by_key.get(key)
            if search is None or source not in search.waiting:
                continue
            search.waiting.discard(source)
            doubts = frame.kind is _Kind.UNSURE
            search.doubted |= doubts
            if doubts and source not in search.returned:
                search.unsure.append((source, frame.service))
            else:
                search.absent += 1
            if not search.waiting:
                sends.extend(self._probe_next(key, search, now))
        return sends

    def _probe_next(
        self, key: bytes, search: Search, now: float
    ) -> list[outcomes.Outcome]:
        """Hands the first packet to the next target that may hold the flow.

        A target would take an opening packet for a new flow.
        """
        if search.unsure and (search.opening or search.probes >= MAX_PROBES):
            search.complete = False
            search.unsure.clear()
        if not search.unsure:
            return self._end_search(key, search, now)
        if search.probed is None:
            self._rank(key, search)
        address, number = search.unsure.pop(0)
        search.probed = address
        search.probes += 1
        search.deadline = now + PROBE_S
        self._directory.responsive.asked(address, now)
        message = frames.encode(_Kind.PROBE, number, key, search.packets[0])
        return [outcomes.ToPeer(address, message)]

    def _rank(self, key: bytes, search: Search) -> None:
        """Puts the likely owners of a flow first."""
        place_by_address = {
            target.address: place
            for targets in self._directory.by_service.values()
            for place, target in enumerate(candidates.ranked(key, targets))
        }
        last = len(place_by_address)
        search.unsure.sort(key=lambda one: place_by_address.get(one[0], last))

    def _end_search(
        self, key: bytes, search: Search, now: float
    ) -> list[outcomes.Outcome]:
        """Gives up a search; resets a flow that surely nobody holds.

        Its target has died, and the caller can try again at once. If anybody
        has not answered, or somebody may not be known, there is silence.
        """
        del self._search_by_key[key]
        segment = self._format.from_caller(search.packets[0])
        assert segment is not None, "a search's packet was parsed before"
        nowhere = search.complete and self._all_known(search, now)
        if nowhere and not segment.resets:
            self._unresolved.resolve(key)
            self._report_end(key, search, "reset", None, now)
            reset = self._format.reset(segment)
            return [outcomes.ToCaller(self._format.caller(key), reset)]
        self._put_off(segment, search, now)
        self._report_end(key, search, "not found", None, now)
        return []

    def _all_known(self, search: Search, now: float) -> bool:
        """Tells whether nobody but those asked may hold a flow."""
        if search.opening or now >= self._directory.complete_from:
            return True
        settled = now >= self._directory.denials_count_from
        return settled and not search.doubted

    def _put_off(
        self, segment: formats.Segment, search: Search, now: float
    ) -> None:
        """Lets a flow that may be held wait for its next search.

        Its caller may send the next packet only seconds later.
        """
        flow = unresolved.Unresolved(
            segment=segment,
            services=search.services,
            packet=search.packets[0],
            begun=search.begun,
            returned=search.returned,
            probes=search.probes,
        )
        if not self._unresolved.keep(flow, now):
            self._counts.add("unresolved_full")

    def _retry(self, now: float) -> None:
        """Searches again for flows that are due."""
        settled = self._directory.settled(now)
        for flow in self._unresolved.due(settled, now):
            if flow.segment.key not in self._search_by_key:
                self._counts.add("searched_again")
                self._begin(
                    flow.segment,
                    flow.services,
                    flow.packet,
                    flow.returned,
                    flow.probes,
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
        if search.probed != source:
            return []
        search.absent += 1
        search.returned |= {source}
        return self._probe_next(key, search, now)

    def on_tick(self, now: float) -> list[outcomes.Outcome]:
        """Sends questions that are due; goes on without missing answers."""
        self._retry(now)
        sends, asked = self._rounds.flush(now)
        for key in asked & self._search_by_key.keys():
            self._search_by_key[key].deadline = now + query_rounds.ANSWER_S
        for key, search in list(self._search_by_key.items()):
            if now >= search.deadline:
                search.complete = False
                search.silent = frozenset(search.waiting)
                search.waiting.clear()
                sends.extend(self._probe_next(key, search, now))
        return sends

    def forget(self, key: bytes) -> None:
        """Gives up the search for a flow, and those that would follow."""
        self._search_by_key.pop(key, None)
        self._unresolved.resolve(key)

    def expire(self, now: float) -> None:
        """Forgets which flows were searched for in vain a while ago."""
        self._unresolved.expire(now)

    def _report_end(
        self,
        key: bytes,
        search: Search,
        outcome: str,
        target: str | None,
        now: float,
    ) -> None:
        self._counts.add(f"search_{outcome.replace(' ', '_')}")
        inputs: dict[str, object] = {
            "target": target,
            "absent": search.absent,
            "waiting": len(search.waiting),
            "unanswered": [address[0] for address in search.silent],
            "packets": len(search.packets),
            "age_ms": round((now - search.begun) * 1000, 1),
        }
        self._report(outcomes.Decision("search", outcome, key, inputs))


def _keys(frame: frames.Frame) -> list[bytes]:
    """Returns the keys that an answer to a search names."""
    if not frame.payload:
        return [frame.key]
    return frames.split_keys(frame.payload, len(frame.key)) or []
