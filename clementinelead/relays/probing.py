"""Probes of the targets that may hold a flow.

A target whose side process is unsure gets the flow's first packet, and returns
it if it does not hold the flow. Probes are sent in waves that double in size,
the most likely owners first, so that any number of targets is probed within a
second.
"""

from clementinelead.relays import directory
from clementinelead.relays import frames
from clementinelead.relays import outcomes
from clementinelead.relays import possible_owners
from clementinelead.relays import returned_packets
from clementinelead.relays import searches
from clementinelead.relays import unresolved_flows

__all__ = ["Prober"]

PROBE_TIMEOUT_S = 0.06
"""Time in which a target must return a probe if it lacks the flow, seconds."""

MAX_EARLY_PROBES = 2
"""Most targets that are probed while the owner may be unreachable.

A flow counts as broken if three packets reach other targets, and none its
owner, within the time for which packets may be reordered.
"""

MAX_FIRST_PROBES = 6
"""Most targets that are probed before ``PROBE_ALL_AFTER_S``.

They are likely to have been queried when the flow was opened.
"""

PROBE_ALL_AFTER_S = 0.4
"""Time from the first search for a flow until all targets are probed, seconds.

After a loss of power of all machines every target is unsure until its first
heartbeat shows that it has just started. Probes of all targets with every
packet would fill the links of small instances for seconds meanwhile.
"""

_Address = tuple[str, int]


class Prober:
    """Chooses the targets that are probed, and records which returned a packet.

    Opening packets are not used as probes, since a target would open a new
    flow for them.
    """

    def __init__(
        self,
        targets: directory.Directory,
        owners: possible_owners.PossibleOwners,
        unresolved: unresolved_flows.UnresolvedFlows,
    ):
        """Creates a prober that has no record of returned packets.

        Args:
            targets: The targets of all services.
            owners: Order of the targets by likelihood.
            unresolved: Flows that have been searched for before.
        """
        self._directory = targets
        self._owners = owners
        self._unresolved = unresolved
        self._returned = returned_packets.ReturnedPackets()

    def has_returned(self, key: bytes, source: _Address) -> bool:
        """Returns whether a target has returned a packet of a flow.

        Args:
            key: Flow key.
            source: Address of the target's side process.
        """
        return source in self._returned.sources(key)

    def first_wave_size(self, key: bytes) -> int:
        """Returns how many targets the next search for a flow probes at first.

        Targets that were slow to return a packet were taken for the owner for
        a moment, each in a search of its own.

        Args:
            key: Flow key.
        """
        return max(MAX_EARLY_PROBES, len(self._returned.sources(key)))

    def record_return(
        self,
        key: bytes,
        search: searches.Search | None,
        source: _Address,
        now: float,
    ) -> bool:
        """Records a packet that a target returned.

        Args:
            key: Flow key.
            search: The search for the flow in progress, if there is one.
            source: Address of the target's side process.
            now: Present time, seconds.

        Returns:
            Whether all targets of a wave have returned the packet now.
        """
        self._returned.record(key, source, now)
        if search is None:
            return False
        if source in search.not_returned:
            search.not_returned.discard(source)
            search.absent_count += 1
            return False
        if source not in search.awaiting_return:
            return False
        search.awaiting_return.discard(source)
        search.absent_count += 1
        return not search.awaiting_return

    def sort_owners(self, key: bytes, search: searches.Search) -> None:
        """Sorts the targets that are left to probe, the most likely first.

        Args:
            key: Flow key.
            search: The search for the flow.
        """
        search.unsure_owners = self._owners.by_likelihood(
            key, search.unsure_owners
        )

    def probe_next(
        self,
        key: bytes,
        search: searches.Search,
        owner_may_return: bool,
        now: float,
    ) -> list[outcomes.Outcome]:
        """Probes the next wave of targets with the flow's first packet.

        Args:
            key: Flow key.
            search: The search for the flow.
            owner_may_return: Whether the owner may be a side process that does
                not reply; only the most likely targets are probed meanwhile.
            now: Present time, seconds.

        Returns:
            The probes; none if no target may be probed now.
        """
        max_probes = self._max_probes(key, search, owner_may_return, now)
        count = min(search.wave_size, max_probes)
        wave = search.unsure_owners[:count]
        if not wave:
            return []
        del search.unsure_owners[:count]
        search.wave_size *= 2
        search.deadline = now + PROBE_TIMEOUT_S
        sends: list[outcomes.Outcome] = []
        for address, number in wave:
            search.probed.add(address)
            search.awaiting_return.add(address)
            self._directory.responsiveness.record_query(address, now)
            message = frames.encode(
                frames.Kind.PROBE, number, key, search.packets[0]
            )
            sends.append(outcomes.ToPeer(address, message))
        return sends

    def _max_probes(
        self,
        key: bytes,
        search: searches.Search,
        owner_may_return: bool,
        now: float,
    ) -> int:
        """Returns how many more targets may be probed now.

        Once more than ``MAX_EARLY_PROBES`` targets have got the packet, the
        flow is broken unless the owner gets it soon, so a process that does
        not reply no longer holds back the other probes.
        """
        if search.opening:
            return 0
        reached = {*search.probed, *self._returned.sources(key)}
        if owner_may_return and len(reached) <= MAX_EARLY_PROBES:
            limit = MAX_EARLY_PROBES
        elif now - self._first_search_at(key, search) < PROBE_ALL_AFTER_S:
            limit = MAX_FIRST_PROBES
        else:
            return len(search.unsure_owners)
        return max(0, limit - len(reached))

    def _first_search_at(self, key: bytes, search: searches.Search) -> float:
        """Returns since when a flow has been searched for, seconds.

        A target that returns packets late ends a search, as it seems to hold
        the flow for a moment. Its return tells when that was.
        """
        last = self._unresolved.get(key)
        began_at = search.began_at if last is None else last.began_at
        return min(began_at, self._returned.first_at(key))

    def discard(self, key: bytes) -> None:
        """Drops the returns of a flow that may have been opened anew."""
        self._returned.discard(key)

    def expire(self, now: float) -> None:
        """Drops the returns that have expired.

        Args:
            now: Present time, seconds.
        """
        self._returned.expire(now)
