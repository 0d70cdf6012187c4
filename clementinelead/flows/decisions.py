"""Decides what a side process does with each packet that it receives.

The owner of a flow delivers its packets. Every other side process forwards
them to the owner, or searches for the owner among the candidates. Only the
origin, the side process that a balancer chose as first candidate, places a new
flow: after all possible owners have reported that they do not own it, or after
the origin has been first candidate long enough for every owner to have
registered there.
"""

import collections.abc

from clementinelead.flows import acceptance
from clementinelead.flows import attempts
from clementinelead.flows import loads
from clementinelead.flows import locators
from clementinelead.flows import outcomes
from clementinelead.flows import owner_search
from clementinelead.flows import registrations
from clementinelead.flows import requests
from clementinelead.flows import services
from clementinelead.flows import tables
from clementinelead.messages import controls
from clementinelead.messages import envelopes
from clementinelead.packets import headers
from clementinelead.placements import tables as placement_tables

__all__ = ["Decider"]

MAX_HOPS = 60
"""Forwards between side processes after which a packet is dropped."""

FIRST_PACKET_DROP_AFTER_PAUSE_S = 1.0
"""Time after a pause in which first packets are dropped, seconds."""

_IPV4_WITHOUT_OPTIONS = 0x45  # version 4, header of five 32-bit words
_SYN_FIN_OR_RST = headers.SYN | headers.FIN | headers.RST

_Phase = envelopes.Phase
_OWNER_LOOKUP_PHASES = (_Phase.PLACE, _Phase.SEARCH, _Phase.SEARCHED)


