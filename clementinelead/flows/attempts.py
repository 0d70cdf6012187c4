"""Placement attempts in progress here and at other side processes.

Copies of a flow's first packet can reach two side processes through views that
differ. Both may then try to place the flow, and only one of them may continue.
"""

import dataclasses

from clementinelead.messages import envelopes
from clementinelead.packets import headers

__all__ = ["Attempt", "AttemptTable"]

ATTEMPT_TTL_S = 2.0
"""Time for which attempts and rival origins are kept, seconds."""

MIN_RETRY_INTERVAL_S = 0.8
"""Time before a copy of a first packet starts another attempt, seconds.

It is below the usual first retransmission timeout of a SYN, 1 s.
"""

MAX_RIVALS_PER_FLOW = 4
_ATTEMPT_NUMBERS = 1 << 32


@dataclasses.dataclass(slots=True)
class Attempt:
    """A placement that this process has started and that has not ended.

    Attributes:
        number: Distinguishes searches of this attempt from those of earlier
            ones.
        started: Time of the packet that started it, seconds.
        placing: Whether the candidates are being asked to accept the flow.
        is_repeated: Whether an earlier attempt may have placed the flow, whose
            owner has not registered it here yet.
    """

    number: int
    started: float
    placing: bool = False
    is_repeated: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Rivals:
    updated: float
    origins: tuple[envelopes.Candidate, ...]


class AttemptTable:
    """Attempts and rival origins by flow, each with a short time to live."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self._attempt_by_key: dict[headers.FlowKey, Attempt] = {}
        self._rivals_by_key: dict[headers.FlowKey, _Rivals] = {}
        self._last_number = 0

    def current(self, key: headers.FlowKey) -> Attempt | None:
        """Returns the attempt to place a flow, or None if there is none."""
        return self._attempt_by_key.get(key)

    def begin(self, key: headers.FlowKey, now: float) -> Attempt | None:
        """Starts an attempt to place a flow.

        Args:
            key: Key of the flow.
            now: Present time, seconds.

        Returns:
            The attempt, or None if another one of this process started less
            than ``MIN_RETRY_INTERVAL_S`` ago.
        """
        current = self._attempt_by_key.get(key)
        if current is not None and now - current.started < MIN_RETRY_INTERVAL_S:
            return None
        self._last_number = (self._last_number + 1) % _ATTEMPT_NUMBERS
        is_repeated = current is not None and (
            current.placing or current.is_repeated
        )
        attempt = Attempt(self._last_number, now, is_repeated=is_repeated)
        self._attempt_by_key[key] = attempt
        return attempt

    def discard(self, key: headers.FlowKey) -> None:
        """Removes the attempt to place a flow, if there is one."""
        self._attempt_by_key.pop(key, None)

    def yields_to(
        self,
        key: headers.FlowKey,
        own_candidate: envelopes.Candidate,
        origin: envelopes.Candidate,
        now: float,
    ) -> bool:
        """Resolves a conflict with another process that places the same flow.

        This process continues if it already asks candidates to accept the flow
        or has the lower candidate number. Otherwise its attempt is removed and
        the other process continues.

        Args:
            key: Key of the flow.
            own_candidate: This process.
            origin: The other process.
            now: Present time, seconds.

        Returns:
            Whether the other process continues; always so if this one has no
            attempt or only an expired one.
        """
        attempt = self._attempt_by_key.get(key)
        if attempt is None:
            return True
        recent = now - attempt.started < ATTEMPT_TTL_S
        if recent and (attempt.placing or own_candidate.id < origin.id):
            return False
        del self._attempt_by_key[key]
        return True

    def rival_origins(
        self, key: headers.FlowKey
    ) -> tuple[envelopes.Candidate, ...]:
        """Returns the origins of recent searches here that may place a flow.

        A copy of the first packet that reaches this process through another
        view must not be placed here before a search has visited these origins.
        """
        rivals = self._rivals_by_key.get(key)
        return rivals.origins if rivals else ()

    def add_rival(
        self, key: headers.FlowKey, origin: envelopes.Candidate, now: float
    ) -> None:
        """Records another process that may be about to place a flow.

        Args:
            key: Key of the flow.
            origin: The other process; only the last ``MAX_RIVALS_PER_FLOW``
                are kept.
            now: Present time, seconds.
        """
        origins = self.rival_origins(key)
        if origin not in origins:
            origins = (*origins, origin)[-MAX_RIVALS_PER_FLOW:]
        self._rivals_by_key[key] = _Rivals(now, origins)

    def clear(self) -> None:
        """Removes all attempts; rival origins stay."""
        self._attempt_by_key.clear()

    def expire(self, now: float) -> None:
        """Removes attempts and rivals older than ``ATTEMPT_TTL_S``."""
        for key, attempt in list(self._attempt_by_key.items()):
            if now - attempt.started >= ATTEMPT_TTL_S:
                del self._attempt_by_key[key]
        for key, rivals in list(self._rivals_by_key.items()):
            if now - rivals.updated >= ATTEMPT_TTL_S:
                del self._rivals_by_key[key]
