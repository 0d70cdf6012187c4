"""Rate limit per team, so that one team can't starve another."""

import dataclasses

__all__ = ["TeamRateLimiter"]


@dataclasses.dataclass(slots=True)
class _Bucket:
    """A token bucket.

    Attributes:
        tokens: Requests that are available now.
        updated_s: Time of the latest refill, seconds.
    """

    tokens: float
    updated_s: float


class TeamRateLimiter:
    """Limits the requests of each team by a token bucket.

    Attributes:
        requests_per_s: Rate at which each bucket is refilled.
        burst: Capacity of each bucket, requests.
    """

    def __init__(self, requests_per_s: float, burst: float):
        self.requests_per_s = requests_per_s
        self.burst = burst
        self._bucket_by_team: dict[str, _Bucket] = {}

    def admit(self, team: str, now: float) -> float:
        """Admits a request of a team or returns when to retry it.

        Args:
            team: Name of the team.
            now: Present time, seconds.

        Returns:
            0 if the request is admitted, else the time to wait before a
            retry, seconds.
        """
        bucket = self._bucket_by_team.setdefault(team, _Bucket(self.burst, now))
        elapsed_s = max(0.0, now - bucket.updated_s)
        bucket.updated_s = now
        bucket.tokens = min(
            self.burst, bucket.tokens + elapsed_s * self.requests_per_s
        )
        if bucket.tokens < 1.0:
            return (1.0 - bucket.tokens) / self.requests_per_s
        bucket.tokens -= 1.0
        return 0.0
