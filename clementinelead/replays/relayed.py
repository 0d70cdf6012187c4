"""A transport that simulates the product's decisions packet by packet."""

import collections
import dataclasses
import functools
import typing

from clementinelead.relays import candidates
from clementinelead.relays import formats
from clementinelead.relays import intake
from clementinelead.relays import opening_retransmissions
from clementinelead.relays import outcomes
from clementinelead.relays import routes
from clementinelead.replays import calls
from clementinelead.replays import event_queues
from clementinelead.replays import latencies
from clementinelead.replays import loads
from clementinelead.replays import packets
from clementinelead.replays import processors
from clementinelead.replays import relay_processes
from clementinelead.replays import servers

__all__ = ["RelayedTransport"]

IDLE_TICK_S = 0.05
"""Interval of the processes' idle timer, seconds."""

REQUEST_BYTES = 10
_ATTEMPTS = 1 + calls.MAX_RETRIES
_Address = tuple[str, int]


@dataclasses.dataclass(slots=True)
class _Flow:
    """The caller's state of a flow.

    Attributes:
        call: The call that it belongs to.
        attempt: Number of the call's attempt that opened it.
        opened: Whether the caller has received a target's acceptance.
        status: Answer of the target that executes its request.
        target: Name of that target.
    """

    call: calls.Call
    attempt: int
    opened: bool = False
    status: servers.Status = servers.Status.OK
    target: str = ""


