"""Timing and traffic limits of the gossip protocol."""

import msgspec

__all__ = ["Options"]


class Options(msgspec.Struct, frozen=True):
    """Timing and traffic limits of the gossip protocol.

    Attributes:
        probe_interval_s: Time between probes, seconds.
        probe_timeout_s: Time without acknowledgement after which indirect
            probes are requested, seconds.
        suspicion_timeout_s: Time that a suspect has to answer, seconds.
        indirect_probes: Helpers that are requested to probe indirectly.
        push_fanout: Peers that changed records are pushed to.
        cross_zone_probe_share: Share of probes drawn from all availability
            zones, from 0 to 1.
        bytes_per_s: Rate limit of control traffic, bytes per second.
        pause_threshold_s: Time between two ticks above which this process is
            assumed to have been paused, seconds.
    """

    probe_interval_s: float = 0.3
    probe_timeout_s: float = 0.15
    suspicion_timeout_s: float = 2.0
    indirect_probes: int = 3
    push_fanout: int = 3
    cross_zone_probe_share: float = 0.2
    bytes_per_s: float = 2_000.0
    pause_threshold_s: float = 1.0
