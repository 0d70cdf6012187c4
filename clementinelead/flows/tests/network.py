"""Side processes' decisions joined by an in-memory network, for tests."""

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
TIMEOUTS = flow_tables.Timeouts(opening_s=3600.0)  # callers that pause long
VIEW_LAG_S = 2.0  # gossip's bound, below views.SETTLE_S


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
    """An envelope or a control message under way."""

    receiver: str
    sender: str
    content: object


class Side:
    """A side process and the target beside it."""

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
        """Starts the process anew; the target lives on."""
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
    """Delivers messages one at a time, in an order of the test's choice."""

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
        """Adds a target that nobody knows yet."""
        side = Side(name, number, slots, self.now)
        key = headers.service_key(ADDRESS, PORT, self.protocol)
        side.decider.on_services({SERVICE: {key}})
        self.side_by_name[name] = side
        return side

    def build(self, names, previous):
        """Returns the table of a view."""
        members = tuple(self.side_by_name[name].member for name in names)
        return tables.build(SERVICE, 1, members, BUCKETS, self.depth, previous)

    def publish(self, names=None, receivers=None):
        """Makes a new view known to balancers and to some side processes."""
        self.known = names or list(self.side_by_name)
        self.table = self.build(self.known, self.table)
        self._inform(receivers or list(self.side_by_name))
        self.informed_by = self.now + VIEW_LAG_S

    def _inform(self, names):
        for name in names:
            side = self.side_by_name.get(name)
            if side is None:
                continue
            previous = side.decider.table(SERVICE)
            table = self.build(self.known, previous)
            if previous is None or previous.members != table.members:
                side.decider.on_table(SERVICE, table, self.now)

    def settle(self, seconds=10.0):
        """Lets time pass, with all messages delivered."""
        for _ in range(int(seconds)):
            self.tick(1.0)
            self.run()

    def tick(self, seconds):
        """Lets time pass at all processes that run."""
        self.now += seconds
        if self.now >= self.informed_by:
            self._inform(list(self.side_by_name))
            self.informed_by = float("inf")
        for side in self.side_by_name.values():
            if not side.paused:
                side.decider.on_tick(self.now)
                self._flush(side)

    def send(self, content, table=None):
        """Hands a caller's packet to a balancer with some view."""
        key = headers.flow_key(content)
        route = (table or self.table).route(key)
        data = envelopes.encode_placement(route.encoded, content)
        self._post(route.candidates[0].address, "balancer", data)

    def run(self):
        """Delivers everything that is under way, in order."""
        for _ in range(10_000):
            if not self.queue:
                return
            self.step(0)
        raise AssertionError("messages go round without end")

    def step(self, index):
        """Delivers one message."""
        message = self.queue.pop(index)
        side = self.side_by_name[message.receiver]
        if side.paused:
            return
        if isinstance(message.content, bytes):
            self._envelope(side, message.content)
        else:
            self._control(side, message)

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

    def _post(self, address, sender, content):
        for name, side in self.side_by_name.items():
            if side.address == address:
                self.queue.append(Message(name, sender, content))

    def _envelope(self, side, data):
        content = side.decider.held(data, self.now)
        if content is not None:
            self._deliver(side, content)
            return
        match side.decider.decide(data, self.now):
            case outcomes.Deliver(content, _):
                self._flush(side)
                self._deliver(side, content)
            case outcomes.Forward(address, envelope, _):
                self._post(address, side.name, envelope)
            case outcomes.Refuse():
                self.refused.append(envelopes.decode_packet(data))
            case outcomes.Reset(_, key):
                self.resets.append(key)
            case outcomes.Drop(cause):
                self.drops.append(cause)

    def _deliver(self, side, content):
        self.deliveries.append((side.name, content))
        key = headers.flow_key(content)
        if headers.may_start_flow(content, key):
            side.target_flows.add(key)
        if key[12] == headers.PROTOCOL_UDP:
            if content not in side.executed:
                side.executed.append(content)

    def _flush(self, side):
        for message in side.decider.registrar.due(self.now):
            if message.holder in self.side_by_name:
                self.queue.append(Message(message.holder, side.name, message))

    def _control(self, side, message):
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
            case registrations.Renewal(_, count, total):
                known = side.decider.locators.renew(
                    sender.name, count, total, self.now
                )
                if not known:
                    side.decider.locators.forget_owner(sender.name)
                    sender.decider.on_repeat(side.name)
            case int(number):
                side.decider.registrar.acknowledged(number)