class RelayedTransport:
    """Forwards flows through balancers and side processes.

    Each caller's packets go to the balancer of its availability zone; no
    datagram is lost in the network.
    """

    def __init__(
        self,
        load: loads.Load,
        all_servers: list[servers.Server],
        event_queue: event_queues.EventQueue,
        draw: typing.Callable[[], float],
    ):
        self._event_queue = event_queue
        self._draw = draw
        self._sent_datagrams = 0  # from balancers to side processes
        self._flow_by_key: dict[bytes, _Flow] = {}
        self._side_by_address = {
            side.address: side
            for side in (
                relay_processes.SideProcess(
                    server, load.warmup, event_queue.now
                )
                for server in all_servers
            )
        }
        zones = sorted({arrival.zone for arrival in load.arrivals})
        balancers = [
            relay_processes.Balancer(
                zone, event_queue, load.balancers, self._apply_balancer_outcomes
            )
            for zone in zones
        ]
        self._balancer_by_address = {
            balancer.address: balancer for balancer in balancers
        }
        self._kinds = load.kinds
        self._address_by_kind = {
            kind.name: f"S{number}".encode()
            for number, kind in enumerate(load.kinds, start=1)
        }
        self._evacuated_zones: frozenset[str] = frozenset()
        for balancer in balancers:
            self._configure(balancer)
        for evacuation in load.evacuations:
            event_queue.schedule(
                evacuation.at_s,
                functools.partial(self._evacuate, {evacuation.zone}, set()),
            )
            event_queue.schedule(
                evacuation.end_s,
                functools.partial(self._evacuate, set(), {evacuation.zone}),
            )
        for restart in load.balancers.restarts:
            event_queue.schedule(restart.at_s, self._kill_balancers)
            event_queue.schedule(restart.listening_s, self._open_sockets)
            event_queue.schedule(restart.serving_s, self._restart_balancers)
        event_queue.schedule(event_queue.now + IDLE_TICK_S, self._idle_tick)
        event_queue.schedule(event_queue.now, self._send_heartbeats)

    def decision_counts(self) -> collections.Counter[str]:
        """Returns the decisions and datagrams of all balancers by cause."""
        counts = collections.Counter({"datagrams": self._sent_datagrams})
        for balancer in self._balancer_by_address.values():
            counts += balancer.steering.counts.by_cause
        return counts

    def _evacuate(self, begun: set[str], ended: set[str]) -> None:
        """Tells all processes at once which zones are evacuated from now on."""
        self._evacuated_zones = self._evacuated_zones.union(begun) - ended
        for balancer in self._balancer_by_address.values():
            balancer.steering.set_evacuated_zones(self._evacuated_zones)
        for side in self._side_by_address.values():
            zone = side.server.spec.zone
            side.target_relay.set_evacuated(zone in self._evacuated_zones)

    def _send_heartbeats(self) -> None:
        now = self._event_queue.now
        for side in self._side_by_address.values():
            if side.server.condition.up:
                side.send_heartbeat(now)
        self._event_queue.schedule(
            now + relay_processes.HEARTBEAT_INTERVAL_S, self._send_heartbeats
        )

    def _kill_balancers(self) -> None:
        for balancer in self._balancer_by_address.values():
            balancer.kill()

    def _open_sockets(self) -> None:
        for balancer in self._balancer_by_address.values():
            balancer.open_sockets()

    def _restart_balancers(self) -> None:
        """Restarts balancers, with routes and targets from peers."""
        for balancer in self._balancer_by_address.values():
            balancer.start(first_start=False)
            self._configure(balancer)
            balancer.processor.running = True
            balancer.wake()

    def _configure(self, balancer: relay_processes.Balancer) -> None:
        now = self._event_queue.now
        share = routes.Share(relay_processes.SERVICE_NAME, 1)
        kind_routes = tuple(
            routes.Route(
                kind.name,
                self._address_by_kind[kind.name],
                (share,),
                int(kind.objective_s * 1000),
                int(kind.timeout_s * 1000),
                idempotent=kind.idempotent,
            )
            for kind in self._kinds
        )
        table = routes.RoutingTable(1, kind_routes, 60.0)
        balancer.steering.set_evacuated_zones(self._evacuated_zones)
        balancer.steering.former.record_change(routes.EMPTY, table, now)
        balancer.steering.set_routes(table)
        targets = tuple(
            candidates.Target(
                side.server.spec.name,
                side.address,
                side.server.spec.zone,
                accepting=True,
                starting=False,
            )
            for side in self._side_by_address.values()
        )
        balancer.steering.set_targets(relay_processes.SERVICE_NAME, targets)
        balancer.steering.set_complete_from(now)

    def set_condition(self, target: str, condition: loads.Condition) -> None:
        """Changes the condition of a target.

        Its flows end if it goes down; if it comes up again, it announces a new
        incarnation.

        Args:
            target: Name of the target.
            condition: Its condition from now on.
        """
        side = self._side_by_address[(target, 1)]
        was_up = side.server.condition.up
        side.server.condition = condition
        if not condition.up:
            side.sequence_by_key.clear()
        elif not was_up:
            side.announce_incarnation(self._event_queue.now)
        else:
            side.set_warmup(self._event_queue.now)

    # Callers.

    def open_flow(self, call: calls.Call) -> None:
        """Opens a flow for the present attempt of a call; sends its request.

        Schedules the copies of the opening packet, and the reset at the call's
        deadline.

        Args:
            call: The call.
        """
        number = call.number * _ATTEMPTS + call.attempts - 1
        address = self._address_by_kind[call.kind.name]
        key = packets.flow_key(number, address)
        flow = _Flow(call, call.attempts)
        self._flow_by_key[key] = flow
        self._send_opening(key, flow, 0)
        for copies, delay_s in enumerate(
            opening_retransmissions.RETRANSMISSION_TIMES_S, start=1
        ):
            self._event_queue.schedule(
                self._event_queue.now + delay_s,
                functools.partial(self._send_opening, key, flow, copies),
            )
        deadline = call.arrival.at_s + call.kind.timeout_s
        self._event_queue.schedule(
            deadline, lambda: self._reset_if_opened(key, flow)
        )

    def _send_opening(self, key: bytes, flow: _Flow, copies: int) -> None:
        if self._is_awaited(flow) and not flow.opened:
            opening = packets.build_packet(
                key, packets.OPENS, acknowledgement=copies
            )
            self._send_to_balancer(flow, opening)

    def _is_awaited(self, flow: _Flow) -> bool:
        """Returns whether a flow is the present attempt of an unfinished call."""
        call = flow.call
        return call.outcome is None and call.attempts == flow.attempt

    def _reset_if_opened(self, key: bytes, flow: _Flow) -> None:
        """Resets a flow at its call's deadline, if it is still open."""
        if flow.opened and key in self._flow_by_key:
            self._send_to_balancer(
                flow, packets.build_packet(key, packets.RESETS)
            )

    def _send_to_balancer(self, flow: _Flow, data: bytes) -> None:
        """Sends a caller's packet to the balancer of its zone."""
        address = (f"balancer-{flow.call.arrival.zone}", 1)
        balancer = self._balancer_by_address[address]
        self._event_queue.schedule(
            self._event_queue.now + latencies.CALLER_TO_ZONE_S,
            lambda: self._deliver_to_balancer(
                balancer, balancer.caller_socket, data
            ),
        )

    def _deliver_to_caller(self, data: bytes) -> None:
        """Handles a packet at its caller."""
        segment = packets.Format().from_target(data)
        assert segment is not None, "simulated packets are never truncated"
        flow = self._flow_by_key.get(segment.key)
        if flow is None:
            return
        if segment.resets:
            del self._flow_by_key[segment.key]
            flow.call.on_refusal(flow.attempt)
        elif segment.accepts:
            self._on_accepted(segment, flow)
        elif segment.length:
            del self._flow_by_key[segment.key]
            self._send_to_balancer(
                flow, packets.build_packet(segment.key, packets.CLOSES)
            )
            flow.call.on_answer(flow.attempt, flow.status, flow.target)

    def _on_accepted(self, segment: formats.Segment, flow: _Flow) -> None:
        if flow.opened or not self._is_awaited(flow):
            return
        flow.opened = True
        request = packets.build_packet(
            segment.key,
            sequence=1,
            acknowledgement=segment.sequence + 1,
            length=REQUEST_BYTES,
        )
        self._send_to_balancer(flow, request)

    # Processes.

    def _apply_balancer_outcomes(
        self,
        balancer: relay_processes.Balancer,
        outcome_batch: list[outcomes.Outcome],
    ) -> None:
        """Sends the datagrams of a balancer's decisions."""
        now = self._event_queue.now
        for outcome in outcome_batch:
            match outcome:
                case outcomes.ToPeer(address, data):
                    self._sent_datagrams += 1
                    side = self._side_by_address[address]
                    delay_s = latencies.one_way_s(
                        balancer.zone, side.server.spec.zone
                    )
                    self._event_queue.schedule(
                        now + delay_s,
                        functools.partial(
                            self._deliver_to_side, side, data, balancer.address
                        ),
                    )
                case outcomes.ToCaller(_, data):
                    self._event_queue.schedule(
                        now + latencies.CALLER_TO_ZONE_S,
                        functools.partial(self._deliver_to_caller, data),
                    )
        if balancer.steering.busy:
            self._event_queue.schedule(
                now + intake.ACTIVE_TICK_INTERVAL_S, balancer.wake
            )

    def _deliver_to_side(
        self, side: relay_processes.SideProcess, data: bytes, source: _Address
    ) -> None:
        now = self._event_queue.now
        self._apply_side_outcomes(
            side, side.target_relay.on_frame(data, source, now)
        )

    def _deliver_to_balancer(
        self,
        balancer: relay_processes.Balancer,
        socket_buffer: processors.SocketBuffer,
        data: bytes,
        source: _Address = packets.CALLER_ADDRESS,
    ) -> None:
        socket_buffer.enqueue(data, source)
        balancer.wake()

    def _idle_tick(self) -> None:
        now = self._event_queue.now
        for balancer in self._balancer_by_address.values():
            if balancer.processor.running:
                self._apply_balancer_outcomes(
                    balancer, balancer.steering.on_tick(now)
                )
        for side in self._side_by_address.values():
            self._apply_side_outcomes(side, side.target_relay.on_tick(now))
        self._event_queue.schedule(now + IDLE_TICK_S, self._idle_tick)

    def _apply_side_outcomes(
        self,
        side: relay_processes.SideProcess,
        outcome_batch: list[outcomes.Outcome],
    ) -> None:
        """Sends the packets of a side process's decisions."""
        now = self._event_queue.now
        zone = side.server.spec.zone
        for outcome in outcome_batch:
            match outcome:
                case outcomes.ToPeer(address, data):
                    balancer = self._balancer_by_address[address]
                    self._event_queue.schedule(
                        now + latencies.one_way_s(zone, balancer.zone),
                        functools.partial(
                            self._deliver_to_balancer,
                            balancer,
                            balancer.peer_socket,
                            data,
                            side.address,
                        ),
                    )
                case outcomes.ToCaller(_, data):
                    self._send_to_caller(zone, data)
                case outcomes.ToTarget(data):
                    self._deliver_to_target(side, data)

    def _send_to_caller(self, zone: str, data: bytes) -> None:
        """Sends a target's packet to its caller, not through a balancer."""
        segment = packets.Format().from_target(data)
        assert segment is not None, "simulated packets are never truncated"
        flow = self._flow_by_key.get(segment.key)
        if flow is None:
            return
        delay_s = latencies.one_way_s(zone, flow.call.arrival.zone)
        self._event_queue.schedule(
            self._event_queue.now + delay_s + latencies.CALLER_TO_ZONE_S,
            lambda: self._deliver_to_caller(data),
        )

    # Targets.

    def _deliver_to_target(
        self, side: relay_processes.SideProcess, data: bytes
    ) -> None:
        """Handles a packet at a target; one that is down ignores it."""
        segment = packets.Format().from_caller(data)
        assert segment is not None, "simulated packets are never truncated"
        if not side.server.condition.up:
            return
        key = segment.key
        if segment.opens:
            number = side.sequence_by_key.setdefault(
                key, int(self._draw() * (1 << 30))
            )
            self._send_from_target(
                side, packets.build_packet(key, packets.ACCEPTS, number)
            )
        elif key not in side.sequence_by_key:
            self._send_from_target(side, packets.mark_returned(data))
        elif segment.closes or segment.resets:
            del side.sequence_by_key[key]
        elif segment.length:
            self._execute_request(side, key)

    def _execute_request(
        self, side: relay_processes.SideProcess, key: bytes
    ) -> None:
        flow = self._flow_by_key.get(key)
        if flow is None:
            return
        work_s = flow.call.arrival.work_s
        answer = side.server.serve(work_s, self._draw(), self._event_queue.now)
        if answer is None:
            return
        flow.status = answer.status
        flow.target = side.server.spec.name
        self._event_queue.schedule(
            answer.at_s, lambda: self._send_answer(side, key)
        )

    def _send_answer(
        self, side: relay_processes.SideProcess, key: bytes
    ) -> None:
        """Sends the answer of an executed request, if its flow is still open."""
        number = side.sequence_by_key.get(key)
        if number is not None:
            answer = packets.build_packet(
                key, 0, number + 1, length=REQUEST_BYTES
            )
            self._send_from_target(side, answer)

    def _send_from_target(
        self, side: relay_processes.SideProcess, data: bytes
    ) -> None:
        now = self._event_queue.now
        self._apply_side_outcomes(
            side, side.target_relay.on_target_packet(data, now)
        )
