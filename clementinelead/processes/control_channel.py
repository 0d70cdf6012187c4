"""UDP channel of control messages: authentication, counters, byte budget."""

import asyncio
import collections.abc
import socket
import time
import typing

import loguru

from clementinelead import exceptions
from clementinelead.memberships import authentication
from clementinelead.memberships import budgets
from clementinelead.memberships import evacuations
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
        counters: Datagrams and bytes sent and received, and datagrams
            rejected, by cause.
        flow_budget: Byte budget of messages about flows. Gossip has its own,
            so that many new flows never delay the detection of a death.
    """

    def __init__(
        self,
        gossiper: gossip.Gossiper,
        sealer: authentication.Sealer,
        receiver: Receiver,
        revision: collections.abc.Callable[[], int],
        load: collections.abc.Callable[[], controls.TargetLoad | None],
        evacuated: collections.abc.Callable[
            [], evacuations.EvacuationState
        ] = lambda: evacuations.UNKNOWN,
    ):
        """Creates a channel, which ``open`` connects to a socket.

        Args:
            gossiper: Own record, table of members and byte budget of gossip.
            sealer: Authenticates the datagrams.
            receiver: Called with each authentic message and its source.
            revision: Returns the revision in force, sent with each message.
            load: Returns the target's load, sent with each message; None for
                a process without a target.
            evacuated: Returns the evacuated zones, sent with each message.
        """
        self.counters = counters.CounterSet()
        self._gossiper = gossiper
        self._sealer = sealer
        self._receiver = receiver
        self._get_revision = revision
        self._get_load = load
        self._get_evacuated = evacuated
        self.flow_budget = budgets.ByteBudget(
            gossiper.options.bytes_per_s,
            gossip.BUDGET_BURST_S,
            time.monotonic(),
        )
        self._replays = authentication.ReplayWindow()
        self._message_counter = _FIRST_COUNTER
        self._transport: asyncio.DatagramTransport | None = None

    async def open(self, bound: socket.socket) -> None:
        """Starts to receive from a socket.

        Args:
            bound: A bound UDP socket.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(lambda: self, sock=bound)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport.

        ``open`` can't do that, as a datagram may arrive before it returns.
        """
        self._transport = typing.cast(asyncio.DatagramTransport, transport)

    def close(self) -> None:
        """Closes the socket."""
        if self._transport is not None:
            self._transport.close()

    def send(self, message: outgoing.Message) -> None:
        """Seals a message, sends it and charges its bytes to a budget.

        Args:
            message: Body, records and receiver's address.
        """
        assert self._transport is not None, "the channel is not open"
        own = self._gossiper.own
        self._message_counter += 1
        control = controls.Control(
            sender=own.id,
            incarnation=own.incarnation,
            counter=self._message_counter,
            revision=self._get_revision(),
            digest=self._gossiper.table.digest,
            records=message.records,
            body=message.body,
            load=self._get_load(),
            evacuated=self._get_evacuated(),
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
        """Passes an authentic, new message to the receiver.

        Other datagrams are dropped and counted by cause.
        """
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
        """Counts and logs a datagram that could not be sent."""
        self.counters.add("send_error")
        loguru.logger.debug("control socket: {}", error)
