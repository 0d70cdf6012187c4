"""Which targets have returned the packets of flows that they do not hold."""

import msgspec

__all__ = ["RETENTION_S", "ReturnedPackets"]

RETENTION_S = 10.0
"""Time for which the returns of a flow are kept after the last one, seconds.

Callers retransmit for several seconds; each of their packets would otherwise
be sent to the same targets again.
"""

MAX_RETURNS = 65_536
"""Most returns that are kept; beyond, those of the oldest flow are dropped."""

_Address = tuple[str, int]


class _Returns(msgspec.Struct):
    sources: set[_Address]
    first_at: float
    last_at: float


class ReturnedPackets:
    """Returns by flow.

    A target that does not hold a flow can only get it by an opening packet, so
    a return stays valid beyond the search that caused it.
    """

    def __init__(self) -> None:
        self._returns_by_key: dict[bytes, _Returns] = {}
        self._count = 0

    def record(self, key: bytes, source: _Address, now: float) -> None:
        """Records that the target of a side process has returned a packet.

        Args:
            key: Flow key.
            source: Address of the side process.
            now: Present time, seconds.
        """
        returns = self._returns_by_key.pop(key, None)
        returns = returns or _Returns(set(), now, now)
        self._returns_by_key[key] = returns  # moves the flow to the end
        returns.last_at = now
        if source not in returns.sources:
            returns.sources.add(source)
            self._count += 1
        while self._count > MAX_RETURNS and len(self._returns_by_key) > 1:
            self.discard(next(iter(self._returns_by_key)))

    def sources(self, key: bytes) -> frozenset[_Address]:
        """Returns the side processes whose targets do not hold a flow.

        Args:
            key: Flow key.
        """
        returns = self._returns_by_key.get(key)
        return frozenset(returns.sources) if returns else frozenset()

    def first_at(self, key: bytes) -> float:
        """Returns the time of the first return, seconds; infinite without one.

        Args:
            key: Flow key.
        """
        returns = self._returns_by_key.get(key)
        return returns.first_at if returns else float("inf")

    def discard(self, key: bytes) -> None:
        """Drops the returns of a flow that may have been opened anew."""
        returns = self._returns_by_key.pop(key, None)
        if returns is not None:
            self._count -= len(returns.sources)

    def expire(self, now: float) -> None:
        """Drops the returns of flows without a recent one.

        Args:
            now: Present time, seconds.
        """
        for key, returns in list(self._returns_by_key.items()):
            if now - returns.last_at < RETENTION_S:
                return
            self.discard(key)
