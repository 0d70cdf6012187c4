"""In-memory network whose processes stop and restart while callers go on.

Balancers learn of side processes as from the membership protocol: each change
reaches each balancer after a delay of its own, a restarted balancer gets the
list of members when it joins, and the list is lost if no process is alive.
"""

import dataclasses
import heapq
import itertools
import random

from clementinelead.relays import candidates
from clementinelead.relays import completeness
from clementinelead.relays import former_services
from clementinelead.relays import routes
from clementinelead.relays import steering
from clementinelead.relays.tests import network
from clementinelead.relays.tests import test_probing
from clementinelead.replays import packets

COPIES_AT_S = (0.0, 0.2, 0.6, 1.4)
"""Times at which a caller sends a packet and its copies, seconds."""

COUNT_INTERVAL_S = 0.05
"""Interval at which balancers compare the number of side processes, seconds."""


@dataclasses.dataclass
class Member:
    """Membership record of a side process.

    Attributes:
        state: ``cold`` before the first heartbeat, ``ready`` or ``draining``.
        is_successor: Whether it has replaced a process of the same list.
        never_ready: Whether it has begun to drain while it was cold.
    """

    state: str = "cold"
    is_successor: bool = False
    never_ready: bool = False


class View:
    """What a balancer knows of the members."""

    def __init__(self, balancer, joined):
        self.balancer = balancer
        self.joined = joined
        self.completeness = completeness.Completeness()
        self.targets = {}

    def apply(self, now):
        self.balancer.set_targets(network.SERVICE, tuple(self.targets.values()))
        self.set_completeness()

    def set_completeness(self):
        view = self.completeness
        self.balancer.set_complete_from(view.complete_from, view.some_missing)
        self.balancer.set_denials_conclusive_from(view.denials_conclusive_from)


