"""In-memory network of side processes, for tests of the flow decisions."""

import dataclasses
import random

import dpkt

from clementinelead.flows import decisions
from clementinelead.flows import loads
from clementinelead.flows import outcomes
from clementinelead.flows import registrations
from clementinelead.flows import tables as flow_tables
from clementinelead.messages import envelopes
from clementinelead.packets import headers
from clementinelead.placements import tables

SERVICE = "lookups"
ADDRESS = "10.9.0.1"
PORT = 43
BUCKETS = 64

TIMEOUTS = flow_tables.Timeouts(opening_s=3600.0)
"""Timeouts that let callers pause for long after their SYN."""

MAX_VIEW_DELAY_S = 2.0
"""Time in which all side processes get a new view, seconds.

It is the bound for gossip and below ``views.FIRST_CANDIDATE_SETTLE_S``.
"""


def packet(port, flags=headers.SYN, sequence=100, payload=b"", protocol=6):
    """Returns a caller's packet."""
    if protocol == headers.PROTOCOL_TCP:
        inner = dpkt.tcp.TCP(
            sport=port, dport=PORT, flags=flags, seq=sequence, data=payload
        )
        size = 40 + len(payload)
    else:
        inner = dpkt.udp.UDP(sport=port, dport=PORT, data=payload)
        inner.ulen = 8 + len(payload)
        size = 28 + len(payload)
    outer = dpkt.ip.IP(
        src=b"\x0a\x00\x00\x01", dst=b"\x0a\x09\x00\x01", p=protocol, data=inner
    )
    outer.len = size
    return bytes(outer)


@dataclasses.dataclass
class Message:
    """An envelope or a control message in transit."""

    receiver: str
    sender: str
    content: object


class Side:
    """A side process and its target."""

    def __init__(self, name, number, slots, now):
        self.name = name
        self.address = ("127.0.0.1", 7000 + number)
        self.target_flows = set()
        self.executed = []
        self.slots = slots
        self.paused = False
        self.state = "ready"
        self.start(now)

    def start(self, now):
        """Starts or restarts the process; the target's state is kept."""
        load = loads.LoadEstimate(
            loads.Limits(slots=self.slots, cold_start_s=0.0), now
        )
        self.decider = decisions.Decider(
            self.name, self.address, load, TIMEOUTS
        )
        self.decider.on_services(
            {SERVICE: {headers.service_key(ADDRESS, PORT, "tcp")}}
        )
        self.decider.acceptor.state = self.state
        self.decider.acceptor.recovering = False

    @property
    def member(self):
        return tables.Member(self.name, self.address, 1.0)


