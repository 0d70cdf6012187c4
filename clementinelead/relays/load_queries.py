"""Load queries for pending flows, and reuse of recent replies."""

from clementinelead.relays import candidates
from clementinelead.relays import directory
from clementinelead.relays import frames
from clementinelead.relays import outcomes
from clementinelead.relays import pending_flows
from clementinelead.relays import recent_loads
from clementinelead.telemetry import counters

__all__ = ["LOAD_REPLY_TIMEOUT_S", "LoadQueries"]

LOAD_REPLY_TIMEOUT_S = 0.03
"""Time without a reply after which further targets are queried, seconds."""


class LoadQueries:
    """Obtains the loads of targets for a placement, from replies or a cache.

    Attributes:
        recent: Loads that targets have reported within the last moments.
    """

    def __init__(
        self, targets: directory.Directory, counts: counters.CounterSet
    ):
        """Creates an empty cache of loads.

        Args:
            targets: The targets of all services.
            counts: Receives the count of placements that needed no query.
        """
        self.recent = recent_loads.RecentLoads()
        self._directory = targets
        self._counts = counts

    def _unqueried(
        self, placement: pending_flows.Placement
    ) -> list[candidates.Target]:
        """Returns the accepting targets that were not queried."""
        queried = placement.awaiting_reply | placement.timed_out
        queried |= set(placement.load_by_address)
        return [
            target
            for target in self._directory.placement_targets(placement.service)
            if target.accepting and target.address not in queried
        ]

    def has_unqueried(self, placement: pending_flows.Placement) -> bool:
        """Returns whether there are targets that a flow can still query.

        Args:
            placement: The flow.
        """
        return bool(self._unqueried(placement))

    def _ranked_unqueried(
        self, key: bytes, placement: pending_flows.Placement, now: float
    ) -> tuple[list[candidates.Target], list[candidates.Target]]:
        """Returns accepting targets that were not queried, and suspected ones.

        Both lists are in the flow's rendezvous order.
        """
        responsive: list[candidates.Target] = []
        suspects: list[candidates.Target] = []
        for target in candidates.ranked(key, self._unqueried(placement)):
            suspect = self._directory.responsiveness.is_suspect(
                target.address, now
            )
            (suspects if suspect else responsive).append(target)
        return responsive, suspects

    def _select(
        self, ordered: list[candidates.Target]
    ) -> list[candidates.Target]:
        """Returns the targets to query, see ``candidates.select``."""
        return candidates.select(
            ordered, self._directory.zone, self._directory.queried_in_zone
        )

    def use_recent(
        self, key: bytes, placement: pending_flows.Placement, now: float
    ) -> bool:
        """Fills a placement with recent loads of the flow's first targets.

        Args:
            key: Flow key.
            placement: A placement without any query.
            now: Present time, seconds.

        Returns:
            Whether all of these loads are recent enough; if not, the placement
            is unchanged.
        """
        responsive, _ = self._ranked_unqueried(key, placement, now)
        load_by_address = {}
        for target in self._select(responsive):
            load = self.recent.load_ms(target.address, now)
            if load is None:
                return False
            load_by_address[target.address] = load
        if not load_by_address:
            return False
        placement.load_by_address.update(load_by_address)
        placement.queried.extend(load_by_address)
        self._counts.add("loads_recalled")
        return True

    def query_targets(
        self, key: bytes, placement: pending_flows.Placement, now: float
    ) -> list[outcomes.Outcome]:
        """Returns load queries to targets that have not been queried yet.

        One suspected target is queried too, if its retry is due or there is no
        other one.

        Args:
            key: Flow key.
            placement: Its placement; the queried targets are added to it.
            now: Present time, seconds.
        """
        responsive, suspects = self._ranked_unqueried(key, placement, now)
        chosen = self._select(responsive)
        due = [
            target
            for target in suspects
            if not chosen
            or self._directory.responsiveness.retry_due(target.address, now)
        ]
        message = frames.encode(
            frames.Kind.QUERY_LOAD,
            placement.number,
            key,
            value=placement.remaining_ms(now),
        )
        queries: list[outcomes.Outcome] = []
        for target in chosen + due[:1]:
            if target.address not in placement.queried:
                placement.queried.append(target.address)
            placement.awaiting_reply.add(target.address)
            self._directory.responsiveness.record_query(target.address, now)
            queries.append(outcomes.ToPeer(target.address, message))
        placement.deadline = now + LOAD_REPLY_TIMEOUT_S
        return queries

    def may_become_ready(self, placement: pending_flows.Placement) -> bool:
        """Returns whether a target of the service may soon accept a flow.

        That holds for a target that is starting or that left the opening
        packet unanswered. It also holds for a service without any target in
        the directory, as all of them may be starting.

        Args:
            placement: The flow.
        """
        if not self._directory.targets(placement.service):
            return True
        targets = self._directory.placement_targets(placement.service)
        starting = any(target.starting for target in targets)
        return starting or bool(placement.tried)

    def record_reply(
        self, frame: frames.Frame, source: tuple[str, int], now: float
    ) -> None:
        """Caches a target's load for the flows that arrive soon after.

        A target that is busy or does not accept flows loses its cached load.

        Args:
            frame: The target's reply.
            source: Address of the target's side process.
            now: Present time, seconds.
        """
        accepts = frame.value != frames.NOT_ACCEPTING
        if frame.kind is frames.Kind.LOAD and accepts:
            self.recent.record(source, frame.value, now)
        else:
            self.recent.discard(source)
