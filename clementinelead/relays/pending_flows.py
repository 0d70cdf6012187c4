"""State of new flows that no target has accepted yet; choice of a target."""

import msgspec

from clementinelead.relays import formats
from clementinelead.relays import frames
from clementinelead.relays import opening_retransmissions
from clementinelead.relays import routes

__all__ = [
    "Placement",
    "best_target",
    "first_of_lowest",
    "new_placement",
    "usable_costs",
]

FIRST_HOLD_DELAY_S = 0.03
"""Delay before a held flow queries the targets again, seconds."""

HOLD_BACKOFF_FACTOR = 1.5
"""Factor between consecutive delays before a held flow queries again.

Newer flows query more often and so get a free slot first: only they can still
be answered within the latency objective.
"""

CROSS_ZONE_COST_MS = 3
"""Cost added to the load of a target in another zone, milliseconds.

One round trip between availability zones.
"""

EQUIVALENT_LOAD_SHARE = 0.25
"""Share above the lowest cost up to which targets count as equivalent.

Loads are estimates. The flow's hash spreads flows over equivalent targets, so
that none of them receives all flows while others idle.
"""

MAX_WAIT_S = 1.2
"""Longest time that a flow waits for a target, seconds.

Callers time out after 1.4 s; a refusal before that lets them retry.
"""


class Placement(msgspec.Struct):
    """A new flow that no target has accepted yet.

    Attributes:
        route: Route of the flow.
        service: Name of the service.
        number: Number of the service.
        packet: The opening packet.
        began_at: Time from which the caller has waited, estimated from the
            retransmissions of its opening packet, seconds.
        deadline: Time of the next step if no reply arrives before, seconds.
        queried: Targets that were queried, in the flow's rendezvous order.
        awaiting_reply: Queried targets whose reply may still be in time.
        load_by_address: Loads that targets have reported, milliseconds.
        tried: Targets that the opening packet was sent to.
        busy: Targets that have reported that a new flow should wait.
        may_be_open: Whether the flow may have been opened before.
        chosen: Target whose answer to the opening packet is awaited.
        retry_delay_s: Delay before the targets are queried again, seconds.
        timed_out: Queried targets whose reply was not in time.
        delivered_to: Targets that have received the opening packet and may
            have answered it.
        asked_further: Whether further targets were considered once.
        waiting: Whether all targets were busy, or the flow yields to flows of
            a higher priority.
        paused: Whether it queries no target until its deadline.
        refusing: Whether it is to be refused at its deadline if it still
            can't be answered within its time budget.
        claims: Whether it takes the share of the placements that lower
            priorities are due.
        preferred: Whether its caller is served before others of the same
            priority, see ``caller_shares``.
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
    asked_further: bool = False
    waiting: bool = False
    paused: bool = False
    refusing: bool = False
    claims: bool = False
    preferred: bool = True

    def remaining_ms(self, now: float) -> int:
        """Returns what is left of the latency objective, milliseconds.

        It is 1 for a flow that has exceeded the objective. Such a flow gets a
        target with a free slot only, as flows that can still meet the
        objective take precedence.

        Args:
            now: Present time, seconds.
        """
        waited_ms = (now - self.began_at) * 1000
        return max(1, int(self.route.objective_ms - waited_ms))

    @property
    def rests(self) -> bool:
        """Whether the flow sends nothing until its deadline."""
        return self.paused or self.refusing

    @property
    def give_up_at(self) -> float:
        """Time at which the flow is refused if no target accepts, seconds."""
        return self.began_at + min(MAX_WAIT_S, self.route.timeout_ms / 1000)

    def start_pause(self, now: float) -> None:
        """Forgets the replies, and sets when the targets are queried again.

        Args:
            now: Present time, seconds.
        """
        self.load_by_address.clear()
        self.tried.clear()
        self.busy.clear()
        self.timed_out.clear()
        self.deadline = min(now + self.retry_delay_s, self.give_up_at)
        self.retry_delay_s *= HOLD_BACKOFF_FACTOR

    def is_expired(self, now: float) -> bool:
        """Returns whether the flow has waited too long and must be refused."""
        return now >= self.give_up_at

    def log_inputs(self, now: float) -> dict[str, object]:
        """Returns the inputs of a decision about the flow, for the log.

        Args:
            now: Present time, seconds.
        """
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


def new_placement(
    segment: formats.Segment,
    route: routes.Route,
    data: bytes,
    now: float,
    may_be_open: bool,
) -> Placement:
    """Returns a new flow that has queried no target.

    Args:
        segment: Header of the opening packet.
        route: Route of the flow.
        data: The opening packet.
        now: Present time, seconds; the first deadline.
        may_be_open: Whether the flow may have been opened before. A copy of an
            opening packet shows that, too.
    """
    service = route.select_service(segment.key)
    return Placement(
        route=route,
        service=service,
        number=frames.service_number(service),
        packet=data,
        began_at=now - opening_retransmissions.min_wait_s(segment.copies),
        deadline=now,
        queried=[],
        awaiting_reply=set(),
        load_by_address={},
        tried=[],
        busy=set(),
        may_be_open=may_be_open or segment.copies > 0,
    )


def best_target(
    placement: Placement,
    same_zone: frozenset[tuple[str, int]],
    evacuated: frozenset[tuple[str, int]] = frozenset(),
) -> tuple[str, int] | None:
    """Returns the target that would finish the flow soonest.

    The cost of a target is its reported load, plus a round trip if it is in
    another zone. Among targets of about the lowest cost, the first one in the
    flow's rendezvous order is chosen.

    Args:
        placement: The pending flow, with the loads that targets reported.
        same_zone: Targets in the balancer's availability zone.
        evacuated: Targets in evacuated zones.

    Returns:
        Address of the target, or None if no untried target accepts the flow.
    """
    cost_by_address = usable_costs(placement, same_zone, evacuated)
    if not cost_by_address:
        return None
    return first_of_lowest(placement, cost_by_address)


def usable_costs(
    placement: Placement,
    same_zone: frozenset[tuple[str, int]],
    evacuated: frozenset[tuple[str, int]],
) -> dict[tuple[str, int], int]:
    """Returns the costs of the targets that may get a flow, by address.

    Milliseconds. See ``best_target`` for the arguments.
    """
    return {
        address: load + (0 if address in same_zone else CROSS_ZONE_COST_MS)
        for address, load in placement.load_by_address.items()
        if load != frames.NOT_ACCEPTING
        and address not in placement.busy
        and address not in placement.tried
        and address not in evacuated
    }


def first_of_lowest(
    placement: Placement, cost_by_address: dict[tuple[str, int], int]
) -> tuple[str, int]:
    """Returns the first of the targets of about the lowest cost.

    Args:
        placement: The pending flow; its queried targets give the order.
        cost_by_address: Costs of the targets that may get it, at least one.
    """
    limit = min(cost_by_address.values()) * (1 + EQUIVALENT_LOAD_SHARE)
    for address in placement.queried:
        if cost_by_address.get(address, limit + 1) <= limit:
            return address
    raise AssertionError("a target that was not queried has reported a load")
