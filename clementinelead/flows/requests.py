"""One packet that is being decided on, with all that came with it."""

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
        envelope: The envelope.
        route: Its route.
        starts: Whether the packet may start a flow.
        passed: Targets that passed the flow on here, and why.
    """

    key: headers.FlowKey
    envelope: envelopes.Envelope
    route: envelopes.Route
    starts: bool
    passed: tuple[tuple[int, str], ...] = ()

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
        """The process that started the search, if the envelope names one."""
        holders = self.route.visiting_order
        number = self.envelope.origin
        return holders[number] if number < len(holders) else None

    def has_asked(self, address: tuple[str, int]) -> bool:
        """Tells whether a target has had the flow and passed it on.

        Args:
            address: IP address and UDP port of its side process.
        """
        asked = self.route.candidates
        if self.envelope.phase is envelopes.Phase.ACCEPT:
            asked = asked[: self.envelope.position]
        elif self.envelope.phase is not envelopes.Phase.FINAL:
            return False
        if self.origin is not None:
            asked = (*asked, self.origin)
        return any(candidate.address == address for candidate in asked)

    def changed(self, **fields: typing.Any) -> "Request":
        """Returns the request with other fields in its envelope."""
        return dataclasses.replace(
            self, envelope=dataclasses.replace(self.envelope, **fields)
        )

    def routed(self, route: envelopes.Route, **fields: object) -> "Request":
        """Returns the request with another route."""
        changed = self.changed(route=route.encoded, **fields)
        return dataclasses.replace(changed, route=route)

    def passed_over(self, candidate: int, reason: str) -> "Request":
        """Returns the request after a target has passed the flow on."""
        passed = (*self.passed, (candidate, reason))
        return dataclasses.replace(self, passed=passed)

    def placement(self, chosen: int | None, reason: str) -> outcomes.Placement:
        """Returns what a log line says of the decision."""
        return outcomes.Placement(
            service=self.route.service,
            key=self.key,
            passed_over=self.passed,
            chosen=chosen,
            reason=reason,
            revision=self.route.revision,
            hops=self.envelope.hops,
        )

    def sent(
        self,
        phase: envelopes.Phase,
        address: tuple[str, int],
        position: int,
        reason: str = "",
    ) -> outcomes.Forward:
        """Returns the outcome that sends the packet on.

        Args:
            phase: What the receiver is asked to do.
            address: IP address and UDP port of the receiver.
            position: Its place in the visiting order.
            reason: For the log, if this is a placement decision.
        """
        onward = self.changed(
            phase=phase, position=position, hops=self.envelope.hops + 1
        )
        return outcomes.Forward(
            address,
            envelopes.encode_envelope(onward.envelope),
            self.placement(None, reason) if reason else None,
        )


def parse(data: bytes) -> Request | headers.DropCause:
    """Returns the request that a datagram holds, or why it holds none."""
    try:
        envelope = envelopes.decode_envelope(data)
        route = envelopes.decode_route(envelope.route)
    except exceptions.MalformedMessageError:
        return headers.DropCause.ENVELOPE
    key = headers.flow_key(envelope.packet)
    if isinstance(key, headers.DropCause):
        return key
    starts = headers.may_start_flow(envelope.packet, key)
    return Request(key, envelope, route, starts)
