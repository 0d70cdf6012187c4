"""Replays streams and orders that compete for one target.

Streams are requests on flows that are open before; each order opens a flow.
The target has one slot and a queue of eight, beyond which it rejects requests.
"""

import collections
import dataclasses
import functools
import random

from clementinelead.relays import announcements
from clementinelead.relays import frames
from clementinelead.relays import outcomes
from clementinelead.relays import routes
from clementinelead.relays import target_relay
from clementinelead.replays import event_queues
from clementinelead.replays import loads
from clementinelead.replays import packets
from clementinelead.replays import servers

SERVICE = "requests"
BALANCER = ("balancer", 1)
QUEUE = 8
LOAD_S = 3.0
END_S = 6.0
TICK_S = 0.01
ROUND_TRIP_S = 0.002
RETRANSMISSION_S = 0.2
STREAM_FLOWS = 300
STREAM, ORDER = b"S1", b"S2"
WORK_S = {STREAM: 0.022, ORDER: 0.029}
OBJECTIVE_S = {STREAM: 0.253, ORDER: 0.302}
TIMEOUT_S = {STREAM: 1.9, ORDER: 2.4}
PRIORITY = {STREAM: 2, ORDER: 1}


def table(priority_by_address: dict[bytes, int]) -> routes.RoutingTable:
    """Returns the routes of both kinds."""
    share = (routes.Share(SERVICE, 1),)
    return routes.RoutingTable(
        1,
        tuple(
            routes.Route(
                address.decode(),
                address,
                share,
                round(OBJECTIVE_S[address] * 1000),
                round(TIMEOUT_S[address] * 1000),
                priority,
            )
            for address, priority in priority_by_address.items()
        ),
        60.0,
    )


@dataclasses.dataclass(eq=False)
class Request:
    """A request of a caller.

    Attributes:
        key: Flow key.
        sequence: Sequence number of its data.
        sent_at: When the caller sent it, seconds.
        delivered_at: When its target got it, None before.
        answered_at: When its answer came, None before.
        rejected: Whether the answer is a rejection.
    """

    key: bytes
    sequence: int
    sent_at: float
    delivered_at: float | None = None
    answered_at: float | None = None
    rejected: bool = False

    @property
    def kind(self) -> bytes:
        """Service address of its route."""
        return self.key[4:]

    @property
    def held_s(self) -> float:
        """Time from the caller to the target, seconds."""
        assert self.delivered_at is not None, "the request got lost"
        return self.delivered_at - self.sent_at

    @property
    def is_served(self) -> bool:
        """Whether the target has executed it."""
        return self.answered_at is not None and not self.rejected

    @property
    def in_time(self) -> bool:
        """Whether it was served within the objective."""
        if self.answered_at is None or self.rejected:
            return False
        return self.answered_at - self.sent_at <= OBJECTIVE_S[self.kind]


