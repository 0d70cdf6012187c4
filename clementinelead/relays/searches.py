"""A search for the owner of a flow, and what it has found."""

import msgspec

from clementinelead.relays import formats
from clementinelead.relays import outcomes
from clementinelead.relays import possible_owners

__all__ = ["FoundFlow", "Search"]


class Search(msgspec.Struct):
    """A search for the owner of a flow.

    Attributes:
        segment: Header of the first packet.
        services: Services that its route names.
        packets: The flow's packets that have come meanwhile.
        begun: When it began, seconds.
        deadline: When to go on without what is missing, seconds.
        waiting: Addresses that have been asked and not answered.
        unsure: Those whose target may hold the flow.
        probed: The address whose target has been handed the first packet.
        absent: How many have said that they do not hold it.
        silent: Addresses that have not answered in time.
        probes: Targets that have been handed the first packet, in all searches
            for the flow.
        returned: Addresses whose targets have returned it, likewise.
        doubted: Whether somebody has answered that it is not sure.
        complete: Whether all who were asked have answered.
    """

    segment: formats.Segment
    services: frozenset[str]
    packets: list[bytes]
    began_at: float
    deadline: float
    awaiting_reply: set[tuple[str, int]]
    unsure_owners: list[possible_owners.Owner]
    probed_address: tuple[str, int] | None = None
    absent_count: int = 0
    timed_out: frozenset[tuple[str, int]] = frozenset()
    probe_count: int = 0
    returned_by: frozenset[tuple[str, int]] = frozenset()
    any_unsure: bool = False
    all_replied: bool = True

    @property
    def opening(self) -> bool:
        """Whether the first packet opens the flow.

        Then it is less than two seconds old, and at a target of its route if
        anywhere.
        """
        return self.segment.opens

    def log_inputs(self, target: str | None, now: float) -> dict[str, object]:
        """Returns what its end was decided from, for the log.

        Args:
            target: IP address of the owner that was found.
            now: Present time, seconds.
        """
        return {
            "target": target,
            "absent": self.absent_count,
            "waiting": len(self.awaiting_reply),
            "unanswered": [address[0] for address in self.timed_out],
            "packets": len(self.packets),
            "age_ms": round((now - self.began_at) * 1000, 1),
        }


class FoundFlow(msgspec.Struct, frozen=True):
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
    datagrams: tuple[outcomes.Outcome, ...]
