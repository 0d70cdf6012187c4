"""Flows whose owner was searched for in vain, and when to search again."""

import msgspec

from clementinelead.relays import formats

__all__ = ["UNKNOWN_S", "Unresolved", "UnresolvedFlows"]

UNKNOWN_S = 0.25
"""Pause after the first search in vain, seconds."""

PAUSE_GROWTH = 1.5
"""Factor between one such pause and the next."""

RETRY_FOR_S = 5.0
"""Time in which a flow is searched for again without a further packet, seconds.

Callers send a packet again after up to 1.6 s, and wait for seconds.
"""

MAX_FLOWS = 4_096
"""Flows kept; those beyond it are searched for when their callers send again."""


class Unresolved(msgspec.Struct):
    """A flow that nobody was known to hold, and that may be held.

    Attributes:
        segment: Header of its packet.
        services: Services that its route names.
        packet: The packet.
        begun: When the first search for it began, seconds.
        returned: Addresses whose targets have returned the packet.
        probes: Targets that have been handed the packet.
        due: When the next search begins, seconds.
        pause_s: Time from the last search to that, seconds.
    """

    segment: formats.Segment
    services: frozenset[str]
    packet: bytes
    begun: float
    returned: frozenset[tuple[str, int]]
    probes: int
    due: float = 0.0
    pause_s: float = UNKNOWN_S


class UnresolvedFlows:
    """Keeps flows until they are resolved, or their callers have given up."""

    def __init__(self) -> None:
        self._flow_by_key: dict[bytes, Unresolved] = {}
        self._next_due = float("inf")
        self._settled = False

    def get(self, key: bytes) -> Unresolved | None:
        """Returns a flow, None if it is not kept."""
        return self._flow_by_key.get(key)

    def keep(self, flow: Unresolved, now: float) -> bool:
        """Plans the next search for a flow.

        Args:
            flow: The flow, after a search in vain.
            now: Present time, seconds.

        Returns:
            Whether there is room for it.
        """
        key = flow.segment.key
        last = self._flow_by_key.get(key)
        if last is not None:
            flow.begun = last.begun
            flow.pause_s = PAUSE_GROWTH * last.pause_s
        elif len(self._flow_by_key) >= MAX_FLOWS:
            return False
        flow.due = now + flow.pause_s
        self._flow_by_key[key] = flow
        self._next_due = min(self._next_due, flow.due)
        return True

    def resolve(self, key: bytes) -> None:
        """Forgets a flow that has been found, or is nowhere."""
        self._flow_by_key.pop(key, None)

    def due(self, settled: bool, now: float) -> list[Unresolved]:
        """Returns the flows to search for now, all once nobody is missing.

        Args:
            settled: Whether some flows are known to be nowhere.
            now: Present time, seconds.
        """
        if settled and not self._settled:
            for flow in self._flow_by_key.values():
                flow.due = now
                flow.pause_s = UNKNOWN_S / PAUSE_GROWTH
            self._next_due = now
        self._settled = settled
        if now < self._next_due:
            return []
        found = []
        self._next_due = float("inf")
        for flow in self._flow_by_key.values():
            if flow.due > now:
                self._next_due = min(self._next_due, flow.due)
            elif not _given_up(flow, now):
                found.append(flow)
        return found

    def expire(self, now: float) -> None:
        """Forgets flows whose callers have given up or ended them."""
        for key, flow in list(self._flow_by_key.items()):
            if _given_up(flow, now) and flow.due <= now:
                del self._flow_by_key[key]


def _given_up(flow: Unresolved, now: float) -> bool:
    """Tells whether nobody waits for an answer in a flow any more."""
    return flow.segment.resets or now - flow.begun >= RETRY_FOR_S
