"""Decoded datagrams of the packet path."""

import dataclasses
import typing

from clementinelead import exceptions
from clementinelead.flows import outcomes
from clementinelead.messages import envelopes
from clementinelead.packets import headers

__all__ = ["Request", "parse"]


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A decoded datagram of the packet path.

    Attributes:
        key: Flow key of the packet.
        envelope: The decoded envelope.
        route: The decoded route of the envelope.
        may_start_flow: Whether the packet may start a flow.
        declines: Candidate number and reason of each target that has declined
            the flow in this process's decision, in order.
    """

    key: headers.FlowKey
    envelope: envelopes.Envelope
    route: envelopes.Route
    may_start_flow: bool
    declines: tuple[tuple[int, str], ...] = ()

    @property
    def packet(self) -> bytes:
        """The caller's packet."""
        return self.envelope.packet

    @property
    def is_tcp(self) -> bool:
        """Whether the packet is a TCP segment."""
        return self.key[12] == headers.PROTOCOL_TCP

    @property
    def origin(self) -> envelopes.Candidate | None:
        """Origin of the search or placement, or None at an invalid position."""
        holders = self.route.holders
        position = self.envelope.origin
        return holders[position] if position < len(holders) else None

    def was_declined_by(self, address: tuple[str, int]) -> bool:
        """Returns whether a target has already passed this new flow on.

        Args:
            address: IP address and UDP port of its side process.
        """
        asked_candidates = self.route.candidates
        if self.envelope.phase is envelopes.Phase.ACCEPT:
            asked_candidates = asked_candidates[: self.envelope.position]
        elif self.envelope.phase is not envelopes.Phase.FINAL:
            return False
        if self.origin is not None:
            asked_candidates = (*asked_candidates, self.origin)
        return any(
            candidate.address == address for candidate in asked_candidates
        )

    def with_envelope_fields(self, **fields: typing.Any) -> "Request":
        """Returns a copy with fields of its envelope replaced.

        Args:
            fields: New values by field name of ``envelopes.Envelope``.
        """
        return dataclasses.replace(
            self, envelope=dataclasses.replace(self.envelope, **fields)
        )

    def with_route(self, route: envelopes.Route, **fields: object) -> "Request":
        """Returns a copy with another route.

        Args:
            route: The route, with its encoded form.
            fields: Further fields of the envelope to replace, by name.
        """
        changed = self.with_envelope_fields(route=route.encoded, **fields)
        return dataclasses.replace(changed, route=route)

    def with_decline(self, candidate_id: int, reason: str) -> "Request":
        """Returns a copy that records that a target has declined the flow.

        Args:
            candidate_id: Candidate number of the target.
            reason: Its reason.
        """
        declines = (*self.declines, (candidate_id, reason))
        return dataclasses.replace(self, declines=declines)

    def placement_record(
        self, chosen: int | None, reason: str
    ) -> outcomes.Placement:
        """Returns the content of the decision's log record.

        Args:
            chosen: Candidate number of the chosen target, or None.
            reason: Reason for the choice, or for choosing no target here.
        """
        return outcomes.Placement(
            service=self.route.service,
            key=self.key,
            passed_over=self.declines,
            chosen=chosen,
            reason=reason,
            revision=self.route.revision,
            hops=self.envelope.hops,
        )

    def forward(
        self,
        phase: envelopes.Phase,
        address: tuple[str, int],
        position: int,
        reason: str = "",
    ) -> outcomes.Forward:
        """Returns the outcome that forwards the packet to another process.

        Args:
            phase: What the receiver has to do with it.
            address: IP address and UDP port of the receiver's packet path.
            position: Position of the receiver among the route's candidates or
                holders.
            reason: Reason for the log; empty if this is no placement decision.
        """
        forwarded = self.with_envelope_fields(
            phase=phase, position=position, hops=self.envelope.hops + 1
        )
        return outcomes.Forward(
            address,
            envelopes.encode_envelope(forwarded.envelope),
            self.placement_record(None, reason) if reason else None,
        )


def parse(data: bytes) -> Request | headers.DropCause:
    """Decodes a datagram of the packet path.

    Args:
        data: The datagram.

    Returns:
        The request, or the cause for which the datagram has to be dropped.
    """
    try:
        envelope = envelopes.decode_envelope(data)
        route = envelopes.decode_route(envelope.route)
    except exceptions.MalformedMessageError:
        return headers.DropCause.ENVELOPE
    key = headers.flow_key(envelope.packet)
    if isinstance(key, headers.DropCause):
        return key
    may_start_flow = headers.starts_flow(envelope.packet, key)
    return Request(key, envelope, route, may_start_flow)
