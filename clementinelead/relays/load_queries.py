"""Whom a balancer asks what a new flow would cost, and what it knows already."""

from clementinelead.relays import candidates
from clementinelead.relays import directory
from clementinelead.relays import frames
from clementinelead.relays import outcomes
from clementinelead.relays import pending_flows
from clementinelead.relays import recent_loads
from clementinelead.telemetry import counters

__all__ = ["LOAD_REPLY_TIMEOUT_S", "LoadQueries"]

LOAD_REPLY_TIMEOUT_S = 0.03
"""Time after which other targets are asked too, seconds."""


class LoadQueries:
    """Fills in the loads of a placement, from memory or by questions.

    Attributes:
        recent: What targets have told lately.
    """

    def __init__(self, known: directory.Directory, counts: counters.CounterSet):
        """Starts without answers.

        Args:
            known: The targets.
            counts: Counts placements that needed no question.
        """
        self.recent = recent_loads.RecentLoads()
        self._directory = known
        self._counts = counts

    def _accepting(
        self, key: bytes, placement: pending_flows.Placement, now: float
    ) -> tuple[list[candidates.Target], list[candidates.Target]]:
        """Returns targets not asked yet that take flows, and silent ones."""
        known = placement.awaiting_reply | placement.timed_out
        known |= set(placement.load_by_address)
        able: list[candidates.Target] = []
        suspects: list[candidates.Target] = []
        targets = self._directory.targets(placement.service)
        for target in candidates.ranked(key, targets):
            if not target.accepting or target.address in known:
                continue
            suspect = self._directory.responsiveness.is_suspect(
                target.address, now
            )
            (suspects if suspect else able).append(target)
        return able, suspects

    def use_recent(
        self, key: bytes, placement: pending_flows.Placement, now: float
    ) -> bool:
        """Uses what the flow's first targets have told lately, if all have.

        Args:
            key: Flow key.
            placement: A placement for which nobody has been asked.
            now: Present time, seconds.
        """
        able, _ = self._accepting(key, placement, now)
        load_by_address = {}
        for target in candidates.select(able, self._directory.zone):
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
        """Returns questions to targets that have not been asked yet.

        Args:
            key: Flow key.
            placement: Its placement.
            now: Present time, seconds.
        """
        able, suspects = self._accepting(key, placement, now)
        chosen = candidates.select(able, self._directory.zone)
        due = [
            target
            for target in suspects
            if not chosen
            or self._directory.responsiveness.retry_due(target.address, now)
        ]
        message = frames.encode(
            frames.Kind.ASK_LOAD,
            placement.number,
            key,
            value=placement.remaining_ms(now),
        )
        asked: list[outcomes.Outcome] = []
        for target in chosen + due[:1]:
            if target.address not in placement.queried:
                placement.queried.append(target.address)
            placement.awaiting_reply.add(target.address)
            self._directory.responsiveness.record_query(target.address, now)
            asked.append(outcomes.ToPeer(target.address, message))
        placement.deadline = now + LOAD_REPLY_TIMEOUT_S
        return asked

    def record_reply(
        self, frame: frames.Frame, source: tuple[str, int], now: float
    ) -> None:
        """Remembers a target's answer for the flows that come soon after.

        Args:
            frame: The answer.
            source: Address of the target's side process.
            now: Present time, seconds.
        """
        accepts = frame.value != frames.NOT_ACCEPTING
        if frame.kind is frames.Kind.LOAD and accepts:
            self.recent.record(source, frame.value, now)
        else:
            self.recent.discard(source)
