"""A balancer's memory of where flows are; losing it costs a search."""

import msgspec

from clementinelead.relays import sequences

__all__ = ["CachedFlow", "FlowCache"]

MAX_FLOWS = 200_000
"""Flows remembered; at the aim a balancer sees some 10,000 at a time."""

CLOSED_FLOW_TTL_S = 5.0
"""Time that a closed flow is remembered, for packets sent again."""

MAX_IDLE_S = 90.0
"""Time without a packet after which a flow is forgotten in any case."""


class CachedFlow(msgspec.Struct):
    """Where a flow is.

    Attributes:
        service: Number of the service.
        owners: Side processes whose targets have answered the opening packet,
            with the sequence number of the answer if it is known.
        opened: When the first of them was learned, seconds.
        last: When a packet was last seen, seconds.
        settled: Whether the caller has chosen among several owners.
        closing: Whether an end of the flow has been seen.
    """

    service: int
    owners: list[tuple[tuple[str, int], int | None]]
    first_reply_at: float
    last_packet_at: float
    owner_confirmed: bool = False
    closing: bool = False

    def owner(self) -> tuple[str, int]:
        """Returns the address of the flow's side process."""
        return self.owners[0][0]

    def confirm_owner(self, acknowledgement: int) -> bool:
        """Keeps the owner whose sequence number the caller acknowledges.

        Args:
            acknowledgement: Of a packet that does not open the flow.

        Returns:
            Whether one of the owners can be the caller's choice. If none can,
            the flow was opened at another target through another balancer.
        """
        chosen = [
            (address, sequence)
            for address, sequence in self.owners
            if sequence is None
            or sequences.acknowledges(acknowledgement, sequence)
        ]
        if not chosen:
            return False
        self.owners = chosen[:1]
        self.owner_confirmed = True
        return True

    def add_owner(self, address: tuple[str, int], sequence: int | None) -> None:
        """Notes one more side process whose target has answered."""
        if all(known != address for known, _ in self.owners):
            self.owners.append((address, sequence))


class FlowCache:
    """Cached flows by key, the oldest first."""

    def __init__(self) -> None:
        self.by_key: dict[bytes, CachedFlow] = {}

    def put(self, key: bytes, flow: CachedFlow) -> None:
        """Remembers a flow; forgets the oldest one beyond the bound."""
        if len(self.by_key) >= MAX_FLOWS:
            del self.by_key[next(iter(self.by_key))]
        self.by_key[key] = flow

    def discard(self, key: bytes) -> None:
        """Forgets a flow."""
        self.by_key.pop(key, None)

    def expire(self, now: float, idle_timeout_s: float) -> None:
        """Forgets flows that have ended or been idle for long.

        Args:
            now: Present time, seconds.
            idle_timeout_s: Idle time that the configuration allows.
        """
        idle = min(MAX_IDLE_S, idle_timeout_s + CLOSED_FLOW_TTL_S)
        ended = [
            key
            for key, flow in self.by_key.items()
            if now - flow.last_packet_at
            > (CLOSED_FLOW_TTL_S if flow.closing else idle)
        ]
        for key in ended:
            del self.by_key[key]