class Restarts:
    """Processes that are restarted, and callers with open flows.

    Attributes:
        net: The processes that are alive, and all targets.
        arrivals: Packets of flows at targets.
        owner_by_key: Side process beside the target of each flow.
    """

    def __init__(self, targets, balancers, flows_per_target, seed, delay_s):
        self.rng = random.Random(seed)
        self.net = network.Network(
            balancers=balancers,
            targets=targets,
            zones=test_probing.ZONES,
            delay_s=delay_s,
        )
        self.arrivals = test_probing.Arrivals(self.net)
        self.sides = list(self.net.side_by_address)
        self.balancers = list(self.net.balancer_by_address)
        self._events = []
        self._event_count = itertools.count()
        self._members = {side: Member("ready") for side in self.sides}
        self._draining = set()
        self._views = {}
        for address, balancer in self.net.balancer_by_address.items():
            view = self._views[address] = View(balancer, joined=True)
            view.completeness.complete_from = self.net.now
            view.targets = {
                side: self._target(side, member)
                for side, member in self._members.items()
            }
            view.apply(self.net.now)
        self.owner_by_key = {}
        for number in range(targets * flows_per_target):
            owner = self.sides[number % targets]
            key = test_probing.put_flow(self.net, number, owner)
            sequence = self.net.target_by_address[owner].seed
            self.net.side_by_address[owner].on_target_packet(
                network.packet(key, packets.ACCEPTS, sequence), self.net.now
            )
            self.owner_by_key[key] = owner
            self.after(self.rng.uniform(0.0, 1.0), self.send_request, key)
        self.after(COUNT_INTERVAL_S, self._compare_counts)

    # Time.

    def after(self, delay_s, action, *arguments):
        """Schedules an action."""
        at = self.net.now + delay_s
        event = (at, next(self._event_count), action, arguments)
        heapq.heappush(self._events, event)

    def run(self, seconds):
        """Advances the time and carries out what is due."""
        end = self.net.now + seconds
        while self.net.now < end:
            while self._events and self._events[0][0] <= self.net.now:
                _, _, action, arguments = heapq.heappop(self._events)
                action(*arguments)
            self.net.run(network.STEP_S)

    # Callers.

    def send_request(self, key):
        """Sends a packet and its copies until one reaches the target."""
        for at_s in COPIES_AT_S:
            self.after(at_s, self._send_copy, key, self.net.now)
        think_s = self.rng.uniform(0.3, 1.5)
        self.after(COPIES_AT_S[-1] + think_s, self.send_request, key)

    def _send_copy(self, key, since):
        owner = self.owner_by_key[key]
        if any(
            address == owner and at >= since
            for at, address in reversed(self.arrivals.of(key)[-20:])
        ):
            return
        # The fabric may send packets of a flow through several balancers, and
        # goes on for a while to send them to one that is gone.
        joined = [
            number
            for number, address in enumerate(self.balancers)
            if address in self._views and self._views[address].joined
        ]
        home = key[3] % len(self.balancers)
        if home not in joined:
            if not joined or self.rng.random() < 0.3:
                return
            home = self.rng.choice(joined)
        target = self.net.target_by_address[owner]
        packet = network.packet(key, length=10, acknowledgement=target.seed + 1)
        self.net.send(packet, home)

    # Membership.

    def _target(self, side, member):
        return candidates.Target(
            id=side[0],
            address=side,
            zone=self.net.zone_by_address[side],
            accepting=member.state == "ready",
            starting=member.state == "cold",
            is_successor=member.is_successor,
            never_ready=member.never_ready,
        )

    def _announce(self, side, member):
        self._members[side] = member
        for address in self._views:
            self.after(
                self.rng.uniform(0.005, 0.3), self._learn, address, side, member
            )

    def _learn(self, address, side, member):
        view = self._views.get(address)
        if view is None or not view.joined:
            return
        if self._members.get(side) is not member:
            return  # a later record has overtaken this one
        if side not in view.targets:
            view.completeness.on_appeared(self.net.now)
        view.targets[side] = self._target(side, member)
        view.apply(self.net.now)

    def _compare_counts(self):
        self.after(COUNT_INTERVAL_S, self._compare_counts)
        for view in self._views.values():
            if not view.joined:
                continue
            serving = sum(not t.starting for t in view.targets.values())
            view.completeness.update_from_count(
                serving, 0, len(self.sides), self.net.now
            )
            view.set_completeness()

    def _forget_members_if_none_is_alive(self):
        if not self.net.side_by_address and not self.net.balancer_by_address:
            self._members.clear()

    # Restarts.

    @property
    def processes(self):
        """Addresses of all processes, alive or not."""
        return [*self.sides, *self.balancers]

    def is_alive(self, address):
        """Returns whether a process is running."""
        balancers = self.net.balancer_by_address
        return address in self.net.side_by_address or address in balancers

    def kill(self, address):
        """Ends a process at once."""
        self.net.side_by_address.pop(address, None)
        self.net.balancer_by_address.pop(address, None)
        self._views.pop(address, None)
        self._draining.discard(address)
        self._forget_members_if_none_is_alive()

    def stop(self, address):
        """Stops a process as planned; returns the time until it ends."""
        side = self.net.side_by_address.get(address)
        drain_s = self.rng.uniform(0.02, 0.2)
        if side is not None:
            side.stopping = True
            old = self._members[address]
            never_ready = old.state == "cold"
            record = Member("draining", old.is_successor, never_ready)
            self._announce(address, record)
        else:
            self._views[address].joined = False  # out of the rotation
        self.after(drain_s, self.kill, address)
        return drain_s

    def start(self, address):
        """Starts a process that has ended."""
        if address in self.sides:
            self._start_side(address)
        else:
            self._start_balancer(address)

    def _start_side(self, address):
        side = self.net.new_side(machine_booted=False)
        self.net.side_by_address[address] = side
        member = Member(is_successor=address in self._members)
        self.after(
            self.rng.uniform(0.02, 0.2), self._join_side, address, side, member
        )
        self.after(self.rng.uniform(0.2, 1.2), self._heartbeat, address, side)

    def _join_side(self, address, side, member):
        if self.net.side_by_address.get(address) is side:
            self._announce(address, member)

    def _heartbeat(self, address, side):
        if self.net.side_by_address.get(address) is not side:
            return
        self.net.send_heartbeat(self.sides.index(address), sequence=50)
        if not side.stopping:
            old = self._members.get(address)
            successor = old.is_successor if old is not None else False
            self._announce(address, Member("ready", successor))

    def _start_balancer(self, address):
        balancer = steering.Steering(
            network.Format(),
            self.net.decisions.append,
            "z",
            former_services.FormerServices(first_start=False),
        )
        self.net.balancer_by_address[address] = balancer
        view = self._views[address] = View(balancer, joined=False)
        self.after(self.rng.uniform(0.05, 0.3), self._join, address, view)

    def _join(self, address, view):
        if self._views.get(address) is not view:
            return
        share = routes.Share(network.SERVICE, 1)
        route = routes.Route("r", network.ROUTE_ADDRESS, (share,))
        table = routes.RoutingTable(1, (route,), 60.0)
        self.net.set_routes(view.balancer, table)
        view.joined = True
        view.completeness.on_joined(self.net.now)
        view.targets = {
            side: self._target(side, member)
            for side, member in self._members.items()
        }
        view.apply(self.net.now)

    # Checks.

    def resets(self):
        """Returns the keys of the flows that were reset."""
        segments = map(network.Format().from_target, self.net.to_caller)
        return [segment.key for segment in segments if segment.resets]

    def not_found(self, since, seconds):
        """Returns the flows without a packet at their target in a time."""
        return [
            key
            for key, owner in self.owner_by_key.items()
            if not any(
                address == owner and since <= at < since + seconds
                for at, address in self.arrivals.of(key)
            )
        ]

    def astray(self, since=0.0):
        """Returns flows with three packets at others, none at their target.

        Args:
            since: Start of the time that is checked, seconds.
        """
        return [
            key
            for key, owner in self.owner_by_key.items()
            if self._is_astray(self.arrivals.of(key), owner, since)
        ]

    def _is_astray(self, arrivals, owner, since):
        for first_at, first in arrivals:
            if first == owner or first_at < since:
                continue
            until = first_at + test_probing.REORDER_S
            if until > self.net.now:
                return False
            reached = [a for at, a in arrivals if first_at <= at < until]
            if owner not in reached and len(reached) >= 3:
                return True
        return False
