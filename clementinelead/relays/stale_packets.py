"""Detection of packets that may be outdated after a pause of the process."""

from clementinelead.relays import opening_retransmissions

__all__ = ["StalePackets"]

STALE_PACKET_WINDOW_S = 0.2
"""Time after a pause of the process in which packets may be stale, seconds.

The packets that queued in a socket's buffer meanwhile are read within some
tens of milliseconds.
"""


class StalePackets:
    """Determines when packets that queued during a pause are processed.

    Opening packets among them may be stale retransmissions of flows that are
    open by now.
    """

    def __init__(self) -> None:
        """Starts as after a pause: packets may have queued in the socket."""
        self._active_at = float("-inf")
        self._stale_until = float("-inf")

    def note_activity(self, now: float) -> None:
        """Detects that this process was paused.

        Args:
            now: Present time, seconds.
        """
        if (
            now - self._active_at
            >= opening_retransmissions.FIRST_RETRANSMISSION_S
        ):
            self._stale_until = now + STALE_PACKET_WINDOW_S
        self._active_at = now

    def is_possible(self, now: float) -> bool:
        """Returns whether a packet that is processed now may be stale.

        Args:
            now: Present time, seconds.
        """
        return now < self._stale_until

    def possible_since(self, time: float, now: float) -> bool:
        """Returns whether a packet processed since a time may be stale.

        Args:
            time: The time, seconds.
            now: Present time, seconds.
        """
        paused = (
            now - self._active_at
            >= opening_retransmissions.FIRST_RETRANSMISSION_S
        )
        return paused or time < self._stale_until
