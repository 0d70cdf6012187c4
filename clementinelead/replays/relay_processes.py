"""Models of the balancers and side processes of a simulation."""

import typing

from clementinelead.relays import announcements
from clementinelead.relays import former_services
from clementinelead.relays import intake
from clementinelead.relays import outcomes
from clementinelead.relays import steering
from clementinelead.relays import target_relay
from clementinelead.replays import event_queues
from clementinelead.replays import packets
from clementinelead.replays import processors
from clementinelead.replays import servers

__all__ = ["SERVICE_NAME", "Balancer", "SideProcess"]

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

    def __init__(self, server: servers.Server, now: float):
        self.server = server
        self.address = (server.spec.name, 1)
        self.sequence_by_key: dict[bytes, int] = {}
        self._incarnation = 0
        self.target_relay = target_relay.TargetRelay(
            packets.Format(), SERVICE_NAME, _discard, now, started_ms=0
        )
        self.target_relay.startup.no_predecessor = True
        self.announce_incarnation(now)

    def announce_incarnation(self, now: float) -> None:
        """Sends the first heartbeat of a new incarnation of the target.

        Args:
            now: Present time, seconds.
        """
        self._incarnation += 1
        self.target_relay.on_heartbeat(
            announcements.Heartbeat(
                id=self.server.spec.name,
                started_ms=self._incarnation,
                sequence=1,
                service=SERVICE_NAME,
                slots=self.server.spec.slots,
                draining=False,
                warmup_s=0.0,
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
        share: float | None,
        send: typing.Callable[["Balancer", list[outcomes.Outcome]], None],
    ):
        self.zone = zone
        self.address = (f"balancer-{zone}", 1)
        self.caller_socket = processors.SocketBuffer()
        self.peer_socket = processors.SocketBuffer()
        self.processor = processors.Processor(
            event_queue,
            share,
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
        self.steering = steering.Steering(
            packets.Format(), self._count_log_line, self.zone, former
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


def _discard(decision: outcomes.Decision) -> None:
    """Discards a log record; simulations measure at the callers."""