class Decider:
    """Owns the flows of one target and decides what to do with packets.

    The state changes only in ``fast_path_packet``, ``decide`` and the ``on_``
    methods. They do no I/O, and those that depend on the time take it as an
    argument, so the same code runs in the side process and in tests.

    Attributes:
        identifier: Identifier of this target.
        own_candidate: This target in the form used in routes.
        load: Load estimate of this target.
        flows: Flows that the target holds.
        locators: Locations of other targets' flows.
        registrar: Registrations of the flows held, with other side processes.
        acceptor: Accepts, passes on or refuses new flows.
    """

    def __init__(
        self,
        identifier: str,
        address: tuple[str, int],
        load: loads.LoadEstimate,
        timeouts: tables.Timeouts,
    ):
        """Creates a decider that holds no flows.

        Args:
            identifier: Identifier of this target.
            address: IP address and UDP port of this side process's packet
                path.
            load: Load estimate of this target.
            timeouts: Idle timeouts of flows.
        """
        self.identifier = identifier
        self.own_candidate = envelopes.Candidate(
            envelopes.candidate_id(identifier), address
        )
        self.load = load
        self.flows = tables.FlowTable(load, timeouts)
        self.locators = locators.LocatorTable()
        self.registrar = registrations.Registrar()
        self._attempts = attempts.AttemptTable()
        self.acceptor = acceptance.Acceptor(
            self.own_candidate, load, self.flows, self._attempts, self._register
        )
        self._services = services.ServiceIndex(self.own_candidate)
        self._drop_first_packets_until = 0.0
        self._dead_owners: frozenset[str] = frozenset()
        self._owner_search = owner_search.OwnerSearch(
            self.own_candidate,
            self._services,
            self._attempts,
            self.acceptor,
            self._adopt_flow,
        )

    # Fast path.

    def fast_path_packet(self, data: bytes, now: float) -> bytes | None:
        """Returns the packet of an envelope that can be delivered as it is.

        This is the fast path, taken by nearly all packets: it decodes only the
        packet and looks up the flow. It returns None for flows that are not
        held here, for packets that may change a flow's state and for IPv4
        headers with options; ``decide`` handles those.

        Args:
            data: A datagram of the packet path.
            now: Present time, seconds.

        Raises:
            exceptions.MalformedMessageError: The datagram is not an envelope.
        """
        packet = envelopes.decode_packet(data)
        key = headers.flow_key(packet)
        flow = self.flows.by_key.get(key)  # type: ignore[arg-type]
        if flow is None or flow.state != tables.ESTABLISHED:
            return None
        if packet[0] != _IPV4_WITHOUT_OPTIONS:
            return None
        if key[12] == headers.PROTOCOL_TCP:  # type: ignore[index]
            if packet[33] & _SYN_FIN_OR_RST:
                return None
        elif not flow.active:
            return None
        flow.last_packet_at = now
        return packet

    # Packets.

    def decide(self, data: bytes, now: float) -> outcomes.Outcome:
        """Returns what to do with a datagram of the packet path.

        A malformed datagram results in ``outcomes.Drop``, not an exception.

        Args:
            data: The datagram.
            now: Present time, seconds.
        """
        request = requests.parse(data)
        if isinstance(request, headers.DropCause):
            return outcomes.Drop(request)
        cause = self._drop_cause(request, now)
        if cause is not None:
            return outcomes.Drop(cause)
        outcome = self._decide_recorded_flow(request, now)
        if outcome is not None:
            return outcome
        return self._decide_unrecorded_flow(request, now)

    def _drop_cause(
        self, request: requests.Request, now: float
    ) -> headers.DropCause | None:
        """Returns why the packet must be dropped, or None to process it."""
        service = self._services.service_of_flow(request.key)
        if service is None or service != request.route.service:
            return headers.DropCause.FOREIGN
        if request.envelope.hops > MAX_HOPS:
            return headers.DropCause.HOP_BUDGET
        if not request.may_start_flow:
            return None
        if request.is_tcp and headers.tcp_payload_bytes(request.packet):
            return headers.DropCause.SYN_PAYLOAD
        if now < self._drop_first_packets_until:
            return headers.DropCause.DISTRUST
        return None

    def _decide_recorded_flow(
        self, request: requests.Request, now: float
    ) -> outcomes.Outcome | None:
        """Returns the outcome for a flow that is held or has a locator here.

        Returns:
            The outcome, or None if the owner has to be searched for or the
            flow has to be placed.
        """
        flow = self.flows.by_key.get(request.key)
        if flow is not None:
            if self._end_if_ports_reused(request, flow, now):
                return None
            return self._deliver(request, flow, now)
        locator = self.locators.by_key.get(request.key)
        if locator is None or request.envelope.phase is _Phase.OWNED:
            return None
        owner_dead = locator.owner in self._dead_owners
        if owner_dead and request.may_start_flow and request.is_tcp:
            # A SYN carries no request, so placing it again is safe. A UDP
            # datagram may be a retransmission of an executed request.
            self.locators.release(request.key)
            return None
        if request.was_declined_by(locator.address):
            # The registered owner has just passed the flow on, so the locator
            # is outdated: its release has not arrived yet.
            self.locators.release(request.key)
            return None
        if owner_dead and now >= self._owner_search.owner_return_deadline:
            return owner_search.reset_outcome(request)
        return request.forward(_Phase.OWNED, locator.address, 0)

    def _end_if_ports_reused(
        self, request: requests.Request, flow: tables.Flow, now: float
    ) -> bool:
        """Ends a closing flow if a SYN reuses its addresses and ports.

        The SYN is then placed like any new flow, so a draining target does not
        take it just because it held the previous flow.

        Returns:
            Whether the flow was ended.
        """
        if not request.may_start_flow or not request.is_tcp:
            return False
        if not self.flows.is_port_reuse(flow, request.packet):
            return False
        self.flows.close(request.key, "expire", now)
        self.registrar.release(request.key)
        return True

    def _deliver(
        self, request: requests.Request, flow: tables.Flow, now: float
    ) -> outcomes.Deliver:
        key = request.key
        assert self.flows.by_key.get(key) is flow, "only an owner delivers"
        previous_state = flow.state
        self.flows.on_packet(key, flow, request.packet, now)
        if key not in self.flows.by_key:
            self.registrar.release(key)
        elif flow.state == tables.CLOSING and previous_state != tables.CLOSING:
            self.registrar.mark_closing(key, flow.service, flow.incarnation)
        return outcomes.Deliver(request.packet)

    def _decide_unrecorded_flow(
        self, request: requests.Request, now: float
    ) -> outcomes.Outcome:
        """Returns the outcome for a flow without record or locator here."""
        phase = request.envelope.phase
        if phase is _Phase.OWNED:
            return self._on_outdated_owner(request, now)
        if (
            request.may_start_flow
            and self.acceptor.recovering
            and phase in _OWNER_LOOKUP_PHASES
        ):
            return outcomes.Drop(headers.DropCause.RECOVERING)
        match phase:
            case _Phase.PLACE:
                return self._owner_search.start(request, now)
            case _Phase.SEARCH:
                return self._owner_search.on_search(request, now)
            case _Phase.SEARCHED:
                return self._owner_search.on_search_returned(request, now)
            case _Phase.ACCEPT:
                return self.acceptor.accept(request, now)
        return self.acceptor.accept_or_refuse(request, now)

    def _on_outdated_owner(
        self, request: requests.Request, now: float
    ) -> outcomes.Outcome:
        """Handles a packet that was forwarded here as the owner, by mistake.

        The sender used an outdated locator, unless this process has lost its
        flows in a restart and is still recovering them.
        """
        if self.acceptor.recovering:
            return self._adopt_flow(request, now)
        for holder in self._services.holders(
            request.route.service, request.key
        ):
            self.registrar.release_unowned(holder, request.key)
        if not request.may_start_flow:
            return owner_search.reset_outcome(request)
        return self._owner_search.start(request, now)

    def _adopt_flow(
        self, request: requests.Request, now: float
    ) -> outcomes.Outcome:
        """Adopts a flow that the target may have held before this start.

        If the target does not hold the flow, its network stack resets it.
        """
        flow = self.flows.restore(
            request.key, request.route.service, now, False
        )
        self._register(request.key, flow)
        return self._deliver(request, flow, now)

    def _register(self, key: headers.FlowKey, flow: tables.Flow) -> None:
        holders = self._services.holders(flow.service, key)
        self.registrar.register(key, flow.service, flow.incarnation, holders)

    # Events other than packets.

    def on_services(
        self,
        addresses_by_service: collections.abc.Mapping[
            str, collections.abc.Set[bytes]
        ],
        removed_services: frozenset[str] = frozenset(),
    ) -> None:
        """Sets the addresses of the services that the target serves.

        Args:
            addresses_by_service: ``headers.service_key`` of each address of
                each service.
            removed_services: Services that have been removed from the
                configuration: open flows continue, new ones are refused.
        """
        self.acceptor.removed_services = removed_services
        self._services.set_addresses(addresses_by_service)

    def on_table(
        self,
        service: str,
        table: placement_tables.BucketTable | None,
        now: float,
    ) -> None:
        """Sets a service's table and registers flows with their new holders.

        Args:
            service: Name of a service passed to ``on_services``.
            table: The table, or None if the service has no targets.
            now: Present time, seconds.

        Raises:
            KeyError: ``on_services`` has not been called with the service.
        """
        view = self._services.view_by_name[service]
        changed = self._services.update(service, table, now)
        if changed is None:
            return
        for key, flow in self.flows.by_key.items():
            if flow.service == service and changed[view.bucket(key)]:
                self._register(key, flow)

    def table(self, service: str) -> placement_tables.BucketTable | None:
        """Returns the current table of a service, or None if it has none."""
        return self._services.table(service)

    def on_dead_owners(self, dead_owners: frozenset[str], until: float) -> None:
        """Sets which targets have been detected as dead.

        Args:
            dead_owners: Identifiers of the targets.
            until: Time until which a dead target may return with its flows,
                seconds; the flows are not reset before.
        """
        self._dead_owners = dead_owners
        self._owner_search.owner_return_deadline = until

    def on_pause(self, now: float) -> None:
        """Handles a pause of this process, such as a suspended host.

        Flows whose first packets waited in the socket during the pause may
        have been placed elsewhere meanwhile. First packets are therefore
        dropped for ``FIRST_PACKET_DROP_AFTER_PAUSE_S``; callers retransmit
        them.

        Args:
            now: Present time, seconds.
        """
        self._drop_first_packets_until = now + FIRST_PACKET_DROP_AFTER_PAUSE_S
        self._attempts.clear()

    def on_register(
        self,
        owner: str,
        address: tuple[str, int],
        service: str,
        entries: tuple[controls.Registration, ...],
        now: float,
    ) -> None:
        """Stores locators for flows of another target.

        Entries for flows that are held here are ignored.

        Args:
            owner: Identifier of the owner.
            address: IP address and UDP port of its packet path.
            service: Name of the service.
            entries: The flows.
            now: Present time, seconds.
        """
        for entry in entries:
            if entry.key in self.flows.by_key:
                continue
            locator = locators.Locator(
                owner, address, entry.incarnation, service, entry.closing
            )
            self.locators.register(entry.key, locator, now)
            self._attempts.discard(entry.key)

    def on_release(self, owner: str, keys: tuple[headers.FlowKey, ...]) -> None:
        """Removes locators of flows that an owner has released.

        Args:
            owner: Identifier of the owner; locators of other owners stay.
            keys: Keys of the flows.
        """
        for key in keys:
            self.locators.release(key, owner)

    def on_resend_request(self, holder: str) -> None:
        """Queues all registrations of a holder for sending again.

        Args:
            holder: Identifier of the holder, whose entries differ from the
                flows held here or were lost in a restart.
        """
        entries = {
            key: (flow.service, _registration(key, flow))
            for key, flow in self.flows.by_key.items()
        }
        self.registrar.resend_all(holder, entries)

    def on_recovered_entries(
        self, entries: dict[headers.FlowKey, locators.Locator], now: float
    ) -> None:
        """Restores flows of this target from locators that peers hold.

        Args:
            entries: Locators by flow key.
            now: Present time, seconds.
        """
        for key, locator in entries.items():
            if key in self.flows.by_key:
                continue
            flow = self.flows.restore(
                key, locator.service, now, locator.closing
            )
            self._register(key, flow)
            if locator.closing:
                self.registrar.mark_closing(key, flow.service, flow.incarnation)

    def on_tick(self, now: float) -> None:
        """Removes expired flows, locators and placement attempts.

        Args:
            now: Present time, seconds.
        """
        for key in self.flows.expire(now):
            self.registrar.release(key)
        self.locators.expire(now)
        self._attempts.expire(now)


def _registration(
    key: headers.FlowKey, flow: tables.Flow
) -> controls.Registration:
    return controls.Registration(
        key, flow.incarnation, flow.state == tables.CLOSING
    )
