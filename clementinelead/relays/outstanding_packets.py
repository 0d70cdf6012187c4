"""Packets sent to the target for which a balancer expects a reply."""

__all__ = ["RETURN_TIMEOUT_S", "OutstandingPackets"]

RETURN_TIMEOUT_S = 0.02
"""Time in which a target returns a packet of a flow not held, seconds."""

OPENING_TIMEOUT_S = 1.5
"""Time in which a target may answer an opening packet, seconds.

Callers time an attempt out after 1.4 s.
"""

RETURN_RETENTION_S = 10.0
"""Time for which a return of a flow's packet is kept, seconds.

Callers retransmit for several seconds. A target that is slow to return a packet
would otherwise get each of them, and seem to hold the flow each time.
"""

MAX_RETURNS = 16_384
"""Most flows whose return is kept; beyond, the oldest is dropped."""

_Address = tuple[str, int]
_SenderAndDeadline = tuple[_Address, float]


class OutstandingPackets:
    """Senders of opening and probing packets, by flow key.

    A probing packet belongs to a flow that the target may not hold. The target
    confirms the flow if it sends a packet of it or doesn't return the probe.
    """

    def __init__(self) -> None:
        self._opening_by_key: dict[bytes, _SenderAndDeadline] = {}
        self._probe_by_key: dict[bytes, _SenderAndDeadline] = {}
        self._returned_at_by_key: dict[bytes, float] = {}  # oldest first

    @property
    def has_probes(self) -> bool:
        """Whether a probe is outstanding."""
        return bool(self._probe_by_key)

    def add_opening(self, key: bytes, balancer: _Address, now: float) -> None:
        """Records an opening packet sent to the target.

        From then on the target may hold the flow even if it has returned one
        of its packets before.

        Args:
            key: Flow key.
            balancer: Balancer that sent the packet.
            now: Present time, seconds.
        """
        self._opening_by_key[key] = (balancer, now + OPENING_TIMEOUT_S)
        self._returned_at_by_key.pop(key, None)

    def record_return(self, key: bytes, now: float) -> None:
        """Records that the target has returned a packet of a flow.

        Args:
            key: Flow key.
            now: Present time, seconds.
        """
        self._returned_at_by_key.pop(key, None)
        self._returned_at_by_key[key] = now
        if len(self._returned_at_by_key) > MAX_RETURNS:
            del self._returned_at_by_key[next(iter(self._returned_at_by_key))]

    def was_returned(self, key: bytes) -> bool:
        """Returns whether the target is known not to hold a flow.

        Args:
            key: Flow key.
        """
        return key in self._returned_at_by_key

    def add_probe(self, key: bytes, balancer: _Address, now: float) -> None:
        """Records a probe sent to the target.

        Args:
            key: Flow key.
            balancer: Balancer that sent the packet.
            now: Present time, seconds.
        """
        self._probe_by_key[key] = (balancer, now + RETURN_TIMEOUT_S)

    def opening_sender(self, key: bytes) -> _Address | None:
        """Returns the sender of a flow's opening packet, None if not recorded.

        Args:
            key: Flow key.
        """
        opening = self._opening_by_key.get(key)
        return opening[0] if opening else None

    def remove_opening(self, key: bytes) -> _Address | None:
        """Removes a flow's opening packet.

        Args:
            key: Flow key.

        Returns:
            Its sender, None if no packet was recorded.
        """
        opening = self._opening_by_key.pop(key, None)
        return opening[0] if opening else None

    def remove_probe(self, key: bytes) -> _Address | None:
        """Removes a flow's probe.

        Args:
            key: Flow key.

        Returns:
            Its sender, None if no probe was recorded.
        """
        probe = self._probe_by_key.pop(key, None)
        return probe[0] if probe else None

    def pop_unreturned_probes(self, now: float) -> list[tuple[bytes, _Address]]:
        """Removes the probes that the target has not returned in time.

        Args:
            now: Present time, seconds.

        Returns:
            Flow key and sender of each.
        """
        unreturned = [
            (key, balancer)
            for key, (balancer, deadline) in self._probe_by_key.items()
            if now >= deadline
        ]
        for key, _ in unreturned:
            del self._probe_by_key[key]
        return unreturned

    def expire(self, now: float) -> None:
        """Removes unanswered opening packets, and returns, that are old.

        Args:
            now: Present time, seconds.
        """
        for key, (_, deadline) in list(self._opening_by_key.items()):
            if deadline <= now:
                del self._opening_by_key[key]
        for key, returned_at in list(self._returned_at_by_key.items()):
            if now - returned_at < RETURN_RETENTION_S:
                break
            del self._returned_at_by_key[key]
