"""Expiry of many keyed entries, checked a second's worth at a time."""

import collections
import collections.abc

__all__ = ["ExpiryWheel"]


class ExpiryWheel:
    """Holds keys in slots of one second, by the time they may expire.

    An entry that is used again is not moved; its owner tells the later time
    when the slot comes up. Each check costs O(keys in the slots passed).
    """

    def __init__(self) -> None:
        self._keys_by_second: dict[int, list[bytes]] = collections.defaultdict(
            list
        )
        self._next_second: int | None = None

    def add(self, key: bytes, expires: float) -> None:
        """Schedules a check of a key, at ``expires`` seconds."""
        second = int(expires) + 1
        if self._next_second is None or second < self._next_second:
            self._next_second = second
        self._keys_by_second[second].append(key)

    def due(
        self,
        now: float,
        expires: collections.abc.Callable[[bytes], float | None],
    ) -> list[bytes]:
        """Returns the keys that have expired by ``now``.

        Args:
            now: Present time, seconds.
            expires: Tells when a key expires, or None if it is gone already.
        """
        expired: list[bytes] = []
        if self._next_second is None:
            return expired
        while self._next_second <= now:
            second = self._next_second
            self._next_second += 1
            for key in self._keys_by_second.pop(second, ()):
                at = expires(key)
                if at is None:
                    continue
                if at <= now:
                    expired.append(key)
                else:
                    self.add(key, at)
            if not self._keys_by_second:
                self._next_second = None
                break
        return expired
