"""Timing and budget of the gossip."""

import msgspec

__all__ = ["Options"]


class Options(msgspec.Struct, frozen=True):
    """Timing of the gossip.

    Attributes:
        probe_interval_s: Time between probes.
        probe_timeout_s: Time after which helpers are asked.
        suspicion_timeout_s: Time that a suspect has to refute.
        indirect_probes: Processes asked to probe in this one's place.
        push_fanout: Processes that news is pushed to at once.
        cross_zone_probe_share: Share of probes that leave the availability zone.
        bytes_per_s: Budget of control traffic.
        pause_threshold_s: Time without a tick after which the process was paused.
    """

    probe_interval_s: float = 0.3
    probe_timeout_s: float = 0.15
    suspicion_timeout_s: float = 2.0
    indirect_probes: int = 3
    push_fanout: int = 3
    cross_zone_probe_share: float = 0.2
    bytes_per_s: float = 2_000.0
    pause_threshold_s: float = 1.0
