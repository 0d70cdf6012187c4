"""Timing and budget of the gossip."""

import msgspec

__all__ = ["Options"]


class Options(msgspec.Struct, frozen=True):
    """Timing of the gossip.

    Attributes:
        probe_interval_s: Time between probes.
        probe_timeout_s: Time after which helpers are asked.
        suspicion_s: Time that a suspect has to refute.
        helpers: Processes asked to probe in this one's place.
        fanout: Processes that news is pushed to at once.
        other_zone_share: Share of probes that leave the availability zone.
        bytes_per_s: Budget of control traffic.
        pause_s: Time without a tick after which the process was paused.
    """

    probe_interval_s: float = 0.3
    probe_timeout_s: float = 0.15
    suspicion_s: float = 2.0
    helpers: int = 3
    fanout: int = 3
    other_zone_share: float = 0.2
    bytes_per_s: float = 2_000.0
    pause_s: float = 1.0
