"""The balancers and side processes of a replay."""

import typing

from clementinelead.relays import announcements
from clementinelead.relays import former_services
from clementinelead.relays import intake
from clementinelead.relays import outcomes
from clementinelead.relays import steering
from clementinelead.relays import target_relay
from clementinelead.replays import agendas
from clementinelead.replays import packets
from clementinelead.replays import processors
from clementinelead.replays import servers

__all__ = ["SERVICE", "Balancer", "Side"]

SERVICE = "replayed"


class Side:
    """A side process with its target."""

    def __init__(self, server: servers.Server, now: float):
        self.server = server
        self.address = (server.spec.name, 1)
        self.sequence_by_key: dict[bytes, int] = {}
        self._born = 0
        self.holding = target_relay.TargetRelay(
            packets.Format(), SERVICE, _ignore, now, started_ms=0
        )
        self.holding.startup.no_predecessor = True
        self.announce(now)

    def announce(self, now: float) -> None:
        """Lets the target announce a new incarnation."""
        self._born += 1
        self.holding.on_heartbeat(
            announcements.Heartbeat(
                id=self.server.spec.name,
                started_ms=self._born,
                sequence=1,
                service=SERVICE,
                slots=self.server.spec.slots,
                draining=False,
                warmup_s=0.0,
            ),
            now,
        )


class Balancer:
    """A balancer of one availability zone.

    Attributes:
        callers: Where callers' packets wait.
        peers: Where side processes' datagrams wait.
        steering: The decisions.
        processor: What it has to work with.
    """

    def __init__(
        self,
        zone: str,
        agenda: agendas.Agenda,
        share: float | None,
        send: typing.Callable[["Balancer", list[outcomes.Outcome]], None],
    ):
        self.zone = zone
        self.address = (f"balancer-{zone}", 1)
        self.callers = processors.Mailbox()
        self.peers = processors.Mailbox()
        self.processor = processors.Processor(
            agenda,
            share,
            lambda now: self._intake.process_next(now),
            lambda several: send(self, several),
        )
        self.begin(first_start=True)

    def begin(self, first_start: bool) -> None:
        """Begins anew, without flows."""
        former = former_services.FormerServices(first_start)
        self.steering = steering.Steering(
            packets.Format(), self._report, self.zone, former
        )
        self._intake = intake.Intake(
            self.steering, packets.Format(), self.peers, self.callers
        )

    def kill(self) -> None:
        """Ends the process; what waits in its sockets is lost."""
        self.processor.running = False
        for mailbox in (self.callers, self.peers):
            mailbox.open = False
            mailbox.clear()

    def listen(self) -> None:
        """Lets its sockets take datagrams, which nobody reads yet."""
        self.callers.open = self.peers.open = True

    def _report(self, _: outcomes.Decision) -> None:
        self.processor.reported += 1

    def wake(self) -> None:
        """Lets the process look at its sockets and timers."""
        self._intake.on_readable()
        self.processor.wake()


def _ignore(decision: outcomes.Decision) -> None:
    """Replays read what callers see, not what is logged."""