class Network:
    """Delivers messages one at a time, in an order that the test chooses."""

    def __init__(self, count, slots=2, depth=3, seed=1, protocol="tcp"):
        self.now = 1000.0
        self.random = random.Random(seed)
        self.depth = depth
        self.queue = []
        self.refused = []
        self.resets = []
        self.drops = []
        self.deliveries = []
        self.protocol = protocol
        self.side_by_name = {}
        for number in range(count):
            self.add(f"t{number}", number, slots)
        self.table = None
        self.publish()

    def add(self, name, number, slots=2):
        """Adds a target that is not in any published view yet."""
        side = Side(name, number, slots, self.now)
        key = headers.service_key(ADDRESS, PORT, self.protocol)
        side.decider.on_services({SERVICE: {key}})
        self.side_by_name[name] = side
        return side

    def build(self, names, previous):
        """Returns the table of a view with the given targets."""
        members = tuple(self.side_by_name[name].member for name in names)
        return tables.build(SERVICE, 1, members, BUCKETS, self.depth, previous)

    def publish(self, names=None, receivers=None):
        """Sends a new view to balancers and to some side processes.

        The other side processes get it after ``MAX_VIEW_DELAY_S``.
        """
        self.published_names = names or list(self.side_by_name)
        self.table = self.build(self.published_names, self.table)
        self._send_view(receivers or list(self.side_by_name))
        self.view_deadline = self.now + MAX_VIEW_DELAY_S

    def _send_view(self, names):
        for name in names:
            side = self.side_by_name.get(name)
            if side is None:
                continue
            previous = side.decider.table(SERVICE)
            table = self.build(self.published_names, previous)
            if previous is None or previous.members != table.members:
                side.decider.on_table(SERVICE, table, self.now)

    def settle(self, seconds=10.0):
        """Advances the time in steps of 1 s and delivers all messages."""
        for _ in range(int(seconds)):
            self.tick(1.0)
            self.run()

    def tick(self, seconds):
        """Advances the time and runs the timers of processes not paused."""
        self.now += seconds
        if self.now >= self.view_deadline:
            self._send_view(list(self.side_by_name))
            self.view_deadline = float("inf")
        for side in self.side_by_name.values():
            if not side.paused:
                side.decider.on_tick(self.now)
                self._send_due_messages(side)

    def send(self, content, table=None):
        """Sends a caller's packet through a balancer with a given view."""
        key = headers.flow_key(content)
        route = (table or self.table).route(key)
        data = envelopes.encode_placement(route.encoded, content)
        self._enqueue(route.candidates[0].address, "balancer", data)

    def run(self):
        """Delivers all messages in transit, in order."""
        for _ in range(10_000):
            if not self.queue:
                return
            self.step(0)
        raise AssertionError("messages are forwarded without end")

    def step(self, index):
        """Delivers the message at an index of the queue."""
        message = self.queue.pop(index)
        side = self.side_by_name[message.receiver]
        if side.paused:
            return
        if isinstance(message.content, bytes):
            self._on_envelope(side, message.content)
        else:
            self._on_control(side, message)

    def lose(self, index):
        """Loses one message."""
        self.queue.pop(index)

    def owners(self, key):
        """Returns the names of the side processes that hold a flow."""
        return [
            name
            for name, side in self.side_by_name.items()
            if key in side.decider.flows.by_key
        ]

    def _enqueue(self, address, sender, content):
        for name, side in self.side_by_name.items():
            if side.address == address:
                self.queue.append(Message(name, sender, content))

    def _on_envelope(self, side, data):
        content = side.decider.fast_path_packet(data, self.now)
        if content is not None:
            self._deliver(side, content)
            return
        match side.decider.decide(data, self.now):
            case outcomes.Deliver(content, _):
                self._send_due_messages(side)
                self._deliver(side, content)
            case outcomes.Forward(address, envelope, _):
                self._enqueue(address, side.name, envelope)
            case outcomes.Refuse():
                self.refused.append(envelopes.decode_packet(data))
            case outcomes.Reset(_, key):
                self.resets.append(key)
            case outcomes.Drop(cause):
                self.drops.append(cause)

    def _deliver(self, side, content):
        self.deliveries.append((side.name, content))
        key = headers.flow_key(content)
        if headers.starts_flow(content, key):
            side.target_flows.add(key)
        if key[12] == headers.PROTOCOL_UDP:
            if content not in side.executed:
                side.executed.append(content)

    def _send_due_messages(self, side):
        for message in side.decider.registrar.due_messages(self.now):
            if message.holder in self.side_by_name:
                self.queue.append(Message(message.holder, side.name, message))

    def _on_control(self, side, message):
        sender = self.side_by_name[message.sender]
        match message.content:
            case registrations.Batch(_, number, service, entries):
                side.decider.on_register(
                    sender.name, sender.address, service, entries, self.now
                )
                reply = Message(sender.name, side.name, number)
                self.queue.append(reply)
            case registrations.Release(_, keys):
                side.decider.on_release(sender.name, keys)
            case registrations.Renewal(_, count, checksum):
                renewed = side.decider.locators.renew(
                    sender.name, count, checksum, self.now
                )
                if not renewed:
                    side.decider.locators.remove_owner(sender.name)
                    sender.decider.on_resend_request(side.name)
            case int(number):
                side.decider.registrar.on_acknowledged(number)
