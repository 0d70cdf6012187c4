"""Packets that the target has been handed, and who waits for its answer."""

__all__ = ["RETURN_TIMEOUT_S", "OutstandingPackets"]

RETURN_TIMEOUT_S = 0.02
"""Time in which a target returns a packet that is not its own, seconds."""

OPENING_TIMEOUT_S = 1.5
"""Time in which a target may answer an opening packet, seconds.

Callers give an attempt up after 1.4 s.
"""

_Address = tuple[str, int]
_Due = tuple[_Address, float]


class OutstandingPackets:
    """Balancers that wait for a word on an opening or a probing packet."""

    def __init__(self) -> None:
        self._opener_by_key: dict[bytes, _Due] = {}
        self._probe_by_key: dict[bytes, _Due] = {}

    @property
    def has_probes(self) -> bool:
        """Whether somebody waits to hear whose a packet is."""
        return bool(self._probe_by_key)

    def add_opening(self, key: bytes, balancer: _Address, now: float) -> None:
        """Notes that the target is handed an opening packet."""
        self._opener_by_key[key] = (balancer, now + OPENING_TIMEOUT_S)

    def add_probe(self, key: bytes, balancer: _Address, now: float) -> None:
        """Notes that it is handed a packet that may not be its own."""
        self._probe_by_key[key] = (balancer, now + RETURN_TIMEOUT_S)

    def opening_sender(self, key: bytes) -> _Address | None:
        """Returns who has sent a flow's opening packet, if that is known."""
        opener = self._opener_by_key.get(key)
        return opener[0] if opener else None

    def remove_opening(self, key: bytes) -> _Address | None:
        """Forgets a flow's opening packet; returns who has sent it."""
        opener = self._opener_by_key.pop(key, None)
        return opener[0] if opener else None

    def remove_probe(self, key: bytes) -> _Address | None:
        """Forgets a probe; returns who has sent it, None if there is none."""
        probe = self._probe_by_key.pop(key, None)
        return probe[0] if probe else None

    def pop_unreturned_probes(self, now: float) -> list[tuple[bytes, _Address]]:
        """Forgets and returns the probes that the target has not returned."""
        overdue = [
            (key, balancer)
            for key, (balancer, until) in self._probe_by_key.items()
            if now >= until
        ]
        for key, _ in overdue:
            del self._probe_by_key[key]
        return overdue

    def expire(self, now: float) -> None:
        """Forgets opening packets that were never answered."""
        for key, (_, until) in list(self._opener_by_key.items()):
            if until <= now:
                del self._opener_by_key[key]
