"""Log output, and a bound on how many decisions are logged."""

import sys

import loguru

__all__ = ["RateLimiter", "configure"]

_READABLE = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra[node]} {message}"
)


def configure(node: str, level: str, json_lines: bool) -> None:
    """Directs the log to standard error.

    Args:
        node: Identifier that each line carries.
        level: Least level that is logged.
        json_lines: Whether each line is a JSON object.
    """
    loguru.logger.remove()
    loguru.logger.configure(extra={"node": node})
    loguru.logger.add(
        sys.stderr, level=level, format=_READABLE, serialize=json_lines
    )


class RateLimiter:
    """Allows a number of events a second and counts those left out."""

    def __init__(self, events_per_s: float):
        self.events_per_s = events_per_s
        self._second = -1
        self._used = 0
        self._left_out = 0

    def allows(self, now: float) -> bool:
        """Tells whether one more event may be logged.

        Args:
            now: Present time, seconds.
        """
        second = int(now)
        if second != self._second:
            self._second = second
            self._used = 0
        if self._used >= self.events_per_s:
            self._left_out += 1
            return False
        self._used += 1
        return True

    def pop_suppressed_count(self) -> int:
        """Returns how many events were left out since the last call."""
        left_out = self._left_out
        self._left_out = 0
        return left_out
