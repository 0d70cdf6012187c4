"""Rate limits by team, so that one team can't starve another."""

import dataclasses

__all__ = ["TeamRateLimiter"]


@dataclasses.dataclass(slots=True)
class _Bucket:
    available: float
    updated: float


class TeamRateLimiter:
    """A token bucket for each team."""

    def __init__(self, requests_per_s: float, burst: float):
        self.requests_per_s = requests_per_s
        self.burst = burst
        self._bucket_by_team: dict[str, _Bucket] = {}

    def admit(self, team: str, now: float) -> float:
        """Counts a request of a team.

        Args:
            team: The team.
            now: Present time, seconds.

        Returns:
            0 if the request may go on, else when to come back, seconds.
        """
        bucket = self._bucket_by_team.setdefault(team, _Bucket(self.burst, now))
        elapsed = max(0.0, now - bucket.updated)
        bucket.updated = now
        bucket.available = min(
            self.burst, bucket.available + elapsed * self.requests_per_s
        )
        if bucket.available < 1.0:
            return (1.0 - bucket.available) / self.requests_per_s
        bucket.available -= 1.0
        return 0.0
