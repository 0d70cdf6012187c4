"""Suspects: processes pinged repeatedly before they are declared dead."""

import msgspec

from clementinelead.memberships import members
from clementinelead.memberships import records

__all__ = ["Suspicions"]

SUSPECT_PING_INTERVAL_S = 0.15
"""Time between two pings to a suspect, seconds."""

MIN_SUSPECT_PINGS = 8
"""Pings a suspect must leave unanswered before it is declared dead."""

MAX_SUSPECTS = 4
"""Simultaneous suspects, so that many deaths at once cause no ping storm."""

MAX_SUSPECT_PINGS_PER_TICK = 4

RECENT_DEATH_S = 10.0
"""Time after a death in which others of its zone are likely, seconds."""

RECENT_DEATH_SPEEDUP = 2
"""Divisor of a suspect's timeout and pings after a death in its zone."""


RECENT_MESSAGE_S = 2.0
"""Time after a message in which its sender's death is not accepted, seconds."""

MAX_TRACKED_SENDERS = 4_096
"""Senders whose last message is tracked; the oldest is evicted."""


class _Suspicion(msgspec.Struct):
    """State of one suspect.

    Attributes:
        deadline: Earliest time at which it may be declared dead, seconds.
        next_ping_at: Time of the next ping, seconds.
        pings_left: Pings to send before it may be declared dead.
    """

    deadline: float
    next_ping_at: float
    pings_left: int


class Suspicions:
    """Decides which suspects to ping and which to declare dead.

    Only reads the table; the caller of ``pop_expired`` updates it.
    """

    def __init__(self, table: members.MemberTable, timeout_s: float):
        """Starts without suspects.

        Args:
            table: All membership records.
            timeout_s: Time that a suspect has to answer, seconds.
        """
        self._table = table
        self._timeout_s = timeout_s
        self._suspicion_by_id: dict[str, _Suspicion] = {}
        self._recent_death_until_by_zone: dict[str, float] = {}
        self._last_message_at_by_id: dict[str, float] = {}

    def has_recent_death(self, zone: str, now: float) -> bool:
        """Returns whether a process of a zone died in the last 10 seconds.

        Args:
            zone: Name of the availability zone.
            now: Present time, seconds.
        """
        return self._recent_death_until_by_zone.get(zone, 0.0) > now

    def zones_with_recent_death(self, now: float) -> frozenset[str]:
        """Returns the zones where a process died in the last 10 seconds.

        Args:
            now: Present time, seconds.
        """
        return frozenset(
            zone
            for zone, until in self._recent_death_until_by_zone.items()
            if until > now
        )

    def suspect(self, identifier: str, now: float) -> None:
        """Makes a process a suspect, unless it is one or there are too many.

        Further suspects are left to the probes of other processes. After a
        death in the same availability zone another one is likely, so half the
        timeout and half the pings suffice.

        Args:
            identifier: Identifier of the process.
            now: Present time, seconds.
        """
        record = self._table.by_id.get(identifier)
        if record is None or members.has_ended(record):
            return
        if len(self._suspicion_by_id) >= MAX_SUSPECTS:
            return
        timeout_s = self._timeout_s
        pings = MIN_SUSPECT_PINGS
        if self.has_recent_death(record.zone, now):
            timeout_s /= RECENT_DEATH_SPEEDUP
            pings //= RECENT_DEATH_SPEEDUP
        self._suspicion_by_id.setdefault(
            identifier, _Suspicion(now + timeout_s, now, pings)
        )

    def clear(self, identifier: str) -> None:
        """Ends the suspicion of a process, if there is one.

        Args:
            identifier: Identifier of a process that answered or whose record
                has changed.
        """
        self._suspicion_by_id.pop(identifier, None)

    def on_message(self, identifier: str, now: float) -> None:
        """Ends the suspicion of a process that has sent a message.

        Args:
            identifier: Identifier of the sender.
            now: Present time, seconds.
        """
        self.clear(identifier)
        self._last_message_at_by_id[identifier] = now
        if len(self._last_message_at_by_id) > MAX_TRACKED_SENDERS:
            oldest = next(iter(self._last_message_at_by_id))
            del self._last_message_at_by_id[oldest]

    def has_recent_message(self, identifier: str, now: float) -> bool:
        """Returns whether a process sent a message in the last 2 seconds.

        Args:
            identifier: Identifier of the process.
            now: Present time, seconds.
        """
        received_at = self._last_message_at_by_id.get(identifier)
        return received_at is not None and now - received_at < RECENT_MESSAGE_S

    def on_death(self, record: records.Record, now: float) -> None:
        """Records a death in a zone, declared here or by a peer.

        Args:
            record: Record of the dead process.
            now: Present time, seconds.
        """
        self._recent_death_until_by_zone[record.zone] = now + RECENT_DEATH_S

    def on_pause(self, now: float) -> None:
        """Restarts all suspicions, since answers may have been lost.

        Args:
            now: Present time, seconds.
        """
        for suspicion in self._suspicion_by_id.values():
            suspicion.deadline = now + 2 * self._timeout_s
            suspicion.pings_left = MIN_SUSPECT_PINGS

    def due_pings(self, now: float) -> list[records.Record]:
        """Returns the suspects to ping now and schedules their next pings.

        Args:
            now: Present time, seconds.
        """
        due: list[records.Record] = []
        for identifier, suspicion in self._suspicion_by_id.items():
            if now < suspicion.next_ping_at:
                continue
            if len(due) >= MAX_SUSPECT_PINGS_PER_TICK:
                break
            suspicion.next_ping_at = now + SUSPECT_PING_INTERVAL_S
            suspicion.pings_left -= 1
            due.append(self._table.by_id[identifier])
        return due

    def pop_expired(self, now: float) -> list[records.Record]:
        """Removes and returns the suspects to declare dead.

        Args:
            now: Present time, seconds.
        """
        expired = [
            identifier
            for identifier, suspicion in self._suspicion_by_id.items()
            if now >= suspicion.deadline and suspicion.pings_left <= 0
        ]
        for identifier in expired:
            del self._suspicion_by_id[identifier]
        return [self._table.by_id[identifier] for identifier in expired]
