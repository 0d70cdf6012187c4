"""Policies that choose a target without asking it, for comparison."""

import typing

import xxhash

from clementinelead.replays import calls
from clementinelead.replays import event_queues
from clementinelead.replays import latencies
from clementinelead.replays import servers

__all__ = ["DirectTransport", "PlainHash", "ShortestQueue", "TargetPolicy"]


class TargetPolicy(typing.Protocol):
    """Chooses a target for a flow."""

    def choose(
        self, call: calls.Call, known: list[servers.Server], now: float
    ) -> servers.Server:
        """Returns the target that gets the flow."""


class PlainHash:
    """The hash of the flow alone decides."""

    def choose(
        self, call: calls.Call, known: list[servers.Server], now: float
    ) -> servers.Server:
        """Returns the first target in the flow's rendezvous order."""
        flow = f"{call.number}/{call.attempts}"
        return max(
            known,
            key=lambda server: xxhash.xxh3_64_intdigest(
                f"{flow}/{server.spec.name}".encode()
            ),
        )


class ShortestQueue:
    """Knows all queues, speeds and faults at once; nobody can do that."""

    def choose(
        self, call: calls.Call, known: list[servers.Server], now: float
    ) -> servers.Server:
        """Returns the target that would be done first."""
        work_s = call.arrival.work_s
        return min(
            known, key=lambda server: server.completion_time_s(work_s, now)
        )


class DirectTransport:
    """Carries each flow to the target that a policy chooses."""

    def __init__(
        self,
        policy: TargetPolicy,
        known: list[servers.Server],
        event_queue: event_queues.EventQueue,
        draw: typing.Callable[[], float],
    ):
        self._policy = policy
        self._servers = known
        self._event_queue = event_queue
        self._draw = draw

    def open_flow(self, call: calls.Call) -> None:
        """Sends the request after a handshake; the target is chosen then."""
        attempt = call.attempts
        handshake = 3 * latencies.CALLER_TO_ZONE_S
        self._event_queue.schedule(
            self._event_queue.now + handshake,
            lambda: self._request(call, attempt),
        )

    def _request(self, call: calls.Call, attempt: int) -> None:
        now = self._event_queue.now
        server = self._policy.choose(call, self._servers, now)
        way = latencies.one_way_s(call.arrival.zone, server.spec.zone)
        answer = server.serve(call.arrival.work_s, self._draw(), now + way)
        if answer is None:
            return
        name = server.spec.name
        self._event_queue.schedule(
            answer.at_s + way + latencies.CALLER_TO_ZONE_S,
            lambda: call.on_answer(attempt, answer.status, name),
        )
