"""Placement of new flows: targets are asked, the one soonest done gets it."""

import dataclasses

from clementinelead.relays import frames
from clementinelead.relays import routes

__all__ = ["Placement", "best"]

ASKED = 4
"""Targets asked at once for a flow."""

GATHER_S = 0.008
"""Time given to the others once one target has answered, seconds.

Two round trips between availability zones and some processor time.
"""

ANSWER_S = 0.03
"""Time after which other targets are asked too, seconds."""

ACCEPT_S = 0.08
"""Time that a chosen target has to answer the opening packet, seconds."""

FIRST_HOLD_S = 0.03
"""Time after which the targets are asked again, seconds."""

HOLD_GROWTH = 1.5
"""Factor between one such time and the next.

Flows that have just come ask more often, so they go first when a slot gets
free: theirs are the answers that can still be in time.
"""

MAX_AGE_S = 1.2
"""Time that a flow waits for a target at most, seconds.

Callers give an attempt up after 1.4 s, and can try again if told before.
"""


@dataclasses.dataclass(slots=True)
class Placement:
    """A new flow that no target has accepted yet.

    Attributes:
        route: Route of the flow.
        service: Name of the service.
        number: Number of the service.
        packet: The opening packet.
        acknowledgement: Of the opening packet, for a reset.
        begun: When it arrived, seconds.
        deadline: When to go on without what is missing, seconds.
        waiting: Targets that have been asked and not answered.
        load_by_address: What the others have answered, milliseconds.
        tried: Targets that the packet has been sent to.
        busy: Targets that have answered that a new flow had better wait.
        chosen: The target that has it now.
        hold_s: Time until the targets are asked again, seconds.
    """

    route: routes.Route
    service: str
    number: int
    packet: bytes
    begun: float
    deadline: float
    waiting: set[tuple[str, int]]
    load_by_address: dict[tuple[str, int], int]
    tried: list[tuple[str, int]]
    busy: set[tuple[str, int]]
    chosen: tuple[str, int] | None = None
    hold_s: float = FIRST_HOLD_S

    def overdue(self, now: float) -> bool:
        """Tells whether the caller no longer waits, or soon won't."""
        waited_s = now - self.begun
        return waited_s >= min(MAX_AGE_S, self.route.timeout_ms / 1000)


def best(placement: Placement) -> tuple[str, int] | None:
    """Returns the target soonest done of those that have answered.

    Args:
        placement: A placement.

    Returns:
        Its address, or None if no untried one accepts.
    """
    found = None
    least = frames.NOT_ACCEPTING
    for address, load in placement.load_by_address.items():
        if address in placement.busy or address in placement.tried:
            continue
        if load < least:
            found, least = address, load
    return found
