"""In-memory network of balancers, side processes and targets.

It has a simulated clock. Datagrams are delivered in order after one step of
time. A target is a dictionary of flows, and answers and returns packets as the
real targets do.
"""

import collections.abc
import dataclasses
import heapq

from clementinelead.relays import announcements
from clementinelead.relays import candidates
from clementinelead.relays import former_services
from clementinelead.relays import outcomes
from clementinelead.relays import routes
from clementinelead.relays import steering
from clementinelead.relays import target_relay
from clementinelead.relays import warmup_limit
from clementinelead.replays import packets

SERVICE = "lookups"
ROUTE_ADDRESS = b"S1"
STEP_S = 0.001
WARMUP_FLOWS_PER_S = 10.0
Format = packets.Format
packet = packets.build_packet


def flow_key(number: int, address: bytes = ROUTE_ADDRESS) -> bytes:
    """Returns the flow key with a number.

    Args:
        number: Number of the flow.
        address: Address of the service.
    """
    return packets.flow_key(number, address)


class Target:
    """A target that accepts flows and returns packets of flows not held.

    Attributes:
        seed: Determines the initial sequence number of its flows.
        sequence_by_key: Initial sequence numbers of the flows held.
        delivered: Packets of open flows that it has received, in order.
        full: Whether it returns opening packets of new flows.
    """

    def __init__(self, seed: int):
        self.seed = seed
        self.sequence_by_key: dict[bytes, int] = {}
        self.delivered: list[bytes] = []
        self.full = False

    def receive(self, data: bytes) -> list[bytes]:
        """Returns the packets that the target sends in reply to a packet.

        Args:
            data: Packet of a caller.
        """
        segment = Format().from_caller(data)
        assert segment is not None
        key = segment.key
        if segment.opens and key not in self.sequence_by_key:
            if self.full:
                return [packets.mark_returned(data)]
            self.sequence_by_key[key] = self.seed * 100_000_000
        if key not in self.sequence_by_key:
            return [packets.mark_returned(data)]
        sequence = self.sequence_by_key[key]
        if segment.opens:
            return [packet(key, packets.ACCEPTS, sequence)]
        if segment.acknowledgement not in (0, sequence + 1):
            return []  # the caller continues the flow with another target
        self.delivered.append(data)
        if segment.length:
            end = segment.sequence + segment.length
            return [packet(key, 0, sequence + 1, end, length=10)]
        return []


_Datagram = tuple[tuple[str, int], tuple[str, int], bytes]
_FromTarget = tuple[tuple[str, int], bytes]


