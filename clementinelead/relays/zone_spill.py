"""Preference of a balancer for the targets of its own availability zone.

It answers demand that peaks in one zone after the other, where traffic between
zones is expensive: a flow leaves its zone only if the targets there would take
too long for it.
"""

import msgspec

from clementinelead.relays import pending_flows

__all__ = ["ZonePreference", "ZoneState", "is_spilling", "queried_in_zone"]

RETURN_FACTOR = 0.8
"""Factor on the bound below which a zone that spills stops spilling.

With one bound for both directions, a zone at the bound would alternate
between all of its flows and none.
"""

STATE_LIFETIME_S = 2.0
"""Time without a placement after which the state of a service is forgotten.

Seconds. The demand of a zone changes within a few seconds.
"""

QUERIED_IN_ZONE = 3
"""Number of targets in the own zone that are queried with a preference.

One query to another zone remains, so that a flow can spill without a second
round of queries.
"""

_Address = tuple[str, int]


class ZoneState(msgspec.Struct, frozen=True):
    """State of a service in the balancer's zone.

    Attributes:
        spilling: Whether its flows may leave the zone.
        observed_at: Time of the last placement with a load there, seconds.
    """

    spilling: bool
    observed_at: float


def queried_in_zone(spill_share: float) -> int | None:
    """Returns how many targets of the own zone are queried for a flow.

    Args:
        spill_share: Share of the objective up to which flows stay, 0 for no
            preference.

    Returns:
        The number, None for the usual one.
    """
    return QUERIED_IN_ZONE if spill_share > 0 else None


def is_spilling(
    state: ZoneState | None,
    expected_ms: float,
    objective_ms: float,
    spill_share: float,
    now: float,
) -> bool:
    """Returns whether a flow may leave its zone.

    Args:
        state: State of the service, None before its first placement.
        expected_ms: Expected time to the answer in the zone, milliseconds.
        objective_ms: Latency objective of the flow's route, milliseconds.
        spill_share: Share of the objective up to which flows stay.
        now: Present time, seconds.

    Examples:
        >>> is_spilling(None, 90, 200, 0.5, now=10.0)
        False
        >>> is_spilling(ZoneState(True, 9.9), 90, 200, 0.5, now=10.0)
        True
        >>> is_spilling(ZoneState(True, 9.9), 79, 200, 0.5, now=10.0)
        False
    """
    bound_ms = spill_share * objective_ms
    if (
        state is not None
        and state.spilling
        and now - state.observed_at < STATE_LIFETIME_S
    ):
        bound_ms *= RETURN_FACTOR
    return expected_ms >= bound_ms


class ZonePreference:
    """Chooses targets, those of the own zone first while they are fast.

    Whether a zone spills is remembered per service. The bound is relative to
    the objective, so it is the same share for all routes of a service.

    Attributes:
        spill_share: Share of the objective up to which flows stay in the
            zone, 0 for no preference.
        state_by_service: State of each service with a recent placement.
    """

    def __init__(self, spill_share: float):
        """Starts without state.

        Args:
            spill_share: See the attribute.
        """
        self.spill_share = spill_share
        self.state_by_service: dict[str, ZoneState] = {}

    def choose(
        self,
        placement: pending_flows.Placement,
        same_zone: frozenset[_Address],
        evacuated: frozenset[_Address],
        now: float,
    ) -> _Address | None:
        """Returns the target that gets the flow.

        Without a usable load from the own zone, it is the one that would
        finish the flow soonest.

        Args:
            placement: The pending flow, with the loads that targets reported.
            same_zone: Targets in the balancer's availability zone.
            evacuated: Targets in evacuated zones.
            now: Present time, seconds.

        Returns:
            Address of the target, or None if no untried target accepts the
            flow.
        """
        if self.spill_share > 0:
            cost_by_address = pending_flows.usable_costs(
                placement, same_zone, evacuated
            )
            local_cost_by_address = {
                address: cost
                for address, cost in cost_by_address.items()
                if address in same_zone
            }
            if local_cost_by_address and not self._spills(
                placement, min(local_cost_by_address.values()), now
            ):
                return pending_flows.first_of_lowest(
                    placement, local_cost_by_address
                )
        return pending_flows.best_target(placement, same_zone, evacuated)

    def _spills(
        self,
        placement: pending_flows.Placement,
        expected_ms: float,
        now: float,
    ) -> bool:
        """Decides whether a flow may leave the zone; records the state."""
        service = placement.service
        if service not in self.state_by_service:
            self._forget_old_states(now)
        spilling = is_spilling(
            self.state_by_service.get(service),
            expected_ms,
            placement.route.objective_ms,
            self.spill_share,
            now,
        )
        self.state_by_service[service] = ZoneState(spilling, now)
        return spilling

    def _forget_old_states(self, now: float) -> None:
        """Removes the states of services without a recent placement."""
        self.state_by_service = {
            service: state
            for service, state in self.state_by_service.items()
            if now - state.observed_at < STATE_LIFETIME_S
        }

    def outcome(
        self,
        placement: pending_flows.Placement,
        address: _Address,
        same_zone: frozenset[_Address],
    ) -> str | None:
        """Returns the cause under which a placement is counted.

        Args:
            placement: The pending flow.
            address: Target that gets it.
            same_zone: Targets in the balancer's availability zone.

        Returns:
            ``zone_kept``, ``zone_spilled``, ``zone_unknown`` if no target of
            the zone has replied, or None without a preference.
        """
        if self.spill_share <= 0:
            return None
        if address in same_zone:
            return "zone_kept"
        if same_zone.isdisjoint(placement.load_by_address):
            return "zone_unknown"
        return "zone_spilled"
