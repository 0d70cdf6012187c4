"""Refusals of new flows that no target accepts, and reports of placements."""

import collections.abc

from clementinelead.relays import backlogs
from clementinelead.relays import formats
from clementinelead.relays import opening_retransmissions
from clementinelead.relays import outcomes
from clementinelead.relays import pending_flows
from clementinelead.telemetry import counters

__all__ = ["Refuser", "Search"]

Search = collections.abc.Callable[
    [formats.Segment, frozenset[str], bytes, float], None
]


class Refuser:
    """Ends the placement of flows that no target accepts.

    Attributes:
        version: Version of the routes in force, for the log.
    """

    def __init__(
        self,
        packet_format: formats.PacketFormat,
        counts: counters.CounterSet,
        report: collections.abc.Callable[[outcomes.Decision], None],
        search: Search,
    ):
        """Stores where decisions go.

        Args:
            packet_format: Format of the callers' packets.
            counts: Receives the count of refusals.
            report: Called with each decision, for the log.
            search: Searches for a flow that may be open, as
                ``searching.Searcher.search`` does.
        """
        self.version = 0
        self._format = packet_format
        self._counts = counts
        self._report = report
        self._search = search

    def give_up(
        self,
        key: bytes,
        placement: pending_flows.Placement,
        now: float,
        estimate: backlogs.Estimate | None = None,
    ) -> list[outcomes.Outcome]:
        """Refuses a flow that no target accepts, so the caller can retry.

        A flow that may be open by now is searched for instead; the search
        resets it if no side process holds it.

        Args:
            key: Flow key.
            placement: Its placement, which is no longer pending.
            now: Present time, seconds.
            estimate: When it could be answered, if that is too late.

        Returns:
            The reset; none if the flow is searched for.
        """
        segment = self._format.from_caller(placement.packet)
        assert segment is not None, "opening packet was parsed before"
        retransmitted = (
            now - placement.began_at
            >= opening_retransmissions.FIRST_RETRANSMISSION_S
        )
        if retransmitted or placement.may_be_open or placement.delivered_to:
            self.report_placement(key, placement, "searched for", now)
            services = frozenset((placement.service,))
            self._search(segment, services, placement.packet, now)
            return []
        inputs: dict[str, object] = {
            "service": placement.service,
            "age_ms": round((now - placement.began_at) * 1000, 1),
        }
        if estimate is not None:
            inputs |= estimate.log_inputs()
            return [self.refuse(segment, "not answerable in time", inputs)]
        return [self.refuse(segment, "no target accepts", inputs)]

    def refuse(
        self, segment: formats.Segment, cause: str, inputs: dict[str, object]
    ) -> outcomes.Outcome:
        """Returns the reset that refuses a new flow, and reports the decision.

        Args:
            segment: Header of the opening packet.
            cause: Reason of the refusal, for the log.
            inputs: Inputs of the decision, for the log.
        """
        self._counts.add("refused")
        inputs = {**inputs, "cause": cause, "version": self.version}
        self._report(
            outcomes.Decision("placement", "refused", segment.key, inputs)
        )
        return outcomes.ToCaller(
            self._format.caller_address(segment.key),
            self._format.reset_packet(segment),
        )

    def report_placement(
        self,
        key: bytes,
        placement: pending_flows.Placement,
        outcome: str,
        now: float,
    ) -> None:
        """Reports a decision about a pending flow, for the log.

        Args:
            key: Flow key.
            placement: The flow.
            outcome: The decision.
            now: Present time, seconds.
        """
        inputs = {"version": self.version, **placement.log_inputs(now)}
        self._report(outcomes.Decision("placement", outcome, key, inputs))
