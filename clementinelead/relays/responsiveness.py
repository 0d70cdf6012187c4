"""Which side processes answer, judged by the questions of the packet path."""

__all__ = ["Responsiveness"]

SUSPECT_AFTER_S = 0.12
"""Unanswered for so long, a process is suspected.

Round trips take 3 ms between availability zones; a process that starts or
is short of processor time answers within tens of milliseconds.
"""

RETRY_INTERVAL_S = 0.4
"""Time after which a suspect is asked again, next to others."""


class Responsiveness:
    """Questions without an answer, by the address that was asked.

    Membership takes seconds to declare a death. This takes one question, and
    is wrong for no longer than until the next answer.
    """

    def __init__(self) -> None:
        self._unanswered_since: dict[tuple[str, int], float] = {}
        self._asked_at: dict[tuple[str, int], float] = {}

    def record_query(self, address: tuple[str, int], now: float) -> None:
        """Notes a question."""
        self._unanswered_since.setdefault(address, now)
        self._asked_at[address] = now

    def record_reply(self, address: tuple[str, int]) -> bool:
        """Notes an answer; tells whether its sender had been suspected."""
        since = self._unanswered_since.pop(address, None)
        asked = self._asked_at.get(address)
        if since is None or asked is None:
            return False
        return asked - since > SUSPECT_AFTER_S

    def is_suspect(self, address: tuple[str, int], now: float) -> bool:
        """Tells whether a process has left questions unanswered."""
        since = self._unanswered_since.get(address)
        return since is not None and now - since > SUSPECT_AFTER_S

    def unanswered_s(self, address: tuple[str, int], now: float) -> float:
        """Returns how long a process has left questions unanswered, seconds."""
        return max(0.0, now - self._unanswered_since.get(address, now))

    def retry_due(self, address: tuple[str, int], now: float) -> bool:
        """Tells whether a suspect should be asked once more."""
        return now - self._asked_at.get(address, 0.0) > RETRY_INTERVAL_S

    def forget(self, address: tuple[str, int]) -> None:
        """Forgets a process that is no longer a member."""
        self._unanswered_since.pop(address, None)
        self._asked_at.pop(address, None)
