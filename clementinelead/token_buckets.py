"""Token bucket: a rate limit with bursts."""

__all__ = ["TokenBucket"]


class TokenBucket:
    """Tokens that become available at a rate, up to a capacity.

    Attributes:
        tokens_per_s: Rate at which it fills.
        capacity: Most tokens that it holds.
    """

    def __init__(self, tokens_per_s: float, capacity: float, now: float):
        """Starts full.

        Args:
            tokens_per_s: Rate at which it fills.
            capacity: Most tokens that it holds.
            now: Present time, seconds.
        """
        self.tokens_per_s = tokens_per_s
        self.capacity = capacity
        self._available = capacity
        self._updated = now

    def available(self, now: float) -> float:
        """Returns the tokens that may be spent now; negative when overdrawn.

        Args:
            now: Present time, seconds.
        """
        elapsed_s = max(0.0, now - self._updated)
        self._updated = now
        self._available = min(
            self.capacity, self._available + elapsed_s * self.tokens_per_s
        )
        return self._available

    def spend(self, count: float) -> None:
        """Subtracts tokens; this may overdraw the bucket.

        Args:
            count: Number of tokens.
        """
        self._available -= count
