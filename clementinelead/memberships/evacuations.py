"""Evacuated availability zones, whose targets get no new flows.

The operator evacuates and restores zones in the store. Balancers that watch
the store read the state there; the others receive it from peers. States are
ordered by store era and revision, so an old state that arrives late never
replaces a newer one.
"""

import msgspec

__all__ = [
    "MAX_ZONES",
    "RESTORED_STORE_GRACE_S",
    "UNKNOWN",
    "EvacuationState",
    "EvacuationView",
    "is_valid_zone",
]

MAX_ZONES = 64
"""Most zones in a state, which every control message carries."""

MAX_ZONE_BYTES = 64
"""Longest name of a zone, bytes."""

RESTORED_STORE_GRACE_S = 10.0
"""Time for which zones stay evacuated that a new store era lacks, seconds.

A store that comes back from an older copy has lost the latest writes of the
operator, who repeats them.
"""


class EvacuationState(msgspec.Struct, frozen=True):
    """The zones that were evacuated at a revision of the store.

    Attributes:
        era: Store era in which it was read.
        revision: Revision of the store at which it was read; 0 if no state has
            been read.
        zones: Names of the evacuated zones.
    """

    era: int
    revision: int
    zones: frozenset[str]

    @property
    def version(self) -> tuple[int, int]:
        """Sort key of states."""
        return self.era, self.revision

    @property
    def is_known(self) -> bool:
        """Whether a state has been read."""
        return self.revision > 0


UNKNOWN = EvacuationState(0, 0, frozenset())


def is_valid_zone(name: str) -> bool:
    """Returns whether a name can be that of an availability zone.

    Args:
        name: Name from the store or a message.

    Examples:
        >>> is_valid_zone("north-a"), is_valid_zone("")
        (True, False)
    """
    return 0 < len(name.encode()) <= MAX_ZONE_BYTES


class EvacuationView:
    """The newest state that this process has received, and what it implies.

    Attributes:
        state: Newest state received.
    """

    def __init__(self) -> None:
        self.state = UNKNOWN
        self._grace_end_by_zone: dict[str, float] = {}

    def adopt(self, received: EvacuationState, now: float) -> bool:
        """Replaces the state if the received one is newer.

        Args:
            received: State from the store or a peer.
            now: Present time, seconds.

        Returns:
            Whether it was newer.
        """
        previous = self.state
        if received.version <= previous.version:
            return False
        if received.era > previous.era and previous.is_known:
            for zone in previous.zones - received.zones:
                self._grace_end_by_zone[zone] = now + RESTORED_STORE_GRACE_S
        self.state = received
        return True

    def zones(self, now: float) -> frozenset[str]:
        """Returns the zones whose targets get no new flows.

        Args:
            now: Present time, seconds.
        """
        if not self._grace_end_by_zone:
            return self.state.zones
        self._grace_end_by_zone = {
            zone: end
            for zone, end in self._grace_end_by_zone.items()
            if end > now and zone not in self.state.zones
        }
        return self.state.zones.union(self._grace_end_by_zone)
