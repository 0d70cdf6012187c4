"""Authenticity of control datagrams: a keyed tag and replay protection."""

import enum
import hashlib
import hmac

__all__ = ["Rejection", "ReplayWindow", "Sealer"]

TAG_BYTES = 16
REPLAY_WINDOW_COUNTERS = 256
MAX_SENDERS = 131_072


class Rejection(enum.Enum):
    """Why a control datagram was not taken."""

    MALFORMED = "malformed"
    FORGED = "forged"
    REPLAYED = "replayed"


def _tag(key: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, digest_size=TAG_BYTES, key=key).digest()


class Sealer:
    """Adds and checks the tags of control datagrams.

    During a rotation two keys are valid; the first one seals.
    """

    def __init__(self, cluster: str, keys: tuple[bytes, ...]):
        """Derives the keys of one cluster.

        Args:
            cluster: Name of the cluster; others' datagrams are rejected.
            keys: One or two shared secrets, the one that seals first.
        """
        assert keys, "a sealer needs a key"
        name = cluster.encode()
        self._keys = tuple(
            hashlib.blake2b(name, key=key[:64], digest_size=32).digest()
            for key in keys
        )

    def seal(self, payload: bytes) -> bytes:
        """Returns a payload with its tag in front."""
        return _tag(self._keys[0], payload) + payload

    def open(self, datagram: bytes) -> bytes | Rejection:
        """Returns the payload of a sealed datagram, or why it is rejected."""
        if len(datagram) <= TAG_BYTES:
            return Rejection.MALFORMED
        tag = datagram[:TAG_BYTES]
        payload = datagram[TAG_BYTES:]
        for key in self._keys:
            if hmac.compare_digest(tag, _tag(key, payload)):
                return payload
        return Rejection.FORGED


class ReplayWindow:
    """Remembers which counters of each sender have been seen.

    A sender raises its counter with each datagram and starts again from 1
    with a new, higher incarnation.
    """

    def __init__(self) -> None:
        self._state_by_sender: dict[str, tuple[int, int, int]] = {}

    def accept(self, sender: str, incarnation: int, counter: int) -> bool:
        """Tells whether a datagram is new, and remembers it.

        Args:
            sender: Identifier of the sender.
            incarnation: Its incarnation.
            counter: The datagram's counter.
        """
        known = self._state_by_sender.get(sender)
        if known is None or incarnation > known[0]:
            self._bound()
            self._state_by_sender[sender] = (incarnation, counter, 1)
            return True
        current, highest, seen = known
        if incarnation < current:
            return False
        if counter > highest:
            shift = counter - highest
            seen = (
                (seen << shift) if shift < REPLAY_WINDOW_COUNTERS else 0
            ) | 1
            seen &= (1 << REPLAY_WINDOW_COUNTERS) - 1
            self._state_by_sender[sender] = (current, counter, seen)
            return True
        bit = 1 << (highest - counter)
        if highest - counter >= REPLAY_WINDOW_COUNTERS or seen & bit:
            return False
        self._state_by_sender[sender] = (current, highest, seen | bit)
        return True

    def _bound(self) -> None:
        while len(self._state_by_sender) >= MAX_SENDERS:
            oldest = next(iter(self._state_by_sender))
            del self._state_by_sender[oldest]
