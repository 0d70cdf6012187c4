"""Rate-limited log lines of flow decisions."""

import time

from clementinelead.relays import formats
from clementinelead.relays import outcomes
from clementinelead.telemetry import logs
from clementinelead.telemetry import structured

__all__ = ["DecisionLog"]

MAX_LINES_PER_S = 300.0
"""Most decisions logged per second; the next line counts the omitted ones."""


class DecisionLog:
    """Writes a log line for each decision, up to a rate limit."""

    def __init__(self, packet_format: formats.PacketFormat):
        self._format = packet_format
        self._limit = logs.RateLimiter(MAX_LINES_PER_S)

    def report(self, decision: outcomes.Decision) -> None:
        """Logs a decision, or counts it as omitted beyond the rate limit.

        Args:
            decision: The decision.
        """
        if not self._limit.allows(time.monotonic()):
            return
        left_out = self._limit.pop_suppressed_count()
        fields = decision.inputs
        if left_out:
            fields = {**fields, "left_out": left_out}
        structured.write_event(
            decision.event,
            {
                "flow": self._format.flow_text(decision.key),
                "outcome": decision.outcome,
                **fields,
            },
        )
