"""Timer wheel for the expiry of many keyed entries."""

import collections
import collections.abc

__all__ = ["ExpiryWheel"]


class ExpiryWheel:
    """Timer wheel with slots of one second.

    An entry whose expiry time moves is not rescheduled at once: when its slot
    is reached, a callback returns the current expiry time and the entry is
    scheduled again if that is later. A check costs O(keys in the slots
    passed).
    """

    def __init__(self) -> None:
        """Creates an empty wheel."""
        self._keys_by_second: dict[int, list[bytes]] = collections.defaultdict(
            list
        )
        self._next_second: int | None = None

    def add(self, key: bytes, expires: float) -> None:
        """Schedules an expiry check.

        Args:
            key: Key of the entry.
            expires: Time of the check, seconds; it happens at the next
                whole second.
        """
        second = int(expires) + 1
        if self._next_second is None or second < self._next_second:
            self._next_second = second
        self._keys_by_second[second].append(key)

    def due(
        self,
        now: float,
        expires_by_key: collections.abc.Callable[[bytes], float | None],
    ) -> list[bytes]:
        """Removes and returns the keys that have expired by ``now``.

        Args:
            now: Present time, seconds.
            expires_by_key: Returns the current expiry time of a key, seconds,
                or None if its entry has been removed.
        """
        expired: list[bytes] = []
        if self._next_second is None:
            return expired
        while self._next_second <= now:
            second = self._next_second
            self._next_second += 1
            for key in self._keys_by_second.pop(second, ()):
                expires = expires_by_key(key)
                if expires is None:
                    continue
                if expires <= now:
                    expired.append(key)
                else:
                    self.add(key, expires)
            if not self._keys_by_second:
                self._next_second = None
                break
        return expired
