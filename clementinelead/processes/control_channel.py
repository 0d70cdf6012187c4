"""UDP socket of control messages: sealing, counting, the byte budget."""

import asyncio
import collections.abc
import socket
import time
import typing

import loguru

from clementinelead import exceptions
from clementinelead.memberships import authentication
from clementinelead.memberships import budgets
from clementinelead.memberships import gossip
from clementinelead.memberships import outgoing
from clementinelead.messages import controls
from clementinelead.telemetry import counters

__all__ = ["ControlChannel"]

Receiver = collections.abc.Callable[[controls.Control, tuple[str, int]], None]

_FIRST_COUNTER = 1
_FLOW_BODIES = (
    controls.Register,
    controls.RegisterAck,
    controls.Release,
    controls.Renew,
    controls.ResendRequest,
)


class ControlChannel(asyncio.DatagramProtocol):
    """Sends and receives authenticated control messages.

    Attributes:
        counters: Datagrams and bytes by what became of them.
        flow_budget: Budget of what is said about flows; gossip has its own,
            so that many new flows never keep a death from being noticed.
    """

    def __init__(
        self,
        gossiper: gossip.Gossiper,
        sealer: authentication.Sealer,
        receiver: Receiver,
        revision: collections.abc.Callable[[], int],
        load: collections.abc.Callable[[], controls.TargetLoad | None],
    ):
        self.counters = counters.CounterSet()
        self._gossiper = gossiper
        self._sealer = sealer
        self._receiver = receiver
        self._revision = revision
        self._load = load
        self.flow_budget = budgets.ByteBudget(
            gossiper.options.bytes_per_s,
            gossip.BUDGET_BURST_S,
            time.monotonic(),
        )
        self._replays = authentication.ReplayWindow()
        self._counter = _FIRST_COUNTER
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, bound: socket.socket) -> None:
        """Reads from a socket from now on.

        Args:
            bound: A bound UDP socket.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=bound)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keeps the transport; a datagram may come before ``open`` returns."""
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, message: outgoing.Message) -> None:
        """Seals and sends a message."""
        assert self._transport is not None, "the channel is not open"
        own = self._gossiper.own
        self._counter += 1
        control = controls.Control(
            sender=own.id,
            incarnation=own.incarnation,
            counter=self._counter,
            revision=self._revision(),
            digest=self._gossiper.table.digest,
            records=message.records,
            body=message.body,
            load=self._load(),
        )
        data = self._sealer.seal(controls.encode(control))
        self.counters.add("sent")
        self.counters.add("sent_bytes", len(data))
        if isinstance(message.body, _FLOW_BODIES):
            self.flow_budget.spend(len(data))
            self.counters.add("sent_flow_bytes", len(data))
        else:
            self._gossiper.budget.spend(len(data))
        self._transport.sendto(data, message.address)

    def datagram_received(self, data: bytes, source: tuple[str, int]) -> None:
        """Hands an authentic, new message on; drops and counts others."""
        payload = self._sealer.open(data)
        if isinstance(payload, authentication.Rejection):
            self.counters.add(payload.value)
            return
        try:
            control = controls.decode(payload)
        except exceptions.MalformedMessageError:
            self.counters.add(authentication.Rejection.MALFORMED.value)
            return
        if not self._replays.accept(
            control.sender, control.incarnation, control.counter
        ):
            self.counters.add(authentication.Rejection.REPLAYED.value)
            for message in self._gossiper.stale_incarnation_reply(
                control, source
            ):
                self.send(message)
            return
        self.counters.add("received")
        self.counters.add("received_bytes", len(data))
        self._receiver(control, source)

    def error_received(self, error: Exception) -> None:
        """Notes that a datagram could not be sent."""
        self.counters.add("send_error")
        loguru.logger.debug("control socket: {}", error)
