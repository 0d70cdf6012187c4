"""A byte budget for control traffic."""

__all__ = ["ByteBudget"]


class ByteBudget:
    """Token bucket of bytes a second, with a burst of some seconds' worth."""

    def __init__(self, bytes_per_s: float, burst_s: float, now: float):
        self.bytes_per_s = bytes_per_s
        self.capacity_bytes = bytes_per_s * burst_s
        self.spent_bytes = 0
        self._available = self.capacity_bytes
        self._updated = now

    def available(self, now: float) -> float:
        """Returns the bytes that may be sent now; negative when overdrawn."""
        elapsed = max(0.0, now - self._updated)
        self._updated = now
        self._available = min(
            self.capacity_bytes, self._available + elapsed * self.bytes_per_s
        )
        return self._available

    def spend(self, size: int) -> None:
        """Takes bytes from the budget; urgent traffic may overdraw it."""
        self.spent_bytes += size
        self._available -= size
