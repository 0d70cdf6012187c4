"""Rate limit of control traffic in bytes."""

__all__ = ["ByteBudget"]


class ByteBudget:
    """Token bucket of bytes.

    Attributes:
        bytes_per_s: Rate at which it fills.
        capacity_bytes: Most bytes that it holds.
        spent_bytes: Bytes spent since the start.
    """

    def __init__(self, bytes_per_s: float, burst_s: float, now: float):
        """Starts full.

        Args:
            bytes_per_s: Rate at which it fills.
            burst_s: Capacity, in seconds of the rate.
            now: Present time, seconds.
        """
        self.bytes_per_s = bytes_per_s
        self.capacity_bytes = bytes_per_s * burst_s
        self.spent_bytes = 0
        self._available = self.capacity_bytes
        self._updated = now

    def available(self, now: float) -> float:
        """Returns the bytes that may be sent now; negative when overdrawn.

        Args:
            now: Present time, seconds.
        """
        elapsed = max(0.0, now - self._updated)
        self._updated = now
        self._available = min(
            self.capacity_bytes, self._available + elapsed * self.bytes_per_s
        )
        return self._available

    def spend(self, size_bytes: int) -> None:
        """Subtracts the size of a message; urgent messages may overdraw it.

        Args:
            size_bytes: Size of the message.
        """
        self.spent_bytes += size_bytes
        self._available -= size_bytes
