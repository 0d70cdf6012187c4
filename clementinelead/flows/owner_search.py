"""The search for the owner of a flow, by the origin.

The origin is the process that a balancer chose as first candidate. It asks all
who may own the flow, one after the other, before it places a new one.
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

__all__ = ["OwnerSearch", "reset"]

_Phase = envelopes.Phase
_Claim = collections.abc.Callable[[requests.Request, float], outcomes.Outcome]


class OwnerSearch:
    """Looks for owners, and lets the acceptor place flows that have none.

    Attributes:
        deaths_until: Time until which a dead target may come back with its
            flows, seconds.
    """

    def __init__(
        self,
        me: envelopes.Candidate,
        known: services.Services,
        begun: attempts.Attempts,
        acceptor: acceptance.Acceptor,
        claim: _Claim,
    ):
        """Begins with nothing to search.

        Args:
            me: This target as routes name it.
            known: Its services.
            begun: Attempts to place flows from here.
            acceptor: Places new flows.
            claim: Takes a flow that the target may have had before.
        """
        self.deaths_until = 0.0
        self._me = me
        self._services = known
        self._attempts = begun
        self._acceptor = acceptor
        self._claim = claim

    def begin(self, request: requests.Request, now: float) -> outcomes.Outcome:
        """Starts a placement or a search as the origin.

        Args:
            request: The packet, with its route.
            now: Present time, seconds.
        """
        key = request.key
        view = self._services.view_by_name[request.route.service]
        attempt = self._attempts.begin(key, now) if request.starts else None
        rivals = self._attempts.rivals(key)
        merged = views.merged_route(
            request.route, view.route(key), (*rivals, self._me)
        )
        started = request.routed(
            merged,
            origin=self._place_in(merged),
            origin_may_place=attempt is not None,
            attempt=attempt.number if attempt else 0,
            least_loaded=acceptance.NO_LEAST,
            least_load_ms=loads.NO_LOAD_MS,
        )
        if attempt is not None and not rivals:
            if view.settled(key, self._me, now):
                return self._place(started, attempt, now)
        return self._visit(started, 0, now)

    def _visit(
        self, request: requests.Request, position: int, now: float
    ) -> outcomes.Outcome:
        """Sends a search to the next holder, or back to its origin."""
        holders = request.route.visiting_order
        origin = request.origin
        if origin is None:
            return outcomes.Drop(headers.DropCause.ENVELOPE)
        while position < len(holders):
            holder = holders[position]
            if holder.id not in (origin.id, self._me.id):
                return request.sent(_Phase.SEARCH, holder.address, position)
            position += 1
        if origin.id == self._me.id:
            return self.searched(request, now)
        return request.sent(
            _Phase.SEARCHED, origin.address, request.envelope.origin
        )

    def search(self, request: requests.Request, now: float) -> outcomes.Outcome:
        """Answers a search: this process does not know the flow's owner.

        Args:
            request: The packet, with its route.
            now: Present time, seconds.
        """
        origin = request.origin
        if origin is None:
            return outcomes.Drop(headers.DropCause.ENVELOPE)
        if request.envelope.origin_may_place:
            key = request.key
            if not self._attempts.gives_way(key, self._me, origin, now):
                return outcomes.Drop(headers.DropCause.OTHER_DECIDES)
            self._attempts.note_rival(key, origin, now)
        return self._visit(request, request.envelope.position + 1, now)

    def searched(
        self, request: requests.Request, now: float
    ) -> outcomes.Outcome:
        """Goes on as the origin: nobody that was asked owns the flow.

        Args:
            request: The packet, with its route.
            now: Present time, seconds.
        """
        attempt = self._attempts.current(request.key)
        if request.envelope.origin_may_place:
            if attempt is None or attempt.decided:
                return outcomes.Drop(headers.DropCause.OTHER_DECIDES)
            if attempt.number != request.envelope.attempt:
                return outcomes.Drop(headers.DropCause.OTHER_DECIDES)
            return self._place(request, attempt, now)
        if request.starts or attempt is not None:
            return outcomes.Drop(headers.DropCause.NO_OWNER)
        if self._acceptor.recovering:
            return self._claim(request, now)
        view = self._services.view_by_name[request.route.service]
        settled = view.settled(request.key, self._me, now)
        if not settled or now < self.deaths_until:
            return outcomes.Drop(headers.DropCause.NO_OWNER)
        return reset(request)

    def _place(
        self,
        request: requests.Request,
        attempt: attempts.Attempt,
        now: float,
    ) -> outcomes.Outcome:
        """Starts to ask the candidates in rank order, as the origin."""
        attempt.decided = True
        return self._acceptor.ask(request.changed(position=0), now)

    def _place_in(self, route: envelopes.Route) -> int:
        for place, candidate in enumerate(route.visiting_order):
            if candidate.id == self._me.id:
                return place
        raise AssertionError("a merged route names this process")


def reset(request: requests.Request) -> outcomes.Outcome:
    """Answers for a flow whose owner is gone."""
    if not request.is_tcp:
        return outcomes.Drop(headers.DropCause.NO_OWNER)
    if headers.tcp_flags(request.packet) & headers.RST:
        return outcomes.Drop(headers.DropCause.NO_OWNER)
    return outcomes.Reset((replies.reset_packet(request.packet),), request.key)
