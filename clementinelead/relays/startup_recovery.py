"""Whether a side process knows all flows that its target has."""

from clementinelead.relays import announcements

__all__ = ["FLOW_RECOVERY_S", "SAME_START_MARGIN_MS", "StartupRecovery"]

FLOW_RECOVERY_S = 60.0
"""Time after a start in which flows of before may still be open, seconds.

Flows older than this, or idle for as long, may be discarded.
"""

SAME_START_MARGIN_MS = 1_000
"""How much older than its side process a target may be to have begun with it.

Machine and target get power at the same time; the process starts later.
"""


class StartupRecovery:
    """Tells whether the target has flows of before this process began.

    Attributes:
        first: Whether no process is known to have served the target just
            before this one.
    """

    def __init__(self, now: float, started_ms: int):
        """Begins with a target whose flows are not known.

        Args:
            now: Present time, seconds.
            started_ms: Start of this process, milliseconds since 1970.
        """
        self.no_predecessor = False
        self._started_ms = started_ms
        self._together = False
        self._absent = False
        self._heard = False
        self._learned_at = now + FLOW_RECOVERY_S

    def on_incarnation(
        self,
        announcement: announcements.Heartbeat,
        replaced: bool,
        now: float,
    ) -> None:
        """Takes over that an incarnation of the target has announced itself.

        Args:
            announcement: Its first heartbeat here.
            replaced: Whether this process has known another one.
            now: Present time, seconds.
        """
        self._heard = True
        if replaced:
            self._learned_at = now
        young = (
            announcement.started_ms >= self._started_ms - SAME_START_MARGIN_MS
        )
        self._together = young or announcement.sequence <= 1

    def on_target_absent(self, now: float) -> bool:
        """Takes over that there is no target yet; the next one has no flows.

        Args:
            now: Present time, seconds.

        Returns:
            Whether that is believed; not if a target has been heard.
        """
        if self._heard:
            return False
        self._absent = True
        self._learned_at = now
        return True

    def on_target_packet(self) -> None:
        """Notes that a target has sent something of its own.

        Who returns packets at its address has no flow either.
        """
        self._heard = True

    @property
    def target_absent(self) -> bool:
        """Whether there was no target at the start, and none has come since."""
        return self._absent and not self._heard

    def all_flows_recorded(self, now: float) -> bool:
        """Tells whether the target has no flow that is not known here.

        A target that got power together with this process has none of before;
        neither has one that started while this process ran, and none has flows
        where there is no target.

        Args:
            now: Present time, seconds.
        """
        return (
            self._together and self.no_predecessor
        ) or now >= self._learned_at
