"""Searches for the owner of a flow.

The origin, the side process that a balancer chose as first candidate, sends
the packet as a search message through all side processes that may own its
flow, one after the other. It places a new flow only if none of them owns it.
"""

import collections.abc

from clementinelead.flows import acceptance
from clementinelead.flows import attempts
from clementinelead.flows import loads
from clementinelead.flows import outcomes
from clementinelead.flows import requests
from clementinelead.flows import services
from clementinelead.flows import views
from clementinelead.messages import envelopes
from clementinelead.packets import headers
from clementinelead.packets import replies

__all__ = ["OwnerSearch", "reset_outcome"]

_Phase = envelopes.Phase
_AdoptFlow = collections.abc.Callable[
    [requests.Request, float], outcomes.Outcome
]


class OwnerSearch:
    """Searches for owners and has the acceptor place flows without one.

    Attributes:
        owner_return_deadline: Time until which a dead target may return with
            its flows, seconds; until then they are not reset.
    """

    def __init__(
        self,
        own_candidate: envelopes.Candidate,
        service_index: services.ServiceIndex,
        attempts_by_flow: attempts.AttemptTable,
        acceptor: acceptance.Acceptor,
        adopt_flow: _AdoptFlow,
    ):
        """Creates a search without state of its own.

        Args:
            own_candidate: This target in the form used in routes.
            service_index: Services of the target.
            attempts_by_flow: Placement attempts of this side process.
            acceptor: Places new flows.
            adopt_flow: Adopts a flow that the target may have held before
                this side process started.
        """
        self.owner_return_deadline = 0.0
        self._own_candidate = own_candidate
        self._services = service_index
        self._attempts = attempts_by_flow
        self._acceptor = acceptor
        self._adopt_flow = adopt_flow

    def start(self, request: requests.Request, now: float) -> outcomes.Outcome:
        """Starts a placement or an owner search as the origin.

        A new flow is placed at once if every live owner has registered its
        flows here, no other side process may be placing this one and no
        earlier attempt may have placed it. Otherwise the possible owners are
        searched first.

        Args:
            request: The packet, with its route.
            now: Present time, seconds.
        """
        key = request.key
        view = self._services.view_by_name[request.route.service]
        attempt = (
            self._attempts.begin(key, now) if request.may_start_flow else None
        )
        rivals = self._attempts.rival_origins(key)
        merged = views.merged_route(
            request.route, view.route(key), (*rivals, self._own_candidate)
        )
        started = request.with_route(
            merged,
            origin=self._own_position(merged),
            origin_may_place=attempt is not None,
            attempt=attempt.number if attempt else 0,
            least_loaded=acceptance.NO_LEAST_LOADED,
            least_load_ms=loads.NOT_ACCEPTING_MS,
        )
        if attempt is not None and not rivals and not attempt.is_repeated:
            if view.is_settled(key, self._own_candidate, now):
                return self._place(started, attempt, now)
        return self._forward_search(started, 0, now)

    def _forward_search(
        self, request: requests.Request, position: int, now: float
    ) -> outcomes.Outcome:
        """Forwards a search to the next holder, or back to its origin."""
        holders = request.route.visiting_order
        origin = request.origin
        if origin is None:
            return outcomes.Drop(headers.DropCause.ENVELOPE)
        while position < len(holders):
            holder = holders[position]
            if holder.id not in (origin.id, self._own_candidate.id):
                return request.forward(_Phase.SEARCH, holder.address, position)
            position += 1
        if origin.id == self._own_candidate.id:
            return self.on_search_returned(request, now)
        return request.forward(
            _Phase.SEARCHED, origin.address, request.envelope.origin
        )

    def on_search(
        self, request: requests.Request, now: float
    ) -> outcomes.Outcome:
        """Handles a search of another process for a flow without record here.

        The search is forwarded to the next holder, or dropped if this process
        is placing the same flow and takes precedence.

        Args:
            request: The packet, with its route.
            now: Present time, seconds.
        """
        origin = request.origin
        if origin is None:
            return outcomes.Drop(headers.DropCause.ENVELOPE)
        if request.envelope.origin_may_place:
            key = request.key
            if not self._attempts.yields_to(
                key, self._own_candidate, origin, now
            ):
                return outcomes.Drop(headers.DropCause.OTHER_DECIDES)
            self._attempts.add_rival(key, origin, now)
        return self._forward_search(request, request.envelope.position + 1, now)

    def on_search_returned(
        self, request: requests.Request, now: float
    ) -> outcomes.Outcome:
        """Handles a search that has returned to its origin without an owner.

        The flow is placed if its attempt is still current. A packet that
        cannot start a flow is answered with a reset if every live owner has
        registered its flows here and no dead one may return; otherwise it is
        dropped.

        Args:
            request: The packet, with its route.
            now: Present time, seconds.
        """
        attempt = self._attempts.current(request.key)
        if request.envelope.origin_may_place:
            if attempt is None or attempt.placing:
                return outcomes.Drop(headers.DropCause.OTHER_DECIDES)
            if attempt.number != request.envelope.attempt:
                return outcomes.Drop(headers.DropCause.OTHER_DECIDES)
            return self._place(request, attempt, now)
        if request.may_start_flow or attempt is not None:
            return outcomes.Drop(headers.DropCause.NO_OWNER)
        if self._acceptor.recovering:
            return self._adopt_flow(request, now)
        view = self._services.view_by_name[request.route.service]
        settled = view.is_settled(request.key, self._own_candidate, now)
        if not settled or now < self.owner_return_deadline:
            return outcomes.Drop(headers.DropCause.NO_OWNER)
        return reset_outcome(request)

    def _place(
        self,
        request: requests.Request,
        attempt: attempts.Attempt,
        now: float,
    ) -> outcomes.Outcome:
        """Asks the candidates to accept the flow, in rank order."""
        attempt.placing = True
        return self._acceptor.ask_next_candidate(
            request.with_envelope_fields(position=0), now
        )

    def _own_position(self, route: envelopes.Route) -> int:
        for position, candidate in enumerate(route.visiting_order):
            if candidate.id == self._own_candidate.id:
                return position
        raise AssertionError("merged route lacks this process")


def reset_outcome(request: requests.Request) -> outcomes.Outcome:
    """Returns the outcome for a packet whose flow has no owner any more.

    TCP segments are answered with a reset, except those that carry RST
    themselves. UDP datagrams are dropped.

    Args:
        request: The packet, with its route.
    """
    if not request.is_tcp:
        return outcomes.Drop(headers.DropCause.NO_OWNER)
    if headers.tcp_flags(request.packet) & headers.RST:
        return outcomes.Drop(headers.DropCause.NO_OWNER)
    return outcomes.Reset((replies.reset_packet(request.packet),), request.key)
