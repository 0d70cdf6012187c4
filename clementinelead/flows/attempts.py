"""Placements that are under way, and who else may be placing the same flow."""

import dataclasses

from clementinelead.messages import envelopes
from clementinelead.packets import headers

__all__ = ["Attempt", "AttemptTable"]

ATTEMPT_TTL_S = 2.0
MIN_RETRY_INTERVAL_S = 0.8  # below the usual first retransmission of a SYN, 1 s
MAX_RIVALS_PER_FLOW = 4
_NUMBERS = 1 << 32


@dataclasses.dataclass(slots=True)
class Attempt:
    """A placement that this process has begun and not yet seen end.

    Attributes:
        number: Tells this attempt's search from an earlier one's.
        begun: Time of the first packet, seconds.
        decided: Whether the candidates are being asked to accept.
    """

    number: int
    started: float
    placing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class _Rivals:
    seen: float
    origins: tuple[envelopes.Candidate, ...]


class AttemptTable:
    """Attempts and rivals by flow, each kept for a short time."""

    def __init__(self) -> None:
        self._attempt_by_key: dict[headers.FlowKey, Attempt] = {}
        self._rivals_by_key: dict[headers.FlowKey, _Rivals] = {}
        self._number = 0

    def current(self, key: headers.FlowKey) -> Attempt | None:
        """Returns the attempt to place a flow, if one is under way."""
        return self._attempt_by_key.get(key)

    def begin(self, key: headers.FlowKey, now: float) -> Attempt | None:
        """Begins an attempt.

        Args:
            key: Flow to place.
            now: Present time, seconds.

        Returns:
            The attempt, or None if another one has begun a moment ago.
        """
        known = self._attempt_by_key.get(key)
        if known is not None and now - known.started < MIN_RETRY_INTERVAL_S:
            return None
        self._number = (self._number + 1) % _NUMBERS
        attempt = Attempt(self._number, now)
        self._attempt_by_key[key] = attempt
        return attempt

    def discard(self, key: headers.FlowKey) -> None:
        """Forgets the attempt to place a flow."""
        self._attempt_by_key.pop(key, None)

    def yields_to(
        self,
        key: headers.FlowKey,
        me: envelopes.Candidate,
        origin: envelopes.Candidate,
        now: float,
    ) -> bool:
        """Settles between this process and another one that places a flow.

        Whoever has decided goes on, else the lower number.

        Args:
            key: Flow that both place.
            me: This process.
            origin: The other process.
            now: Present time, seconds.

        Returns:
            Whether this process gives way; it does if it has no attempt.
        """
        attempt = self._attempt_by_key.get(key)
        if attempt is None:
            return True
        recent = now - attempt.started < ATTEMPT_TTL_S
        if recent and (attempt.placing or me.id < origin.id):
            return False
        del self._attempt_by_key[key]
        return True

    def rival_origins(
        self, key: headers.FlowKey
    ) -> tuple[envelopes.Candidate, ...]:
        """Returns who lately searched here for a flow in order to place it.

        A copy of the first packet that reaches this process through another
        view must not be placed here without asking them.
        """
        known = self._rivals_by_key.get(key)
        return known.origins if known else ()

    def add_rival(
        self, key: headers.FlowKey, origin: envelopes.Candidate, now: float
    ) -> None:
        """Remembers that another process may be about to place a flow."""
        origins = self.rival_origins(key)
        if origin not in origins:
            origins = (*origins, origin)[-MAX_RIVALS_PER_FLOW:]
        self._rivals_by_key[key] = _Rivals(now, origins)

    def clear(self) -> None:
        """Forgets all attempts."""
        self._attempt_by_key.clear()

    def expire(self, now: float) -> None:
        """Forgets what is older than ``PENDING_S``."""
        for key, attempt in list(self._attempt_by_key.items()):
            if now - attempt.started >= ATTEMPT_TTL_S:
                del self._attempt_by_key[key]
        for key, rivals in list(self._rivals_by_key.items()):
            if now - rivals.seen >= ATTEMPT_TTL_S:
                del self._rivals_by_key[key]