@dataclasses.dataclass
class Network:
    """All processes and the datagrams between them.

    Attributes:
        balancers: Number of balancers.
        targets: Number of targets, each with a side process.
        zones: Availability zones of the targets, in turn.
        delay_s: Time that each datagram between processes takes, seconds.
        target_delay_s: Time that targets take to send a packet, seconds.
        warmup_bound: Bound on new flows at targets that warm up at
            ``WARMUP_FLOWS_PER_S``, None for no limit.
        balancer_options: Options of the balancers, by name.
        idempotent: Whether requests may be executed more than once.
        now: Present time, seconds.
        to_caller: Packets sent to callers, in order.
        decisions: Decisions that the processes have reported.
        unreachable: Addresses from and to which all datagrams are lost.
        target_by_address: Targets by the address of their side process.
        zone_by_address: Zones of the targets, by the same address.
        side_by_address: Decisions of the side processes.
        balancer_by_address: Decisions of the balancers.
    """

    balancers: int = 1
    targets: int = 3
    zones: tuple[str, ...] = ("z",)
    delay_s: float = STEP_S
    target_delay_s: float = 0.0
    warmup_bound: warmup_limit.WarmupBound | None = None
    balancer_options: dict[str, float] = dataclasses.field(default_factory=dict)
    idempotent: bool = False

    def __post_init__(self) -> None:
        self.now = 100.0
        self.to_caller: list[bytes] = []
        self.decisions: list[outcomes.Decision] = []
        self.unreachable: set[tuple[str, int]] = set()
        self._queue: list[tuple[float, int, _Datagram]] = []
        self._target_queue: list[tuple[float, int, _FromTarget]] = []
        self._sent_count = 0
        self.target_by_address = {
            (f"side{number}", 1): Target(number + 1)
            for number in range(self.targets)
        }
        self.zone_by_address = {
            address: self.zones[number % len(self.zones)]
            for number, address in enumerate(self.target_by_address)
        }
        self.side_by_address = {
            address: self.new_side(machine_booted=True)
            for address in self.target_by_address
        }
        for number in range(self.targets):
            self.send_heartbeat(number)
        self.balancer_by_address = {
            (f"balancer{number}", 1): self.new_balancer()
            for number in range(self.balancers)
        }
        for balancer in self.balancer_by_address.values():
            # After ticks without a pause a balancer does not assume that
            # queued packets may be outdated.
            for age_s in (0.35, 0.2, 0.05):
                balancer.on_tick(self.now - age_s)

    def new_side(self, machine_booted: bool) -> target_relay.TargetRelay:
        """Returns a side process that has just started.

        Args:
            machine_booted: Whether its machine has just been switched on, too.
        """
        side = target_relay.TargetRelay(
            Format(),
            SERVICE,
            self.decisions.append,
            self.now,
            self.now_ms,
            warmup_limit.WarmupLimit(self.warmup_bound, 1.0, self.now),
        )
        side.set_warmup_rate(WARMUP_FLOWS_PER_S)
        side.startup.no_predecessor = machine_booted
        return side

    @property
    def now_ms(self) -> int:
        """Present time in the unit of heartbeats, milliseconds."""
        return round(self.now * 1000)

    def restart_side(self, number: int, machine_booted: bool = False) -> None:
        """Replaces a side process.

        Args:
            number: Number of its target.
            machine_booted: Whether its machine has lost power, and its target
                with it.
        """
        self.side_by_address[(f"side{number}", 1)] = self.new_side(
            machine_booted
        )

    def restart_target(self, number: int, seed: int) -> None:
        """Replaces a target by one without flows.

        Args:
            number: Number of the target.
            seed: Seed of its sequence numbers, other than before.
        """
        self.target_by_address[(f"side{number}", 1)] = Target(seed)

    def send_heartbeat(
        self,
        number: int,
        sequence: int = 1,
        draining: bool = False,
        started_ms: int = 1,
    ) -> announcements.UpdateResult:
        """Sends a heartbeat of a target to its side process.

        Args:
            number: Number of the target.
            sequence: Sequence number of the heartbeat.
            draining: Whether the target is about to stop.
            started_ms: Start of its incarnation, milliseconds.

        Returns:
            How the side process has applied the heartbeat.
        """
        heartbeat = self.heartbeat(number, sequence, draining, started_ms)
        side = self.side_by_address[(f"side{number}", 1)]
        return side.on_heartbeat(heartbeat, self.now)

    def heartbeat(
        self,
        number: int,
        sequence: int,
        draining: bool = False,
        started_ms: int = 1,
        warmup_s: float = 0.0,
    ) -> announcements.Heartbeat:
        """Returns a heartbeat of a target.

        Args:
            number: Number of the target.
            sequence: Sequence number of the heartbeat.
            draining: Whether the target is about to stop.
            started_ms: Start of its incarnation, milliseconds.
            warmup_s: Remaining time for which it warms up, seconds.
        """
        return announcements.Heartbeat(
            id=f"t{number}",
            started_ms=started_ms,
            sequence=sequence,
            service=SERVICE,
            slots=2,
            draining=draining,
            warmup_s=warmup_s,
        )

    def new_balancer(self) -> steering.Steering:
        """Returns a balancer that has just joined."""
        former = former_services.FormerServices(first_start=True)
        balancer = steering.Steering(
            Format(),
            self.decisions.append,
            "z",
            former,
            **self.balancer_options,
        )
        route = routes.Route(
            "r",
            ROUTE_ADDRESS,
            (routes.Share(SERVICE, 1),),
            idempotent=self.idempotent,
        )
        self.set_routes(balancer, routes.RoutingTable(1, (route,), 60.0))
        self.update_targets(balancer)
        balancer.set_complete_from(self.now)
        return balancer

    def set_routes(
        self, balancer: steering.Steering, table: routes.RoutingTable
    ) -> None:
        """Applies routes at a balancer.

        Args:
            balancer: The balancer.
            table: The routes.
        """
        balancer.former.record_change(balancer.table, table, self.now)
        balancer.set_routes(table)

    def update_targets(
        self,
        balancer: steering.Steering,
        never_ready: collections.abc.Collection[tuple[str, int]] = (),
    ) -> None:
        """Sets a balancer's targets to the present state of all targets.

        Args:
            balancer: The balancer.
            never_ready: Addresses of side processes that stopped before their
                targets announced themselves.
        """
        balancer.set_targets(
            SERVICE,
            tuple(
                candidates.Target(
                    address[0],
                    address,
                    self.zone_by_address[address],
                    side.accepting and address not in never_ready,
                    False,
                    never_ready=address in never_ready,
                )
                for address, side in self.side_by_address.items()
            ),
        )

    def evacuate_at_balancers(self, *zones: str) -> None:
        """Tells all balancers which zones are evacuated.

        Args:
            *zones: Names of the evacuated zones.
        """
        for balancer in self.balancer_by_address.values():
            balancer.set_evacuated_zones(frozenset(zones))

    def evacuate_at_sides(self, *zones: str) -> None:
        """Tells all side processes which zones are evacuated.

        Args:
            *zones: Names of the evacuated zones.
        """
        for address, side in self.side_by_address.items():
            side.set_evacuated(self.zone_by_address[address] in zones)

    def restart_balancer(self, number: int) -> None:
        """Replaces a balancer by one without flows.

        Args:
            number: Number of the balancer.
        """
        address = (f"balancer{number}", 1)
        self.balancer_by_address[address] = self.new_balancer()

    def send(self, data: bytes, balancer: int = 0) -> None:
        """Delivers a caller's packet to a balancer.

        Args:
            data: The packet.
            balancer: Number of the balancer.
        """
        address = (f"balancer{balancer}", 1)
        decisions = self.balancer_by_address[address]
        self._carry_out(address, decisions.on_packet(data, self.now))

    def run(self, seconds: float) -> None:
        """Advances the clock, and delivers datagrams and ticks meanwhile.

        Args:
            seconds: Time to advance by.
        """
        end = self.now + seconds
        while self.now < end:
            self.now += STEP_S
            while self._queue and self._queue[0][0] <= self.now:
                _, _, (source, address, data) = heapq.heappop(self._queue)
                self._deliver(source, address, data)
            while self._target_queue and self._target_queue[0][0] <= self.now:
                _, _, (source, data) = heapq.heappop(self._target_queue)
                side = self.side_by_address[source]
                self._carry_out(source, side.on_target_packet(data, self.now))
            for address, balancer in self.balancer_by_address.items():
                self._carry_out(address, balancer.on_tick(self.now))
            for address, side in self.side_by_address.items():
                self._carry_out(address, side.on_tick(self.now))

    def owners(self, key: bytes) -> list[tuple[str, int]]:
        """Returns the side processes whose targets hold a flow, by address.

        Args:
            key: Flow key.
        """
        return [
            address
            for address, target in self.target_by_address.items()
            if key in target.sequence_by_key
        ]

    def open_flow(self, key: bytes, balancer: int = 0) -> tuple[str, int]:
        """Opens a flow as a caller does.

        Args:
            key: Flow key.
            balancer: Number of the balancer that receives the packets.

        Returns:
            Address of the side process of the owner.
        """
        before = len(self.to_caller)
        self.send(packet(key, packets.OPENS), balancer)
        self.run(0.1)
        answers = [
            Format().from_target(data) for data in self.to_caller[before:]
        ]
        accepted = [
            answer.sequence
            for answer in answers
            if answer and answer.accepts and answer.key == key
        ]
        assert accepted, "the flow was not accepted"
        self.send(packet(key, acknowledgement=accepted[0] + 1), balancer)
        self.run(0.05)
        return next(
            address
            for address, target in self.target_by_address.items()
            if target.sequence_by_key.get(key) == accepted[0]
        )

    def _deliver(
        self, source: tuple[str, int], address: tuple[str, int], data: bytes
    ) -> None:
        """Delivers a datagram unless one of its ends is unreachable."""
        if source in self.unreachable or address in self.unreachable:
            return
        if address in self.balancer_by_address:
            balancer = self.balancer_by_address[address]
            self._carry_out(address, balancer.on_frame(data, source, self.now))
        elif address in self.side_by_address:
            side = self.side_by_address[address]
            self._carry_out(address, side.on_frame(data, source, self.now))

    def _carry_out(
        self, source: tuple[str, int], results: list[outcomes.Outcome]
    ) -> None:
        """Sends what the decisions of a process have returned."""
        for outcome in results:
            match outcome:
                case outcomes.ToPeer(address, data):
                    self._sent_count += 1
                    item = (source, address, data)
                    due = self.now + self.delay_s
                    heapq.heappush(self._queue, (due, self._sent_count, item))
                case outcomes.ToCaller(_, data):
                    self.to_caller.append(data)
                case outcomes.ToTarget(data):
                    side = self.side_by_address[source]
                    target = self.target_by_address[source]
                    for answer in target.receive(data):
                        if not self.target_delay_s:
                            results = side.on_target_packet(answer, self.now)
                            self._carry_out(source, results)
                            continue
                        self._sent_count += 1
                        due = self.now + self.target_delay_s
                        answered = (due, self._sent_count, (source, answer))
                        heapq.heappush(self._target_queue, answered)
