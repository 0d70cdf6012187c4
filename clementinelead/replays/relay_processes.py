"""The balancers and side processes of a replay."""

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


class SideProcess:
    """A side process with its target."""

    def __init__(self, server: servers.Server, now: float):
        self.server = server
        self.address = (server.spec.name, 1)
        self.sequence_by_key: dict[bytes, int] = {}
        self._incarnation = 0
        self.target_relay = target_relay.TargetRelay(
            packets.Format(), SERVICE_NAME, _ignore, now, started_ms=0
        )
        self.target_relay.startup.no_predecessor = True
        self.announce_incarnation(now)

    def announce_incarnation(self, now: float) -> None:
        """Lets the target announce a new incarnation."""
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
        caller_socket: Where callers' packets wait.
        peer_socket: Where side processes' datagrams wait.
        steering: The decisions.
        processor: What it has to work with.
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
            lambda several: send(self, several),
        )
        self.start(first_start=True)

    def start(self, first_start: bool) -> None:
        """Begins anew, without flows."""
        former = former_services.FormerServices(first_start)
        self.steering = steering.Steering(
            packets.Format(), self._report, self.zone, former
        )
        self._intake = intake.Intake(
            self.steering,
            packets.Format(),
            self.peer_socket,
            self.caller_socket,
        )

    def kill(self) -> None:
        """Ends the process; what waits in its sockets is lost."""
        self.processor.running = False
        for socket_buffer in (self.caller_socket, self.peer_socket):
            socket_buffer.open = False
            socket_buffer.clear()

    def open_sockets(self) -> None:
        """Lets its sockets take datagrams, which nobody reads yet."""
        self.caller_socket.open = self.peer_socket.open = True

    def _report(self, _: outcomes.Decision) -> None:
        self.processor.log_lines += 1

    def wake(self) -> None:
        """Lets the process look at its sockets and timers."""
        self._intake.on_readable()
        self.processor.wake()


def _ignore(decision: outcomes.Decision) -> None:
    """Replays read what callers see, not what is logged."""
