"""Searches for the side process that holds a flow."""

import dataclasses

__all__ = ["Search"]

QUERY_DELAY_S = 0.002
"""Time that questions wait, so that many flows share a datagram, seconds."""

ANSWER_S = 0.06
"""Time that the side processes have to answer, seconds."""

PROBE_S = 0.06
"""Time that a target has to return a packet that is not its own, seconds."""

UNKNOWN_S = 0.25
"""Time that a flow counts as unknown after a search in vain, seconds."""

MAX_PROBES = 8
"""Targets that a packet is handed to at most, first in rendezvous order.

A flow is nearly always placed on one of the first.
"""

MAX_ASKED = 200
"""Side processes up to which all are asked, whatever service they are for.

Only then can a flow be said to be nowhere.
"""

MAX_PACKETS = 8
"""Packets of a flow kept while it is searched for."""

MAX_SEARCHES = 4_096
"""Searches at a time; a burst beyond it waits for its packets' repetition."""


@dataclasses.dataclass(slots=True)
class Search:
    """A search for the owner of a flow.

    Attributes:
        packets: The flow's packets that have come meanwhile.
        begun: When it began, seconds.
        deadline: When to go on without what is missing, seconds.
        waiting: Addresses that have been asked and not answered.
        unsure: Addresses, with the service's number, whose target may hold
            the flow.
        probed: The address whose target has been handed the first packet.
        absent: How many have said that they do not hold it.
        probes: Targets that have been handed the first packet.
        complete: Whether all side processes were asked and have answered.
    """

    packets: list[bytes]
    begun: float
    deadline: float
    waiting: set[tuple[str, int]]
    unsure: list[tuple[tuple[str, int], int]]
    probed: tuple[str, int] | None = None
    absent: int = 0
    probes: int = 0
    complete: bool = True
