"""State of a search for the owner of a flow, and its result."""

import msgspec

from clementinelead.relays import address_sets
from clementinelead.relays import formats
from clementinelead.relays import outcomes
from clementinelead.relays import possible_owners

__all__ = ["FoundFlow", "Search"]

OPENING_AGE_S = 10.0
"""Time for which an opening packet may be sent, queued and searched for.

Callers send copies for 0.6 s and give up after 1.4 s. A balancer places the
flow for up to 1.2 s and repeats the search for up to 5 s. The rest allows for
queues in sockets and links.
"""


class Search(msgspec.Struct):
    """A search for the owner of a flow.

    Attributes:
        segment: Header of the first packet.
        services: Services that its route names.
        packets: Packets of the flow that have arrived since, in order.
        began_at: Start of the search, seconds.
        deadline: Time of the next step if replies are still missing, seconds.
        queried: Side processes that were queried.
        awaiting_reply: Those of them that have not replied.
        not_awaited: Those of them whose reply is not waited for, as they have
            not replied to others for long.
        unsure_owners: Side processes whose target may hold the flow, and that
            were not probed yet.
        probed: Side processes whose targets got the first packet.
        awaiting_return: Those of them whose target may return it in time.
        wave_size: Number of targets that are probed at once next.
        everywhere: Whether the targets of all services are searched.
        absent_count: Number of side processes that do not hold the flow.
        timed_out: Side processes that have not replied in time.
        not_returned: Probed ones whose target has not returned the packet in
            time.
        any_unsure: Whether a side process has replied that it is unsure.
        may_be_stale: Whether the first packet may have been queued for longer
            than ``OPENING_AGE_S`` while this process was paused.
    """

    segment: formats.Segment
    services: frozenset[str]
    packets: list[bytes]
    began_at: float
    deadline: float
    queried: address_sets.AddressSet
    awaiting_reply: address_sets.AddressSet
    unsure_owners: list[possible_owners.Owner]
    wave_size: int
    probed: address_sets.AddressSet
    awaiting_return: address_sets.AddressSet
    timed_out: address_sets.AddressSet
    not_returned: address_sets.AddressSet
    not_awaited: set[tuple[str, int]] = msgspec.field(default_factory=set)
    everywhere: bool = False
    absent_count: int = 0
    any_unsure: bool = False
    may_be_stale: bool = True

    @property
    def all_replied(self) -> bool:
        """Whether no reply is missing and no unsure target left to probe."""
        missing = self.awaiting_reply or self.timed_out or self.not_returned
        return not missing and not self.unsure_owners

    @property
    def idle(self) -> bool:
        """Whether no reply and no return is awaited, or is still due."""
        return not (
            self.awaiting_reply or self.timed_out or self.awaiting_return
        )

    def take_reply(self, source: tuple[str, int]) -> bool:
        """Returns whether a reply of a side process is due, in time or late.

        Args:
            source: Address of the side process; it is not due any longer.
        """
        if source in self.awaiting_reply:
            self.awaiting_reply.discard(source)
            return True
        if source in self.timed_out:
            self.timed_out.discard(source)
            return True
        if source in self.not_awaited:
            # It responds again, and its target may hold the flow.
            self.not_awaited.discard(source)
            return True
        return False

    @property
    def opening(self) -> bool:
        """Whether the first packet opens the flow.

        Such a flow is less than two seconds old. If it is open at all, it is
        held by a target of its route.
        """
        return self.segment.opens

    def denies(self, age_ms: int) -> bool:
        """Returns whether an unsure side process does not hold the flow.

        A process records all flows that are opened after its start. It may
        lack only those that were opened before, and no opening packet of this
        flow is as old as the process.

        Args:
            age_ms: Time for which the process has run, milliseconds; 0 if it
                is unknown or the flow is recorded.
        """
        fresh = self.opening and not self.may_be_stale
        return fresh and age_ms >= OPENING_AGE_S * 1000

    def log_inputs(self, target: str | None, now: float) -> dict[str, object]:
        """Returns the inputs of the decision that ended the search, for the log.

        Args:
            target: IP address of the owner, None if none was found.
            now: Present time, seconds.
        """
        return {
            "target": target,
            "absent": self.absent_count,
            "queried": len(self.queried),
            "probed": len(self.probed),
            "everywhere": self.everywhere,
            "waiting": len(self.awaiting_reply),
            "unanswered": [address[0] for address in self.timed_out],
            "packets": len(self.packets),
            "age_ms": round((now - self.began_at) * 1000, 1),
        }


class FoundFlow(msgspec.Struct, frozen=True):
    """A flow whose owner a search has found.

    Attributes:
        key: Flow key.
        owner: Address of its side process.
        service: Number of its service.
        datagrams: The flow's queued packets, addressed to the owner.
    """

    key: bytes
    owner: tuple[str, int]
    service: int
    datagrams: tuple[outcomes.Outcome, ...]
