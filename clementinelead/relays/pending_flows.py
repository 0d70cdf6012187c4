"""New flows that no target has accepted yet, and the best target for one."""

import msgspec

from clementinelead.relays import frames
from clementinelead.relays import routes

__all__ = ["Placement", "best_target"]

FIRST_HOLD_DELAY_S = 0.03
"""Time after which the targets are asked again, seconds."""

CROSS_ZONE_COST_MS = 3
"""What a target in another availability zone must be quicker, milliseconds.

A round trip between zones.
"""

EQUIVALENT_LOAD_SHARE = 0.25
"""Targets that need this much more than the best count as its equals.

Loads are estimates; the flow's hash spreads flows among equals, so that none
of them takes all while others idle.
"""

MAX_WAIT_S = 1.2
"""Time that a flow waits for a target at most, seconds.

Callers give an attempt up after 1.4 s, and can try again if told before.
"""


class Placement(msgspec.Struct):
    """A new flow that no target has accepted yet.

    Attributes:
        route: Route of the flow.
        service: Name of the service.
        number: Number of the service.
        packet: The opening packet.
        acknowledgement: Of the opening packet, for a reset.
        begun: When its caller began to wait, as far as is known, seconds.
        deadline: When to go on without what is missing, seconds.
        asked: Targets that have been asked, in the flow's rendezvous order.
        waiting: Targets that have been asked and may still answer in time.
        silent: Targets that have not.
        load_by_address: What the others have answered, milliseconds.
        tried: Targets that the packet has been sent to.
        busy: Targets that have answered that a new flow had better wait.
        may_be_open: Whether the flow may have been opened before.
        sent_to: Targets that have had the packet and may have answered it.
        chosen: The target that has it now.
        hold_s: Time until the targets are asked again, seconds.
    """

    route: routes.Route
    service: str
    number: int
    packet: bytes
    began_at: float
    deadline: float
    queried: list[tuple[str, int]]
    awaiting_reply: set[tuple[str, int]]
    load_by_address: dict[tuple[str, int], int]
    tried: list[tuple[str, int]]
    busy: set[tuple[str, int]]
    may_be_open: bool = False
    chosen: tuple[str, int] | None = None
    retry_delay_s: float = FIRST_HOLD_DELAY_S
    timed_out: set[tuple[str, int]] = msgspec.field(default_factory=set)
    delivered_to: set[tuple[str, int]] = msgspec.field(default_factory=set)

    def remaining_ms(self, now: float) -> int:
        """Returns what is left of the latency objective, milliseconds.

        A flow that is late already gets a free slot only: those that can
        still be in time go first.
        """
        waited_ms = (now - self.began_at) * 1000
        return max(1, int(self.route.objective_ms - waited_ms))

    @property
    def give_up_at(self) -> float:
        """When the caller no longer waits, or soon won't, seconds."""
        return self.began_at + min(MAX_WAIT_S, self.route.timeout_ms / 1000)

    def is_expired(self, now: float) -> bool:
        """Tells whether the flow is to be given up."""
        return now >= self.give_up_at

    def log_inputs(self, now: float) -> dict[str, object]:
        """Returns what a decision was made from, for the log."""
        unanswered = self.awaiting_reply | self.timed_out
        return {
            "service": self.service,
            "target": self.chosen[0] if self.chosen else None,
            "loads_ms": {
                address[0]: load
                for address, load in self.load_by_address.items()
            },
            "unanswered": [address[0] for address in unanswered],
            "tried": len(self.tried),
            "age_ms": round((now - self.began_at) * 1000, 1),
        }


def best_target(
    placement: Placement, near: frozenset[tuple[str, int]]
) -> tuple[str, int] | None:
    """Returns one of the targets soonest done of those that have answered.

    Args:
        placement: A placement.
        near: Targets in the balancer's availability zone.

    Returns:
        Its address, or None if no untried one accepts.
    """
    cost_by_address = {
        address: load + (0 if address in near else CROSS_ZONE_COST_MS)
        for address, load in placement.load_by_address.items()
        if load != frames.NOT_ACCEPTING
        and address not in placement.busy
        and address not in placement.tried
    }
    if not cost_by_address:
        return None
    limit = min(cost_by_address.values()) * (1 + EQUIVALENT_LOAD_SHARE)
    for address in placement.queried:
        if cost_by_address.get(address, limit + 1) <= limit:
            return address
    raise AssertionError("only targets that were asked have answered")
