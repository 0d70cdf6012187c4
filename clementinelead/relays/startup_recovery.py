"""Whether a side process has recorded all flows that its target holds."""

from clementinelead.relays import announcements

__all__ = ["FLOW_RECOVERY_S", "SAME_START_MARGIN_MS", "StartupRecovery"]

FLOW_RECOVERY_S = 60.0
"""Time after a start until all open flows are assumed recorded, seconds.

A flow without a packet in this time, or older than this, may be discarded.
"""

SAME_START_MARGIN_MS = 1_000
"""Largest head start of a target on a side process started with it.

Machine and target are powered on at the same time; the process starts later.
"""


class StartupRecovery:
    """Tracks whether the target may hold flows opened before this process.

    Attributes:
        no_predecessor: Whether no earlier process is known that served the
            target just before this one.
    """

    def __init__(self, now: float, started_ms: int):
        """Starts with a target whose flows are not recorded.

        Args:
            now: Present time, seconds.
            started_ms: Start of this process, milliseconds since 1970.
        """
        self.no_predecessor = False
        self._started_at = now
        self._started_ms = started_ms
        self._started_with_target = False
        self._absent_at_start = False
        self._target_seen = False
        self._recovered_at = now + FLOW_RECOVERY_S
        self._replaced_at: float | None = None

    def age_ms(self, now: float) -> int:
        """Returns for how long this process has run, milliseconds.

        Args:
            now: Present time, seconds.
        """
        return max(0, int((now - self._started_at) * 1000))

    def on_incarnation(
        self,
        heartbeat: announcements.Heartbeat,
        replaced: bool,
        now: float,
    ) -> None:
        """Applies the first heartbeat of an incarnation of the target.

        A replacement counts from its second heartbeat on: the first one may be
        from another sender, while the target and its flows go on.

        Args:
            heartbeat: The heartbeat.
            replaced: Whether this process has had a heartbeat of an earlier
                incarnation.
            now: Present time, seconds.
        """
        self._target_seen = True
        if replaced:
            self._replaced_at = now
            return
        earliest_ms = self._started_ms - SAME_START_MARGIN_MS
        self._started_with_target = (
            heartbeat.started_ms >= earliest_ms or heartbeat.sequence <= 1
        )

    def on_further_heartbeat(self) -> None:
        """Applies a later heartbeat of the present incarnation.

        The flows of an incarnation that has replaced another one were opened
        through this process.
        """
        if self._replaced_at is not None:
            self._recovered_at = min(self._recovered_at, self._replaced_at)
            self._replaced_at = None

    def on_reinstated(self) -> None:
        """Applies the observation that an earlier incarnation goes on."""
        self._replaced_at = None

    def on_target_absent(self, now: float) -> bool:
        """Applies the observation that no target is running yet.

        A target that starts later holds no earlier flows.

        Args:
            now: Present time, seconds.

        Returns:
            Whether it was applied; False if the target has already sent a
            heartbeat or a packet.
        """
        if self._target_seen:
            return False
        self._absent_at_start = True
        self._recovered_at = now
        return True

    def on_target_packet(self) -> None:
        """Records that the target has sent a packet of its own.

        Returned packets don't count: a machine without a target may return
        packets, too.
        """
        self._target_seen = True

    @property
    def target_absent(self) -> bool:
        """Whether no target ran at the start and none has been seen since."""
        return self._absent_at_start and not self._target_seen

    def all_flows_recorded(self, now: float) -> bool:
        """Returns whether the target holds no flow that is not recorded here.

        This is so if the target was started together with this process after a
        loss of power, if it was started while this process ran, if no target
        is running, or after ``FLOW_RECOVERY_S``.

        Args:
            now: Present time, seconds.
        """
        if self._started_with_target and self.no_predecessor:
            return True
        return now >= self._recovered_at
