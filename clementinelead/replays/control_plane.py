"""What a simulation's processes are told, and when they restart."""

import functools

from clementinelead.relays import candidates
from clementinelead.relays import routes
from clementinelead.replays import event_queues
from clementinelead.replays import loads
from clementinelead.replays import relay_processes

__all__ = ["ControlPlane"]


class ControlPlane:
    """Sends configuration, evacuations and heartbeats to all processes.

    They arrive at once. It also kills and restarts the balancers of a load.
    """

    def __init__(
        self,
        load: loads.Load,
        balancers: list[relay_processes.Balancer],
        sides: list[relay_processes.SideProcess],
        event_queue: event_queues.EventQueue,
    ):
        """Configures the balancers; schedules evacuations and restarts.

        Args:
            load: The load.
            balancers: All balancers.
            sides: All side processes.
            event_queue: The simulation's event queue.
        """
        self._balancers = balancers
        self._sides = sides
        self._event_queue = event_queue
        self._table = relay_processes.routing_table(load)
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

    def start_heartbeats(self) -> None:
        """Schedules the heartbeats of all targets."""
        self._event_queue.schedule(self._event_queue.now, self._send_heartbeats)

    def _evacuate(self, begun: set[str], ended: set[str]) -> None:
        """Tells all processes at once which zones are evacuated from now on."""
        self._evacuated_zones = self._evacuated_zones.union(begun) - ended
        for balancer in self._balancers:
            balancer.steering.set_evacuated_zones(self._evacuated_zones)
        for side in self._sides:
            zone = side.server.spec.zone
            side.target_relay.set_evacuated(zone in self._evacuated_zones)

    def _send_heartbeats(self) -> None:
        now = self._event_queue.now
        for side in self._sides:
            if side.server.condition.up:
                side.send_heartbeat(now)
        self._event_queue.schedule(
            now + relay_processes.HEARTBEAT_INTERVAL_S, self._send_heartbeats
        )

    def _kill_balancers(self) -> None:
        for balancer in self._balancers:
            balancer.kill()

    def _open_sockets(self) -> None:
        for balancer in self._balancers:
            balancer.open_sockets()

    def _restart_balancers(self) -> None:
        """Restarts balancers, with routes and targets from peers."""
        for balancer in self._balancers:
            balancer.start(first_start=False)
            self._configure(balancer)
            balancer.processor.running = True
            balancer.wake()

    def _configure(self, balancer: relay_processes.Balancer) -> None:
        now = self._event_queue.now
        balancer.steering.set_evacuated_zones(self._evacuated_zones)
        balancer.steering.former.record_change(routes.EMPTY, self._table, now)
        balancer.steering.set_routes(self._table)
        targets = tuple(
            candidates.Target(
                side.server.spec.name,
                side.address,
                side.server.spec.zone,
                accepting=True,
                starting=False,
            )
            for side in self._sides
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
        for side in self._sides:
            if side.server.spec.name == target:
                side.set_condition(condition, self._event_queue.now)