class Replay:
    """A side process with its target, and their callers.

    Attributes:
        requests: All requests in the order of their start.
        sends: What the side process has sent, with the time.
        side: Decisions of the side process.
    """

    def __init__(
        self, routing_table: routes.RoutingTable, slowness: float = 1.0
    ):
        self.requests: list[Request] = []
        self.sends: list[tuple[float, outcomes.Outcome]] = []
        self.decisions: list[outcomes.Decision] = []
        self._events = event_queues.EventQueue()
        self._server = servers.Server(
            loads.TargetSpec("t", "z", 1, QUEUE, slowness)
        )
        self.side = target_relay.TargetRelay(
            packets.Format(), SERVICE, self.decisions.append, 0.0, 0
        )
        self.side.set_routes(routing_table)
        self.side.startup.no_predecessor = True
        self.side.on_heartbeat(
            announcements.Heartbeat("t", 1, 1, SERVICE, 1, False, 0.0), 0.0
        )
        self._request_by_key: dict[bytes, Request] = {}
        self._next_sequence: collections.Counter[bytes] = collections.Counter()
        self._idle_streams: collections.deque[bytes] = collections.deque()
        for number in range(STREAM_FLOWS):
            key = packets.flow_key(number, STREAM)
            self._open_flow(key)
            self._idle_streams.append(key)
        self._tick()

    def run(self, orders_per_s: float, streams_per_s: float, seed: int) -> None:
        """Replays a load from 0.2 s on for ``LOAD_S``, and what remains."""
        draw = random.Random(seed)
        for rate, start in (
            (orders_per_s, self._start_order),
            (streams_per_s, self._start_stream),
        ):
            at_s = 0.2 + draw.expovariate(rate)
            while at_s < 0.2 + LOAD_S:
                self._events.schedule(at_s, start)
                at_s += draw.expovariate(rate)
        self._events.run(END_S)

    def of_kind(self, kind: bytes) -> list[Request]:
        """Returns the requests of a kind."""
        return [request for request in self.requests if request.kind == kind]

    def _open_flow(self, key: bytes) -> None:
        self._send_frame(frames.Kind.PLACE, key, packets.OPENS, 0, 0)
        self._from_target(packets.build_packet(key, packets.ACCEPTS, 500))
        self._next_sequence[key] = 1

    def _start_order(self) -> None:
        key = packets.flow_key(len(self.requests), ORDER)
        self._open_flow(key)
        self._start(key)

    def _start_stream(self) -> None:
        self._start(self._idle_streams.popleft())

    def _start(self, key: bytes) -> None:
        sequence = self._next_sequence[key]
        self._next_sequence[key] += 10
        request = Request(key, sequence, self._events.now)
        self._request_by_key[key] = request
        self.requests.append(request)
        self._transmit(request, RETRANSMISSION_S)

    def _transmit(self, request: Request, pause_s: float) -> None:
        now = self._events.now
        given_up = now >= request.sent_at + TIMEOUT_S[request.kind]
        if request.delivered_at is not None or given_up:
            return
        self._send_frame(
            frames.Kind.PACKET, request.key, 0, request.sequence, 10
        )
        repeat = functools.partial(self._transmit, request, 2 * pause_s)
        self._events.schedule(now + pause_s, repeat)

    def _send_frame(
        self,
        kind: frames.Kind,
        key: bytes,
        flags: int,
        sequence: int,
        length: int,
    ) -> None:
        acknowledgement = 0 if flags & packets.OPENS else 501
        data = packets.build_packet(
            key, flags, sequence, acknowledgement, length
        )
        frame = frames.encode(kind, frames.service_number(SERVICE), key, data)
        now = self._events.now
        self._carry_out(self.side.on_frame(frame, BALANCER, now))

    def _from_target(self, data: bytes) -> None:
        sends = self.side.on_target_packet(data, self._events.now)
        self._carry_out(sends)

    def _tick(self) -> None:
        self._carry_out(self.side.on_tick(self._events.now))
        self._events.schedule(self._events.now + TICK_S, self._tick)

    def _carry_out(self, sends: list[outcomes.Outcome]) -> None:
        for outcome in sends:
            self.sends.append((self._events.now, outcome))
            if isinstance(outcome, outcomes.ToTarget):
                segment = packets.Format().from_caller(outcome.data)
                if segment is not None and segment.length:
                    self._deliver(self._request_by_key[segment.key])

    def _deliver(self, request: Request) -> None:
        if request.delivered_at is not None:
            return
        now = self._events.now
        request.delivered_at = now
        answer = self._server.serve(WORK_S[request.kind], 0.5, now)
        assert answer is not None
        request.rejected = answer.status is servers.Status.SHED
        self._events.schedule(
            answer.at_s, functools.partial(self._answer, request)
        )

    def _answer(self, request: Request) -> None:
        request.answered_at = self._events.now
        if request.kind == STREAM:
            self._idle_streams.append(request.key)
        self._from_target(
            packets.build_packet(
                request.key, 0, 501, self._next_sequence[request.key], 20
            )
        )
