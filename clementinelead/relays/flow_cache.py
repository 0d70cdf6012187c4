"""Cache of the owners of flows; a missing entry costs a search."""

import msgspec

from clementinelead.relays import sequences

__all__ = ["CachedFlow", "FlowCache"]

MAX_FLOWS = 200_000
"""Most cache entries; at the target load a balancer has some 10,000 flows."""

CLOSED_FLOW_TTL_S = 5.0
"""Time for which a closed flow stays cached, for retransmissions, seconds."""

MAX_IDLE_S = 90.0
"""Time without a packet after which any cache entry expires, seconds."""


class CachedFlow(msgspec.Struct):
    """Cache entry: the owner of a flow.

    Attributes:
        service: Number of the service.
        owners: Side processes whose targets have answered the opening packet,
            with the sequence number of the answer, None if it is not known.
        first_reply_at: Time when the first owner was cached, seconds.
        last_packet_at: Time of the last packet, seconds.
        owner_confirmed: Whether the caller has acknowledged one of the owners.
        closing: Whether a packet has closed or reset the flow.
    """

    service: int
    owners: list[tuple[tuple[str, int], int | None]]
    first_reply_at: float
    last_packet_at: float
    owner_confirmed: bool = False
    closing: bool = False

    def owner(self) -> tuple[str, int]:
        """Returns the side process that is the owner, or the first candidate."""
        return self.owners[0][0]

    def confirm_owner(self, acknowledgement: int) -> bool:
        """Keeps the owner whose sequence number the caller acknowledges.

        Args:
            acknowledgement: Acknowledgement number of a packet that does not
                open the flow.

        Returns:
            Whether an owner matches. If none does, the flow was opened at
            another target through another balancer.
        """
        matching = [
            (address, sequence)
            for address, sequence in self.owners
            if sequence is None
            or sequences.acknowledges(acknowledgement, sequence)
        ]
        if not matching:
            return False
        # The numbers of two targets may be so close that both match.
        closest = min(
            matching, key=lambda owner: _distance(acknowledgement, owner[1])
        )
        self.owners = [closest]
        self.owner_confirmed = True
        return True

    def add_owner(self, address: tuple[str, int], sequence: int | None) -> None:
        """Adds a side process whose target has answered the opening packet.

        Args:
            address: Address of the side process.
            sequence: Sequence number of the answer, None if it is not known.
        """
        if all(owner != address for owner, _ in self.owners):
            self.owners.append((address, sequence))


def _distance(acknowledgement: int, sequence: int | None) -> int:
    """Returns the distance from a sequence number, the largest if unknown."""
    if sequence is None:
        return sequences.MASK
    return sequences.distance(acknowledgement, sequence)


class FlowCache:
    """Cached flows by key, the oldest first."""

    def __init__(self) -> None:
        self.by_key: dict[bytes, CachedFlow] = {}

    def put(self, key: bytes, flow: CachedFlow) -> None:
        """Caches a flow; evicts the oldest entry if the cache is full."""
        if len(self.by_key) >= MAX_FLOWS:
            del self.by_key[next(iter(self.by_key))]
        self.by_key[key] = flow

    def discard(self, key: bytes) -> None:
        """Drops the entry of a flow, if there is one."""
        self.by_key.pop(key, None)

    def expire(self, now: float, idle_timeout_s: float) -> None:
        """Drops the entries of flows that have closed or idled for long.

        Args:
            now: Present time, seconds.
            idle_timeout_s: Idle time that the configuration allows, seconds.
        """
        max_idle_s = min(MAX_IDLE_S, idle_timeout_s + CLOSED_FLOW_TTL_S)
        expired = [
            key
            for key, flow in self.by_key.items()
            if now - flow.last_packet_at
            > (CLOSED_FLOW_TTL_S if flow.closing else max_idle_s)
        ]
        for key in expired:
            del self.by_key[key]
