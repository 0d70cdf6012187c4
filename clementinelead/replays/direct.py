"""Baseline policies, which choose a target without probing it."""

import typing

import xxhash

from clementinelead.replays import calls
from clementinelead.replays import event_queues
from clementinelead.replays import latencies
from clementinelead.replays import servers

__all__ = ["DirectTransport", "PlainHash", "ShortestQueue", "TargetPolicy"]


class TargetPolicy(typing.Protocol):
    """Assigns flows to targets."""

    def choose(
        self, call: calls.Call, all_servers: list[servers.Server], now: float
    ) -> servers.Server:
        """Returns the target that gets a flow.

        Args:
            call: The call whose present attempt opens the flow.
            all_servers: All targets.
            now: Present time, seconds.
        """


class PlainHash:
    """Assigns flows by rendezvous hashing alone."""

    def choose(
        self, call: calls.Call, all_servers: list[servers.Server], now: float
    ) -> servers.Server:
        """Returns the target with the highest rendezvous hash for the flow."""
        session = call.arrival.session
        name = call.number if session is None else f"session {session}"
        flow = f"{name}/{call.attempts}"
        return max(
            all_servers,
            key=lambda server: xxhash.xxh3_64_intdigest(
                f"{flow}/{server.spec.name}".encode()
            ),
        )


class ShortestQueue:
    """Assigns flows with full information; an upper bound, not feasible.

    It reads the present queues, speeds and faults of all targets without
    delay, which no real policy can.
    """

    def choose(
        self, call: calls.Call, all_servers: list[servers.Server], now: float
    ) -> servers.Server:
        """Returns the target that would complete the request first."""
        work_s = call.arrival.work_s
        return min(
            all_servers,
            key=lambda server: server.completion_time_s(work_s, now),
        )


class DirectTransport:
    """Sends each request straight to the target that a policy chooses.

    Requests of a session do not wait for each other.

    Attributes:
        placements: Requests sent to a target.
        placements_elsewhere: Those sent outside the zone of their caller.
    """

    def __init__(
        self,
        policy: TargetPolicy,
        all_servers: list[servers.Server],
        event_queue: event_queues.EventQueue,
        draw: typing.Callable[[], float],
    ):
        self.placements = 0
        self.placements_elsewhere = 0
        self._policy = policy
        self._servers = all_servers
        self._event_queue = event_queue
        self._draw = draw

    def open_flow(self, call: calls.Call) -> None:
        """Sends a request after a handshake; the target is chosen then.

        Args:
            call: The call.
        """
        attempt = call.attempts
        handshake_s = 3 * latencies.CALLER_TO_ZONE_S
        self._event_queue.schedule(
            self._event_queue.now + handshake_s,
            lambda: self._send_request(call, attempt),
        )

    def _send_request(self, call: calls.Call, attempt: int) -> None:
        now = self._event_queue.now
        server = self._policy.choose(call, self._servers, now)
        self.placements += 1
        self.placements_elsewhere += server.spec.zone != call.arrival.zone
        delay_s = latencies.one_way_s(call.arrival.zone, server.spec.zone)
        answer = server.serve(call.arrival.work_s, self._draw(), now + delay_s)
        if answer is None:
            return
        name = server.spec.name
        self._event_queue.schedule(
            answer.at_s + delay_s + latencies.CALLER_TO_ZONE_S,
            lambda: call.on_answer(attempt, answer.status, name),
        )
