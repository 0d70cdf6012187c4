"""Whether a balancer's link is overloaded and it should leave the rotation.

Load pattern: the fabric gives each balancer of a zone the same share of the
flows, whatever its link carries. Under a burst of uploads the link of a small
instance drops packets of all kinds, queries and replies among them, and the
retransmissions of callers keep it full after the burst. Balancers with larger
links have room meanwhile. A balancer that leaves the rotation for some seconds
passes its flows on to them; their owners are found by queries.
"""

import collections

__all__ = ["Overload"]

MIN_LOSSY_SHARE = 0.5
"""Share of the responding side processes that must miss replies, too.

A side process that is slow or gone misses replies alone. Only the link or the
processor of this instance affects most of them.
"""

MAX_LATE_SHARE = 0.5
"""Share of the missing replies that may arrive late in an overload.

Those of side processes that do not respond at all do not count: after a restart
of all processes they would hide that the others' replies are only late.
"""

MIN_RESPONDING = 8
"""Fewest responding side processes that say something about this instance."""

WINDOW_S = 1.0
"""Length of each of the two consecutive windows that must be lossy, seconds."""

FIRST_LEAVE_S = 4.0
"""Time out of the rotation at the first overload, seconds.

The fabric needs one second to notice; the queue of a link is empty soon after.
"""

MAX_LEAVE_S = 32.0
"""Longest time out of the rotation, seconds."""

BACKOFF_FACTOR = 2.0
"""Factor on the time if the overload returns soon after the last one."""

RELAPSE_WINDOW_S = 10.0
"""Time after a return within which another overload is a relapse, seconds."""

_Address = tuple[str, int]


class Overload:
    """Detects overload from the replies of side processes that are missing.

    Attributes:
        lossy_share: Share of the responding side processes that have missed a
            reply, too, in the last complete window.
        leave_count: Number of times that this balancer has left the rotation.
        may_leave: Whether enough balancers with larger links remain.
    """

    def __init__(self) -> None:
        self.lossy_share = 0.0
        self.leave_count = 0
        self.may_leave = False
        self._window_began_at = float("-inf")
        self._responding: set[_Address] = set()
        self._timeouts_by_address: collections.Counter[_Address] = (
            collections.Counter()
        )
        self._late_count = 0
        self._was_lossy = False
        self._leave_s = FIRST_LEAVE_S
        self._away_until = float("-inf")

    def record_reply(self, address: _Address, now: float) -> None:
        """Records the reply of a side process to a query.

        Args:
            address: Address of the side process.
            now: Present time, seconds.
        """
        self._update(now)
        self._responding.add(address)

    def record_timeout(self, address: _Address, now: float) -> None:
        """Records that a side process has not replied to a query in time.

        Args:
            address: Address of the side process.
            now: Present time, seconds.
        """
        self._update(now)
        self._timeouts_by_address[address] += 1

    def record_late_reply(self) -> None:
        """Records that a reply has arrived after its timeout: it is not lost.

        Late replies have other causes than a link that drops packets, such as
        many processes that start at the same time.
        """
        self._late_count += 1

    def is_overloaded(self, now: float) -> bool:
        """Returns whether this balancer should be out of the rotation.

        Args:
            now: Present time, seconds.
        """
        return self.may_leave and now < self._away_until

    def _update(self, now: float) -> None:
        """Evaluates the present window if it has ended, and begins another."""
        if now - self._window_began_at < WINDOW_S:
            return
        contiguous = now - self._window_began_at < 2 * WINDOW_S
        enough = len(self._responding) >= MIN_RESPONDING
        timeouts = [
            count
            for address, count in self._timeouts_by_address.items()
            if address in self._responding
        ]
        lossy = len(timeouts)
        if self._late_count > MAX_LATE_SHARE * sum(timeouts):
            lossy = 0
        self.lossy_share = lossy / len(self._responding) if enough else 0.0
        is_lossy = contiguous and self.lossy_share >= MIN_LOSSY_SHARE
        away = now < self._away_until
        if is_lossy and self._was_lossy and self.may_leave and not away:
            self._leave(now)
        self._was_lossy = is_lossy
        self._window_began_at = now
        self._responding.clear()
        self._timeouts_by_address.clear()
        self._late_count = 0

    def _leave(self, now: float) -> None:
        relapsed = now - self._away_until < RELAPSE_WINDOW_S
        self._leave_s = (
            min(MAX_LEAVE_S, self._leave_s * BACKOFF_FACTOR)
            if relapsed
            else FIRST_LEAVE_S
        )
        self._away_until = now + self._leave_s
        self.leave_count += 1
