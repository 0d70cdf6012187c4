"""Packet path of a side process: receives envelopes, sends packets."""

import asyncio
import time
import typing

import loguru

from clementinelead import exceptions
from clementinelead.flows import decisions
from clementinelead.flows import outcomes
from clementinelead.messages import envelopes
from clementinelead.packets import headers
from clementinelead.processes import flow_messages
from clementinelead.telemetry import counters
from clementinelead.telemetry import logs

__all__ = ["PacketPath", "PlacementLog"]

FORWARDING_REASONS = ("passed on", "least loaded")
"""Reasons of placements that forward a flow to another target."""

_IPV4_PROTOCOL_OFFSET = 9


class PlacementLog:
    """Logs placements and resets at a limited rate.

    Attributes:
        name_by_candidate_id: Names of targets, by their number in routes.
    """

    def __init__(self, per_s: float):
        """Creates a log.

        Args:
            per_s: Highest rate in lines a second, for placements and refusals
                separately.
        """
        self.name_by_candidate_id: dict[int, str] = {}
        self._limit = logs.RateLimit(per_s)
        self._refusal_limit = logs.RateLimit(per_s)

    def add_target(self, name: str) -> None:
        """Stores a target's name, as routes contain only its number."""
        self.name_by_candidate_id[envelopes.candidate_id(name)] = name

    def log_placement(self, placement: outcomes.Placement | None) -> None:
        """Logs a placement decision.

        Args:
            placement: The decision; None if there was nothing to decide.
        """
        if placement is None:
            return
        limit = self._limit
        if (
            placement.chosen is None
            and placement.reason not in FORWARDING_REASONS
        ):
            limit = self._refusal_limit
        if not limit.allows(time.monotonic()):
            return
        names = self.name_by_candidate_id
        passed_over = ",".join(
            f"{names.get(number, number)}:{reason}"
            for number, reason in placement.passed_over
        )
        chosen = "-"
        if placement.chosen is not None:
            chosen = names.get(placement.chosen, str(placement.chosen))
        loguru.logger.info(
            "place service={} flow={} passed_over={} chosen={} reason={!r}"
            " revision={} hops={} left_out={}",
            placement.service,
            headers.flow_text(placement.key),
            passed_over or "-",
            chosen,
            placement.reason,
            placement.revision,
            placement.hops,
            limit.take_left_out(),
        )

    def log_reset(self, key: headers.FlowKey) -> None:
        """Logs the reset of a flow whose owner could not be found."""
        if self._limit.allows(time.monotonic()):
            loguru.logger.warning(
                "reset flow={} reason='no owner'", headers.flow_text(key)
            )


class PauseDetector(typing.Protocol):
    """Detects that the process did not run for a while."""

    def check_pause(self, now: float) -> None:
        """Checks for a pause; called with each datagram.

        Args:
            now: Present time, seconds.
        """


class PacketPath(asyncio.DatagramProtocol):
    """Handles envelopes from balancers and other side processes.

    Attributes:
        delivered: Number of packets delivered to the target.
        forwarded: Number of packets sent to other side processes.
        refused: Number of flows refused.
        resets: Number of flows reset.
        drops: Packets dropped and sends that failed, by cause.
    """

    def __init__(
        self,
        decider: decisions.Decider,
        messages: flow_messages.FlowMessages,
        pause_detector: PauseDetector,
        log: PlacementLog,
        target: tuple[str, int],
        egress: tuple[str, int],
    ):
        """Creates the path; a datagram endpoint connects it to a socket.

        Args:
            decider: Decides about each packet.
            messages: Sends registrations.
            pause_detector: Detects pauses of this process.
            log: Logs placements and resets.
            target: Address to which packets are delivered.
            egress: Address to which answers to callers are sent.
        """
        self.delivered = 0
        self.forwarded = 0
        self.refused = 0
        self.resets = 0
        self.drops = counters.CounterSet()
        self._decider = decider
        self._fast_path_packet = decider.fast_path_packet
        self._messages = messages
        self._check_pause = pause_detector.check_pause
        self._log = log
        self._target = target
        self._egress = egress
        self._now = time.monotonic
        self._transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport for sending."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        """Delivers, forwards, refuses or drops the packet of an envelope."""
        now = self._now()
        self._check_pause(now)
        try:
            packet = self._fast_path_packet(data, now)
        except exceptions.MalformedMessageError:
            self.drops.add(headers.DropCause.ENVELOPE.value)
            return
        if packet is not None:
            self.delivered += 1
            self._transport.sendto(packet, self._target)
            return
        self._apply(self._decider.decide(data, now))

    def _apply(self, outcome: outcomes.Outcome) -> None:
        send = self._transport.sendto
        match outcome:
            case outcomes.Deliver(packet, placement):
                if packet[_IPV4_PROTOCOL_OFFSET] == headers.PROTOCOL_UDP:
                    self._messages.flush()
                else:
                    self._messages.schedule_flush()
                self.delivered += 1
                send(packet, self._target)
                self._log.log_placement(placement)
            case outcomes.Forward(address, envelope, placement):
                self.forwarded += 1
                send(envelope, address)
                self._log.log_placement(placement)
            case outcomes.Refuse(answers, placement):
                self.refused += 1
                for answer in answers:
                    send(answer, self._egress)
                self._log.log_placement(placement)
            case outcomes.Reset(answers, key):
                self.resets += 1
                for answer in answers:
                    send(answer, self._egress)
                self._log.log_reset(key)
            case outcomes.Drop(cause):
                self.drops.add(cause.value)

    def error_received(self, error: Exception) -> None:
        """Counts a datagram that could not be sent."""
        self.drops.add("send_error")
