"""Models of the balancers and side processes of a simulation."""

import dataclasses
import inspect
import typing

from clementinelead.relays import announcements
from clementinelead.relays import former_services
from clementinelead.relays import intake
from clementinelead.relays import outcomes
from clementinelead.relays import routes
from clementinelead.relays import steering
from clementinelead.relays import target_relay
from clementinelead.relays import warmup_limit
from clementinelead.replays import event_queues
from clementinelead.replays import loads
from clementinelead.replays import packets
from clementinelead.replays import processors
from clementinelead.replays import servers

__all__ = [
    "HEARTBEAT_INTERVAL_S",
    "SERVICE_NAME",
    "Balancer",
    "Options",
    "SideProcess",
    "TargetFlow",
    "UnsupportedOptionError",
    "address_by_kind",
    "routing_table",
]

HEARTBEAT_INTERVAL_S = 0.8
"""Interval of the targets' heartbeats, seconds."""

SERVICE_NAME = "replayed"
"""Name of the only service of a simulation."""


IDLE_TIMEOUT_S = 60.0
"""Idle time of flows that the routes allow, seconds."""


@dataclasses.dataclass(frozen=True)
class Options:
    """Settings of the balancers, 0 for off.

    Attributes:
        zone_spill_share: Share of the objective up to which a flow stays in
            its zone, from 0 to 1.
        further_queries_share: Largest share of the new flows for which further
            targets are asked for their load, from 0 to 1.
    """

    zone_spill_share: float = 0.0
    further_queries_share: float = 0.0


class UnsupportedOptionError(ValueError):
    """An option is set that the balancers do not have."""


def _supported(options: Options) -> dict[str, typing.Any]:
    """Returns the options as keyword arguments of ``steering.Steering``.

    Raises:
        UnsupportedOptionError: An option is set that it does not have.
    """
    parameters = inspect.signature(steering.Steering).parameters
    keywords = {}
    for name, share in dataclasses.asdict(options).items():
        if name in parameters:
            keywords[name] = share
        elif share:
            raise UnsupportedOptionError(f"balancers have no option {name}")
    return keywords


def address_by_kind(load: loads.Load) -> dict[str, bytes]:
    """Returns the service address of each kind of request.

    Args:
        load: The load.
    """
    return {
        kind.name: f"S{number}".encode()
        for number, kind in enumerate(load.kinds, start=1)
    }


def routing_table(load: loads.Load) -> routes.RoutingTable:
    """Returns the routes of a load, one for each kind of request.

    Args:
        load: The load.
    """
    addresses = address_by_kind(load)
    kind_routes = tuple(
        routes.Route(
            kind.name,
            addresses[kind.name],
            (routes.Share(SERVICE_NAME, 1),),
            int(kind.objective_s * 1000),
            int(kind.timeout_s * 1000),
            kind.priority,
            kind.idempotent,
        )
        for kind in load.kinds
    )
    warmup_rates: tuple[routes.WarmupRate, ...] = ()
    if load.warmup is not None:
        rate = routes.WarmupRate(SERVICE_NAME, load.warmup.flows_per_s)
        warmup_rates = (rate,)
    return routes.RoutingTable(1, kind_routes, IDLE_TIMEOUT_S, warmup_rates)


@dataclasses.dataclass(slots=True)
class TargetFlow:
    """A flow that is open at a target.

    Attributes:
        first_sequence: First sequence number of the target.
        received_end: Sequence number after the data received.
        sent_bytes: Data sent so far, bytes.
    """

    first_sequence: int
    received_end: int = 0
    sent_bytes: int = 0


class SideProcess:
    """A side process with its target.

    Attributes:
        server: Model of the target.
        address: Where the side process receives datagrams.
        flow_by_key: Flows that are open at the target, by flow key.
        target_relay: The decisions of the side process.
    """

    def __init__(
        self,
        server: servers.Server,
        load: loads.Load,
        now: float,
    ):
        self.server = server
        self.address = (server.spec.name, 1)
        self.flow_by_key: dict[bytes, TargetFlow] = {}
        self._incarnation = 0
        self._sequence = 0
        self._warm_at = now
        self.target_relay = target_relay.TargetRelay(
            packets.Format(),
            SERVICE_NAME,
            _discard,
            now,
            started_ms=0,
            limit=_limit(load.warmup, now),
        )
        self.target_relay.set_routes(routing_table(load))
        self.target_relay.startup.no_predecessor = True
        self.announce_incarnation(now)

    def set_condition(self, condition: loads.Condition, now: float) -> None:
        """Changes the condition of the target.

        Its flows end if it goes down; if it comes up again, it announces a new
        incarnation.

        Args:
            condition: Its condition from now on.
            now: Present time, seconds.
        """
        was_up = self.server.condition.up
        self.server.condition = condition
        if not condition.up:
            self.flow_by_key.clear()
        elif not was_up:
            self.announce_incarnation(now)
        else:
            self.set_warmup(now)

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
        share: float | None,
        send: typing.Callable[["Balancer", list[outcomes.Outcome]], None],
        options: Options,
    ):
        self.zone = zone
        self._keywords = _supported(options)
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
            packets.Format(),
            self._count_log_line,
            self.zone,
            former,
            **self._keywords,
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
