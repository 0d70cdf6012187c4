"""Rate limit per team, so that one team can't starve another."""

from clementinelead import token_buckets

__all__ = ["TeamRateLimiter"]


class TeamRateLimiter:
    """Limits the requests of each team by a token bucket.

    Attributes:
        requests_per_s: Rate at which each bucket is refilled.
        burst: Capacity of each bucket, requests.
    """

    def __init__(self, requests_per_s: float, burst: float):
        self.requests_per_s = requests_per_s
        self.burst = burst
        self._bucket_by_team: dict[str, token_buckets.TokenBucket] = {}

    def admit(self, team: str, now: float) -> float:
        """Admits a request of a team or returns when to retry it.

        Args:
            team: Name of the team.
            now: Present time, seconds.

        Returns:
            0 if the request is admitted, else the time to wait before a
            retry, seconds.
        """
        bucket = self._bucket_by_team.get(team)
        if bucket is None:
            bucket = token_buckets.TokenBucket(
                self.requests_per_s, self.burst, now
            )
            self._bucket_by_team[team] = bucket
        available = bucket.available(now)
        if available < 1.0:
            return (1.0 - available) / self.requests_per_s
        bucket.spend(1.0)
        return 0.0
