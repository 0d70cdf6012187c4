"""Randomised runs of the flow decisions that check their invariants."""

import collections
import os

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from clementinelead.flows.tests import network
from clementinelead.packets import headers

SOAK = bool(os.environ.get("CLEMENTINELEAD_SOAK"))
PORTS = strategies.integers(2000, 2011)
INDICES = strategies.integers(0, 1000)


class PlannedChanges(stateful.RuleBasedStateMachine):
    """Joins, drains, departures, restarts and differing views, in any order.

    Messages between processes may be delivered in any order. None of these
    events may break a flow, deliver it to two targets or refuse it after it
    has been delivered.
    """

    protocol = "tcp"

    def __init__(self):
        super().__init__()
        self.net = network.Network(4, depth=3, protocol=self.protocol)
        self.net.settle()
        self.number = 10
        self.owner_by_port = {}
        self.tables = [self.net.table]
        self.attempt_by_port = collections.Counter()

    def first(self, port):
        """Returns the first packet of a port's current attempt."""
        sequence = 100 + 1000 * self.attempt_by_port[port]
        return network.packet(port, headers.SYN, sequence)

    def key(self, port):
        return headers.flow_key(network.packet(port, protocol=6))

    @stateful.rule(port=PORTS, view=INDICES)
    def open(self, port, view):
        if port in self.owner_by_port:
            return
        table = self.tables[view % len(self.tables)]
        self.net.send(self.first(port), table)

    @stateful.rule(port=PORTS, order=strategies.permutations(range(6)))
    def open_through_two_views(self, port, order):
        """Sends copies of a first packet with the oldest and newest view."""
        if port in self.owner_by_port:
            return
        self.net.send(self.first(port), self.tables[0])
        self.net.send(self.first(port), self.tables[-1])
        for index in order:
            if self.net.queue:
                self.net.step(index % len(self.net.queue))

    @stateful.rule(index=INDICES)
    def step(self, index):
        if self.net.queue:
            self.net.step(index % len(self.net.queue))

    @stateful.rule()
    def run_all(self):
        self.net.run()

    @stateful.rule(port=PORTS, view=INDICES)
    def continue_flow(self, port, view):
        """Checks that an open flow's packet reaches its owner with any view.

        The packet may be dropped, but then one after the registrations are
        complete must reach it.
        """
        self.net.run()
        owner = self.owner_by_port.get(port)
        if owner is None:
            return
        before = len(self.net.deliveries)
        table = self.tables[view % len(self.tables)]
        self.net.send(network.packet(port, headers.ACK, 101, b"x"), table)
        self.net.run()
        names = [name for name, _ in self.net.deliveries[before:]]
        assert names in ([], [owner]), f"{port}: {names}, owner {owner}"
        if names:
            return
        self.net.settle(6)
        self.net.send(network.packet(port, headers.ACK, 101, b"x"))
        self.net.run()
        name, _ = self.net.deliveries[-1]
        assert name == owner, f"packet of port {port} missed its owner"

    @stateful.rule(port=PORTS)
    def close(self, port):
        if port in self.owner_by_port:
            self.net.run()
            self.net.send(network.packet(port, headers.RST, 101))
            self.net.run()
            del self.owner_by_port[port]
            self.net.settle(3)
            self.attempt_by_port[port] += 1

    @stateful.precondition(lambda self: len(self.net.side_by_name) < 9)
    @stateful.rule()
    def join(self):
        self.number += 1
        name = f"t{self.number}"
        self.net.add(name, self.number)
        self.net.publish(list(self.net.side_by_name), [name])
        self.tables = [*self.tables[-2:], self.net.table]

    @stateful.rule(index=INDICES)
    def drain(self, index):
        ready = self.ready()
        if len(ready) > 2:
            side = self.net.side_by_name[ready[index % len(ready)]]
            side.state = side.decider.acceptor.state = "draining"

    @stateful.rule()
    def leave(self):
        """Removes a draining target without flows."""
        self.net.settle(2)
        for name, side in list(self.net.side_by_name.items()):
            if side.state == "draining" and not side.decider.flows.by_key:
                staying = [
                    other for other in self.net.side_by_name if other != name
                ]
                self.net.publish(staying, staying)
                self.net.settle(2)
                del self.net.side_by_name[name]
                self.tables = [self.net.table]
                self.net.settle(6)
                return

    @stateful.rule(index=INDICES)
    def replace_process(self, index):
        """Restarts a side process while its target keeps running."""
        self.net.settle(1)
        names = list(self.net.side_by_name)
        name = names[index % len(names)]
        side = self.net.side_by_name[name]
        table = side.decider.table(network.SERVICE)
        side.start(self.net.now)
        side.decider.on_services(
            {
                network.SERVICE: {
                    headers.service_key(
                        network.ADDRESS, network.PORT, self.protocol
                    )
                }
            }
        )
        side.decider.on_table(network.SERVICE, table, self.net.now)
        for other in self.net.side_by_name.values():
            entries = other.decider.locators.entries_of_owner(name)
            side.decider.on_recovered_entries(entries, self.net.now)
        for other in self.net.side_by_name.values():
            other.decider.on_resend_request(name)
        self.net.settle(1)

    @stateful.rule(seconds=strategies.floats(0.1, 1.0))
    def wait(self, seconds):
        """Advances the time after all messages have been delivered.

        No packet is thus delayed longer than a caller waits for an answer.
        """
        self.net.run()
        self.net.tick(seconds)

    def ready(self):
        return [
            name
            for name, side in self.net.side_by_name.items()
            if side.state == "ready"
        ]

    @stateful.rule(receiver_mask=strategies.integers(0, 511))
    def publish(self, receiver_mask=0):
        """Sends the newest view to some processes now, to the others later."""
        names = list(self.net.side_by_name)
        receivers = [
            name for bit, name in enumerate(names) if receiver_mask >> bit & 1
        ]
        self.net.publish(names, receivers or names[:1])
        self.tables = [*self.tables[-2:], self.net.table]

    @stateful.invariant()
    def each_flow_keeps_one_owner(self):
        for port in range(2000, 2012):
            owners = self.net.owners(self.key(port))
            assert len(owners) <= 1, f"{port} has owners {owners}"
            if owners:
                previous = self.owner_by_port.setdefault(port, owners[0])
                assert previous == owners[0], f"flow of port {port} moved"
            else:
                assert port not in self.owner_by_port, (
                    f"flow of port {port} was lost"
                )

    @stateful.invariant()
    def no_flow_is_reset(self):
        assert not self.net.resets

    @stateful.invariant()
    def refused_flows_were_not_delivered(self):
        """Checks refusals; a refused caller continues with a new attempt."""
        delivered = {content for _, content in self.net.deliveries}
        refused = set(self.net.refused)
        assert not delivered & refused
        for port in range(2000, 2012):
            while self.first(port) in refused:
                self.attempt_by_port[port] += 1


class Settings:
    """Hypothesis settings of the randomised runs."""

    profile = hypothesis.settings(
        max_examples=3000 if SOAK else 80,
        stateful_step_count=60 if SOAK else 40,
        derandomize=not SOAK,
        deadline=None,
        phases=(hypothesis.Phase.explicit, hypothesis.Phase.generate),
        suppress_health_check=list(hypothesis.HealthCheck),
    )


TestPlannedChanges = PlannedChanges.TestCase
TestPlannedChanges.settings = Settings.profile
