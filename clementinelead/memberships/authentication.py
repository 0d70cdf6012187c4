"""Authentication of control datagrams: a keyed tag and a replay window."""

import enum
import hashlib
import hmac

__all__ = ["Rejection", "ReplayWindow", "Sealer"]

TAG_BYTES = 16

REPLAY_WINDOW_COUNTERS = 256
"""Counters below the highest one that are still accepted, once each."""

MAX_SENDERS = 131_072
"""Senders with a replay window; the one added earliest is evicted."""


class Rejection(enum.Enum):
    """Reason for which a control datagram is rejected."""

    MALFORMED = "malformed"
    FORGED = "forged"
    REPLAYED = "replayed"


def _tag(key: bytes, payload: bytes) -> bytes:
    return hashlib.blake2b(payload, digest_size=TAG_BYTES, key=key).digest()


class Sealer:
    """Adds and verifies the authentication tags of control datagrams.

    During a key rotation two keys are accepted; the first one seals.
    """

    def __init__(self, cluster: str, keys: tuple[bytes, ...]):
        """Derives the keys of a cluster from its name and shared secrets.

        Args:
            cluster: Name of the cluster; datagrams of others are rejected.
            keys: One or two shared secrets; the first one seals. Only the
                first 64 bytes of each are used.
        """
        assert keys, "a sealer needs at least one key"
        name = cluster.encode()
        self._keys = tuple(
            hashlib.blake2b(name, key=key[:64], digest_size=32).digest()
            for key in keys
        )

    def seal(self, payload: bytes) -> bytes:
        """Returns a payload with its tag of 16 bytes in front.

        Args:
            payload: Bytes to authenticate.
        """
        return _tag(self._keys[0], payload) + payload

    def open(self, datagram: bytes) -> bytes | Rejection:
        """Returns the payload of a sealed datagram.

        Args:
            datagram: Tag and payload as received.

        Returns:
            The payload, or MALFORMED if there is none, or FORGED if the tag
            matches no key.
        """
        if len(datagram) <= TAG_BYTES:
            return Rejection.MALFORMED
        tag = datagram[:TAG_BYTES]
        payload = datagram[TAG_BYTES:]
        for key in self._keys:
            if hmac.compare_digest(tag, _tag(key, payload)):
                return payload
        return Rejection.FORGED


class ReplayWindow:
    """Sliding window of the counters received from each sender.

    A sender raises its counter with each datagram and restarts it at 1 with a
    new, higher incarnation.
    """

    def __init__(self) -> None:
        """Starts without senders."""
        self._state_by_sender: dict[str, tuple[int, int, int]] = {}

    def accept(self, sender: str, incarnation: int, counter: int) -> bool:
        """Returns whether a datagram is new, and records its counter.

        Args:
            sender: Identifier of the sender.
            incarnation: Incarnation of the sender.
            counter: Counter of the datagram.

        Returns:
            False for a repeated counter, one below the window or an older
            incarnation.
        """
        state = self._state_by_sender.get(sender)
        if state is None or incarnation > state[0]:
            self._evict_oldest()
            self._state_by_sender[sender] = (incarnation, counter, 1)
            return True
        current, highest, seen = state
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

    def _evict_oldest(self) -> None:
        while len(self._state_by_sender) >= MAX_SENDERS:
            oldest = next(iter(self._state_by_sender))
            del self._state_by_sender[oldest]
