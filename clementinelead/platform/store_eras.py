"""Which copy of the store answers: the era that each of its answers names.

A store that comes back from an older copy of its data has lost what was
written since, with the leases; it gives revisions and lease numbers out again.
Each such return raises the era by one.
"""

import loguru

from clementinelead.processes import http_client
from clementinelead.telemetry import counters

__all__ = ["EraWatch"]

HEADER = b"store-era"

MAX_DIGITS = 18
"""Digits of an era at most; a longer number is no era."""


class EraWatch:
    """Reads the era from answers, which may come late and out of order.

    Attributes:
        era: Highest era seen, 0 if no answer has named one.
        counts: Eras that rose and header fields that were not used, by cause.
    """

    def __init__(self) -> None:
        self.era = 0
        self.counts = counters.CounterSet()

    def outdated(self, answer: http_client.Response) -> bool:
        """Takes over an answer's era; tells whether it is an older one.

        Args:
            answer: Any answer of the store. One without an era, or with one
                that can't be read, counts as one of the present era.
        """
        values = answer.values(HEADER)
        if not values:
            return False
        era = _number(values)
        if era is None:
            self.counts.add("unreadable")
            loguru.logger.bind(
                values=[repr(value[:40]) for value in values[:2]], era=self.era
            ).warning("store era can't be read")
            return False
        if era < self.era:
            self.counts.add("outdated")
            loguru.logger.bind(named=era, era=self.era).info(
                "answer of an older store era"
            )
            return True
        if era > self.era:
            self._raise_to(era)
        return False

    def _raise_to(self, era: int) -> None:
        """Notes a new era; the first one named is no news."""
        if self.era:
            self.counts.add("changed")
            loguru.logger.bind(before=self.era, era=era).warning(
                "store era changed"
            )
        self.era = era


def _number(values: list[bytes]) -> int | None:
    """Returns the era that a header field names, None if it names none."""
    distinct = set(values)
    if len(distinct) != 1:
        return None
    text = distinct.pop().strip()
    if not text.isdigit() or len(text) > MAX_DIGITS:
        return None
    return int(text)
