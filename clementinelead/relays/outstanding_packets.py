"""Packets sent to the target for which a balancer expects a reply."""

__all__ = ["RETURN_TIMEOUT_S", "OutstandingPackets"]

RETURN_TIMEOUT_S = 0.02
"""Time in which a target returns a packet of a flow not held, seconds."""

OPENING_TIMEOUT_S = 1.5
"""Time in which a target may answer an opening packet, seconds.

Callers time an attempt out after 1.4 s.
"""

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

    @property
    def has_probes(self) -> bool:
        """Whether a probe is outstanding."""
        return bool(self._probe_by_key)

    def add_opening(self, key: bytes, balancer: _Address, now: float) -> None:
        """Records an opening packet sent to the target.

        Args:
            key: Flow key.
            balancer: Balancer that sent the packet.
            now: Present time, seconds.
        """
        self._opening_by_key[key] = (balancer, now + OPENING_TIMEOUT_S)

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
        """Removes opening packets that the target has not answered in time.

        Args:
            now: Present time, seconds.
        """
        for key, (_, deadline) in list(self._opening_by_key.items()):
            if deadline <= now:
                del self._opening_by_key[key]
