"""Log output, and a rate limit for log lines."""

import sys

import loguru

__all__ = ["RateLimiter", "configure"]

_TEXT_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level: <7} {extra[node]} {message}"
)


def configure(node: str, level: str, json_lines: bool) -> None:
    """Directs the log to standard error.

    Args:
        node: Identifier that each line carries.
        level: Name of the lowest level that is logged.
        json_lines: Whether each line is a JSON object.
    """
    loguru.logger.remove()
    loguru.logger.configure(extra={"node": node})
    loguru.logger.add(
        sys.stderr, level=level, format=_TEXT_FORMAT, serialize=json_lines
    )


class RateLimiter:
    """Allows a number of events per second and counts suppressed ones.

    Attributes:
        events_per_s: Events allowed in each second of the clock.
    """

    def __init__(self, events_per_s: float):
        self.events_per_s = events_per_s
        self._current_second = -1
        self._allowed_count = 0
        self._suppressed_count = 0

    def allows(self, now: float) -> bool:
        """Returns whether an event is allowed, and counts it.

        Args:
            now: Present time, seconds.
        """
        second = int(now)
        if second != self._current_second:
            self._current_second = second
            self._allowed_count = 0
        if self._allowed_count >= self.events_per_s:
            self._suppressed_count += 1
            return False
        self._allowed_count += 1
        return True

    def pop_suppressed_count(self) -> int:
        """Returns the number of events suppressed since the last call."""
        suppressed_count = self._suppressed_count
        self._suppressed_count = 0
        return suppressed_count
