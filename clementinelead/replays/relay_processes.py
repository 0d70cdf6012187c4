"""Models of the balancers and side processes of a simulation."""

import typing

from clementinelead.relays import announcements
from clementinelead.relays import former_services
from clementinelead.relays import intake
from clementinelead.relays import outcomes
from clementinelead.relays import second_openings
from clementinelead.relays import steering
from clementinelead.relays import target_relay
from clementinelead.relays import warmup_limit
from clementinelead.replays import event_queues
from clementinelead.replays import loads
from clementinelead.replays import packets
from clementinelead.replays import processors
from clementinelead.replays import servers

__all__ = ["HEARTBEAT_INTERVAL_S", "SERVICE_NAME", "Balancer", "SideProcess"]

HEARTBEAT_INTERVAL_S = 0.8
"""Interval of the targets' heartbeats, seconds."""

SERVICE_NAME = "replayed"
"""Name of the only service of a simulation."""


class SideProcess:
    """A side process with its target.

    Attributes:
        server: Model of the target.
        address: Where the side process receives datagrams.
        sequence_by_key: First sequence number of each flow that is open at the
            target, by flow key.
        target_relay: The decisions of the side process.
    """

    def __init__(
        self,
        server: servers.Server,
        warmup: loads.WarmupSpec | None,
        now: float,
    ):
        self.server = server
        self.address = (server.spec.name, 1)
        self.sequence_by_key: dict[bytes, int] = {}
        self._incarnation = 0
        self._sequence = 0
        self._warm_at = now
        self.target_relay = target_relay.TargetRelay(
            packets.Format(),
            SERVICE_NAME,
            _discard,
            now,
            started_ms=0,
            limit=_limit(warmup, now),
        )
        if warmup is not None:
            self.target_relay.set_warmup_rate(warmup.flows_per_s)
        self.target_relay.startup.no_predecessor = True
        self.announce_incarnation(now)

    def announce_incarnation(self, now: float) -> None:
        """Sends the first heartbeat of a new incarnation of the target.

        Args:
            now: Present time, seconds.
        """
        self._incarnation += 1
        self._sequence = 0
        self.set_warmup(now)

    def set_warmup(self, now: float) -> None:
        """Starts the warm-up of the target's present condition.

        Args:
            now: Present time, seconds.
        """
        self._warm_at = now + self.server.condition.warmup_s
        self.send_heartbeat(now)

    def send_heartbeat(self, now: float) -> None:
        """Sends a heartbeat of the target.

        Args:
            now: Present time, seconds.
        """
        self._sequence += 1
        self.target_relay.on_heartbeat(
            announcements.Heartbeat(
                id=self.server.spec.name,
                started_ms=self._incarnation,
                sequence=self._sequence,
                service=SERVICE_NAME,
                slots=self.server.spec.slots,
                draining=False,
                warmup_s=max(0.0, self._warm_at - now),
            ),
            now,
        )


class Balancer:
    """A balancer of one availability zone.

    Attributes:
        zone: The availability zone.
        address: Where it receives datagrams of side processes.
        caller_socket: Buffer of callers' packets.
        peer_socket: Buffer of side processes' datagrams.
        steering: The decisions.
        processor: Its processor time.
    """

    def __init__(
        self,
        zone: str,
        event_queue: event_queues.EventQueue,
        spec: loads.BalancerSpec,
        send: typing.Callable[["Balancer", list[outcomes.Outcome]], None],
    ):
        self.zone = zone
        self._spec = spec
        self.address = (f"balancer-{zone}", 1)
        self.caller_socket = processors.SocketBuffer()
        self.peer_socket = processors.SocketBuffer()
        self.processor = processors.Processor(
            event_queue,
            spec.share,
            lambda now: self._intake.process_next(now),
            lambda outcome_batch: send(self, outcome_batch),
        )
        self.start(first_start=True)

    def start(self, first_start: bool) -> None:
        """Starts or restarts the process, without any flow.

        Args:
            first_start: Whether no process ran here before.
        """
        former = former_services.FormerServices(first_start)
        share = self._spec.extra_openings_share
        policy = second_openings.POLICY_BY_NAME[self._spec.extra_openings]
        self.steering = steering.Steering(
            packets.Format(),
            self._count_log_line,
            self.zone,
            former,
            share,
            policy(share),
        )
        self._intake = intake.Intake(
            self.steering,
            packets.Format(),
            self.peer_socket,
            self.caller_socket,
        )

    def kill(self) -> None:
        """Ends the process; datagrams in its socket buffers are lost."""
        self.processor.running = False
        for socket_buffer in (self.caller_socket, self.peer_socket):
            socket_buffer.open = False
            socket_buffer.clear()

    def open_sockets(self) -> None:
        """Opens the sockets; datagrams wait there until the process runs."""
        self.caller_socket.open = self.peer_socket.open = True

    def _count_log_line(self, _: outcomes.Decision) -> None:
        self.processor.log_lines += 1

    def wake(self) -> None:
        """Schedules a step that reads its sockets and timers."""
        self._intake.on_readable()
        self.processor.wake()


def _limit(
    warmup: loads.WarmupSpec | None, now: float
) -> warmup_limit.WarmupLimit | None:
    if warmup is None:
        return None
    bound = warmup_limit.WarmupBound(warmup.overshoot, warmup.slack)
    return warmup_limit.WarmupLimit(bound, HEARTBEAT_INTERVAL_S, now)


def _discard(decision: outcomes.Decision) -> None:
    """Discards a log record; simulations measure at the callers."""
