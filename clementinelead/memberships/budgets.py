"""Rate limit of control traffic in bytes."""

from clementinelead import token_buckets

__all__ = ["ByteBudget"]


class ByteBudget(token_buckets.TokenBucket):
    """Token bucket of bytes; urgent messages may overdraw it."""

    def __init__(self, bytes_per_s: float, burst_s: float, now: float):
        """Starts full.

        Args:
            bytes_per_s: Rate at which it fills.
            burst_s: Capacity, in seconds of the rate.
            now: Present time, seconds.
        """
        super().__init__(bytes_per_s, bytes_per_s * burst_s, now)
