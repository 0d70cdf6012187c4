"""A transport that simulates the product's decisions packet by packet."""

import collections
import functools
import typing

from clementinelead.relays import formats
from clementinelead.relays import intake
from clementinelead.relays import outcomes
from clementinelead.replays import caller_flows
from clementinelead.replays import calls
from clementinelead.replays import control_plane
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

FAST_SIDE_TICK_S = 0.01
"""Interval of the side processes' short timer, as in service, seconds."""

_Address = tuple[str, int]


class RelayedTransport:
    """Forwards flows through balancers and side processes.

    Each caller's packets go to the balancer of its availability zone; no
    datagram is lost in the network.

    Attributes:
        placements: Flows accepted by a target.
        placements_elsewhere: Those accepted outside the zone of their caller.
        set_condition: Changes the condition of a target.
    """

    def __init__(
        self,
        load: loads.Load,
        all_servers: list[servers.Server],
        event_queue: event_queues.EventQueue,
        draw: typing.Callable[[], float],
        options: relay_processes.Options,
    ):
        self.placements = 0
        self.placements_elsewhere = 0
        self._sent_datagrams = 0  # from balancers to side processes
        self._event_queue = event_queue
        self._draw = draw
        self._acknowledges_data = (
            load.callers.first_retransmission_s is not None
        )
        self._fast_side_ticks = load.fast_side_ticks
        self._fast_ticking: set[_Address] = set()
        self._callers = caller_flows.CallerFlows(
            load,
            event_queue,
            relay_processes.address_by_kind(load),
            self._send_to_balancer,
        )
        self._side_by_address = {
            side.address: side
            for side in (
                relay_processes.SideProcess(server, load, event_queue.now)
                for server in all_servers
            )
        }
        zones = sorted({arrival.zone for arrival in load.arrivals})
        share = load.balancers.share
        balancers = [
            relay_processes.Balancer(
                zone,
                event_queue,
                share,
                self._apply_balancer_outcomes,
                options,
            )
            for zone in zones
        ]
        self._balancer_by_address = {
            balancer.address: balancer for balancer in balancers
        }
        self._control = control_plane.ControlPlane(
            load, balancers, list(self._side_by_address.values()), event_queue
        )
        self.set_condition = self._control.set_condition
        event_queue.schedule(event_queue.now + IDLE_TICK_S, self._idle_tick)
        self._control.start_heartbeats()

    def decision_counts(self) -> collections.Counter[str]:
        """Returns the decisions and datagrams of all balancers by cause."""
        counts = collections.Counter({"datagrams": self._sent_datagrams})
        for balancer in self._balancer_by_address.values():
            counts += balancer.steering.counts.by_cause
        return counts

    # Callers.

    def open_flow(self, call: calls.Call) -> None:
        """Sends the request of a call's present attempt.

        Args:
            call: The call.
        """
        self._callers.start(call)

    def _send_to_balancer(self, zone: str, data: bytes) -> None:
        """Sends a caller's packet to the balancer of its zone."""
        balancer = self._balancer_by_address[(f"balancer-{zone}", 1)]
        self._event_queue.schedule(
            self._event_queue.now + latencies.CALLER_TO_ZONE_S,
            lambda: self._deliver_to_balancer(
                balancer, balancer.caller_socket, data
            ),
        )

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
                        functools.partial(self._callers.on_packet, data),
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
        self._schedule_fast_tick(side)

    def _schedule_fast_tick(self, side: relay_processes.SideProcess) -> None:
        if (
            self._fast_side_ticks
            and side.target_relay.needs_fast_ticks
            and side.address not in self._fast_ticking
        ):
            self._fast_ticking.add(side.address)
            self._event_queue.schedule(
                self._event_queue.now + FAST_SIDE_TICK_S,
                functools.partial(self._fast_tick, side),
            )

    def _fast_tick(self, side: relay_processes.SideProcess) -> None:
        self._fast_ticking.discard(side.address)
        now = self._event_queue.now
        self._apply_side_outcomes(side, side.target_relay.on_tick(now))

    def _send_to_caller(self, zone: str, data: bytes) -> None:
        """Sends a target's packet to its caller, not through a balancer."""
        segment = packets.Format().from_target(data)
        assert segment is not None, "simulated packets are never truncated"
        caller_zone = self._callers.zone_by_key.get(segment.key)
        if caller_zone is None:
            return
        delay_s = latencies.one_way_s(zone, caller_zone)
        self._event_queue.schedule(
            self._event_queue.now + delay_s + latencies.CALLER_TO_ZONE_S,
            lambda: self._callers.on_packet(data),
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
        flow = side.flow_by_key.get(key)
        if segment.opens:
            self._accept(side, key, flow)
        elif flow is None:
            self._send_from_target(side, packets.mark_returned(data))
        elif segment.closes or segment.resets:
            del side.flow_by_key[key]
        elif segment.length:
            self._receive_data(side, flow, segment)

    def _accept(
        self,
        side: relay_processes.SideProcess,
        key: bytes,
        flow: relay_processes.TargetFlow | None,
    ) -> None:
        """Answers an opening packet; counts the placement of a new flow."""
        if flow is None:
            flow = relay_processes.TargetFlow(int(self._draw() * (1 << 30)))
            side.flow_by_key[key] = flow
            caller_zone = self._callers.zone_by_key.get(key)
            self.placements += 1
            self.placements_elsewhere += caller_zone != side.server.spec.zone
        acceptance = packets.build_packet(
            key, packets.ACCEPTS, flow.first_sequence
        )
        self._send_from_target(side, acceptance)

    def _receive_data(
        self,
        side: relay_processes.SideProcess,
        flow: relay_processes.TargetFlow,
        segment: formats.Segment,
    ) -> None:
        """Executes a request; acknowledges data if callers repeat it."""
        end = segment.sequence + segment.length
        is_new = end > flow.received_end
        flow.received_end = max(flow.received_end, end)
        if self._acknowledges_data:
            acknowledgement = packets.build_packet(
                segment.key,
                sequence=flow.first_sequence + 1 + flow.sent_bytes,
                acknowledgement=flow.received_end,
            )
            self._send_from_target(side, acknowledgement)
        if is_new:
            self._execute_request(side, segment.key)

    def _execute_request(
        self, side: relay_processes.SideProcess, key: bytes
    ) -> None:
        flow = self._callers.by_key.get(key)
        if flow is None or flow.call is None:
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
        flow = side.flow_by_key.get(key)
        if flow is None:
            return
        answer = packets.build_packet(
            key,
            0,
            flow.first_sequence + 1 + flow.sent_bytes,
            flow.received_end,
            length=caller_flows.REQUEST_BYTES,
        )
        flow.sent_bytes += caller_flows.REQUEST_BYTES
        self._send_from_target(side, answer)

    def _send_from_target(
        self, side: relay_processes.SideProcess, data: bytes
    ) -> None:
        now = self._event_queue.now
        self._apply_side_outcomes(
            side, side.target_relay.on_target_packet(data, now)
        )
