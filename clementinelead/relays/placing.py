"""Placement of new flows: targets are asked, the one soonest done gets it."""

import dataclasses

from clementinelead.relays import frames

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

HOLD_S = 0.4
"""Time that a flow waits for a target whose queue is not full, seconds.

Longer and the answer would hardly come in time.
"""

HOLD_STEP_S = 0.03
"""Time after which the targets are asked again, seconds."""

MAX_AGE_S = 1.4
"""Time after which the caller has given the attempt up, seconds."""


@dataclasses.dataclass(slots=True)
class Placement:
    """A new flow that no target has accepted yet.

    Attributes:
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
    """

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


def best(placement: Placement, among_busy: bool) -> tuple[str, int] | None:
    """Returns the target soonest done of those that have answered.

    Args:
        placement: A placement.
        among_busy: Whether targets with full queues count too.

    Returns:
        Its address, or None if no untried one accepts.
    """
    found = None
    least = frames.NOT_ACCEPTING
    for address, load in placement.load_by_address.items():
        if not among_busy and address in placement.busy:
            continue
        if load < least and address not in placement.tried:
            found, least = address, load
    return found
