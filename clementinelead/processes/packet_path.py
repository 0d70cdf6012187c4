"""The packet path of a side process: envelopes in, packets out."""

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

PASSING = ("passed on", "least loaded")
"""Reasons of decisions that hand a flow to another target."""


class PlacementLog:
    """Logs placements and resets, at a bounded rate."""

    def __init__(self, per_s: float):
        """Begins with nothing logged.

        Args:
            per_s: Lines a second at most, of placements and of refusals each.
        """
        self.name_by_number: dict[int, str] = {}
        self._limit = logs.RateLimit(per_s)
        self._refusal_limit = logs.RateLimit(per_s)

    def note_target(self, name: str) -> None:
        """Learns the name of a target, which routes name by a number."""
        self.name_by_number[envelopes.candidate_id(name)] = name

    def log_placement(self, placement: outcomes.Placement | None) -> None:
        """Logs a placement decision, if there is one."""
        if placement is None:
            return
        limit = self._limit
        if placement.chosen is None and placement.reason not in PASSING:
            limit = self._refusal_limit
        if not limit.allows(time.monotonic()):
            return
        names = self.name_by_number
        passed = ",".join(
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
            passed or "-",
            chosen,
            placement.reason,
            placement.revision,
            placement.hops,
            limit.take_left_out(),
        )

    def log_reset(self, key: headers.FlowKey) -> None:
        """Logs that a flow is gone whose owner nobody knows."""
        if self._limit.allows(time.monotonic()):
            loguru.logger.warning(
                "reset flow={} reason='no owner'", headers.flow_text(key)
            )


class Clock(typing.Protocol):
    """Notices that the process did not run for a while."""

    def check_pause(self, now: float) -> None:
        """Called with each datagram."""


class PacketPath(asyncio.DatagramProtocol):
    """Takes envelopes from balancers and other side processes.

    Attributes:
        delivered: Packets delivered to the target.
        passed_on: Packets sent to other side processes.
        refused: Flows refused.
        resets: Flows reset.
        drops: Packets dropped by cause.
    """

    def __init__(
        self,
        decider: decisions.Decider,
        messages: flow_messages.FlowMessages,
        clock: Clock,
        log: PlacementLog,
        target: tuple[str, int],
        egress: tuple[str, int],
    ):
        """Prepares the path.

        Args:
            decider: Decides about each packet.
            messages: Sends registrations.
            clock: Notices pauses of this process.
            log: Logs placements.
            target: Where packets are delivered.
            egress: Where answers to callers go.
        """
        self.delivered = 0
        self.passed_on = 0
        self.refused = 0
        self.resets = 0
        self.drops = counters.CounterSet()
        self._decider = decider
        self._held = decider.fast_path_packet
        self._messages = messages
        self._check_pause = clock.check_pause
        self._log = log
        self._target = target
        self._egress = egress
        self._now = time.monotonic
        self._transport: asyncio.DatagramTransport

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, _: tuple[str, int]) -> None:
        """Handles one datagram."""
        now = self._now()
        self._check_pause(now)
        try:
            packet = self._held(data, now)
        except exceptions.MalformedMessageError:
            self.drops.add(headers.DropCause.ENVELOPE.value)
            return
        if packet is not None:
            self.delivered += 1
            self._transport.sendto(packet, self._target)
            return
        self._act(self._decider.decide(data, now))

    def _act(self, outcome: outcomes.Outcome) -> None:
        send = self._transport.sendto
        match outcome:
            case outcomes.Deliver(packet, placement):
                if packet[9] == headers.PROTOCOL_UDP:
                    self._messages.flush()
                else:
                    self._messages.schedule()
                self.delivered += 1
                send(packet, self._target)
                self._log.log_placement(placement)
            case outcomes.Forward(address, envelope, placement):
                self.passed_on += 1
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
        """Notes that a datagram could not be sent."""
        self.drops.add("send_error")
