"""Which target takes a new flow: candidates are asked in turn.

Each candidate accepts if it has room, and else passes the flow on. The last
one asked, the least loaded one as far as known, accepts or refuses it.
"""

import collections.abc

from clementinelead.flows import attempts
from clementinelead.flows import beliefs
from clementinelead.flows import loads
from clementinelead.flows import outcomes
from clementinelead.flows import requests
from clementinelead.flows import tables
from clementinelead.messages import controls
from clementinelead.messages import envelopes
from clementinelead.packets import headers
from clementinelead.packets import replies

__all__ = ["NO_LEAST", "Acceptor"]

ASKED_FIRST = 2
"""Candidates asked after the first one, before the least loaded one."""

MIN_RETRY_AFTER_MS = 100
"""Shortest time told to a refused caller, milliseconds: one round of work."""

MAX_RETRY_AFTER_MS = 10_000
"""Longest time told to a refused caller, milliseconds; loads change sooner."""

NO_LEAST = 0xFF
"""Position in an envelope that names no candidate."""

_ACCEPTING_STATES = ("cold", "ready")
_Phase = envelopes.Phase
_Register = collections.abc.Callable[[headers.FlowKey, tables.Flow], None]


class Acceptor:
    """Accepts, passes on or refuses new flows for one target.

    Attributes:
        state: State of the chart ``target``.
        recovering: Whether flows of an earlier process may still be unknown.
        ending: Services that were removed: they take no new flow.
    """

    def __init__(
        self,
        me: envelopes.Candidate,
        load: loads.LoadEstimate,
        flows: tables.FlowTable,
        begun: attempts.Attempts,
        register: _Register,
    ):
        """Begins with a target that has just started.

        Args:
            me: The target as routes name it.
            load: Its load.
            flows: Flows that it holds.
            begun: Attempts to place flows from here.
            register: Registers an accepted flow with its holders.
        """
        self.state = "cold"
        self.recovering = True
        self.ending: frozenset[str] = frozenset()
        self._me = me
        self._load = load
        self._flows = flows
        self._attempts = begun
        self._register = register
        self._beliefs = beliefs.LoadBeliefs()

    def on_load(self, name: str, load: controls.TargetLoad, now: float) -> None:
        """Notes what another target says of its load.

        Args:
            name: Identifier of the target.
            load: What it says.
            now: Present time, seconds.
        """
        self._beliefs.note(envelopes.candidate_id(name), load, now)

    def ask(self, request: requests.Request, now: float) -> outcomes.Outcome:
        """Sends a new flow to the candidate at the envelope's position.

        Args:
            request: The flow's first packet, with its route.
            now: Present time, seconds.
        """
        position = request.envelope.position
        candidates = request.route.candidates
        if position > ASKED_FIRST or position >= len(candidates):
            return self._ask_least(request, now)
        candidate = candidates[position]
        if candidate.id == self._me.id:
            return self.accept(request, now)
        self._beliefs.count_sent(candidate)
        return request.sent(
            _Phase.ACCEPT, candidate.address, position, "passed on"
        )

    def accept(self, request: requests.Request, now: float) -> outcomes.Outcome:
        """Accepts a new flow if there is room, else passes it on.

        Args:
            request: The flow's first packet, with its route.
            now: Present time, seconds.
        """
        acceptance = self._acceptance(request, now, last_resort=False)
        if acceptance.allowed:
            return self._open(request, acceptance, now)
        request = request.passed_over(self._me.id, acceptance.reason)
        completion = self._completion_ms(request, now)
        if request.envelope.position == 0:
            request = self._arranged(request, now)
            least = self._beliefs.least(request.route, completion, now)
            if least is not None:
                return self._ask_least(request.changed(least_loaded=least), now)
        position = request.envelope.position
        if completion < request.envelope.least_load_ms:
            request = request.changed(
                least_loaded=position, least_load_ms=completion
            )
        return self.ask(request.changed(position=position + 1), now)

    def final(self, request: requests.Request, now: float) -> outcomes.Outcome:
        """Accepts or refuses as the last one asked.

        Args:
            request: The flow's first packet, with its route.
            now: Present time, seconds.
        """
        acceptance = self._acceptance(request, now, last_resort=True)
        if acceptance.allowed:
            return self._open(request, acceptance, now)
        return self._refuse(request, acceptance.reason)

    def _arranged(
        self, request: requests.Request, now: float
    ) -> requests.Request:
        """Returns the request with its candidates in the order to ask them."""
        route, order = self._beliefs.arranged(request.route, now)
        if route is request.route:
            return request
        origin = request.envelope.origin
        if origin < len(order):
            origin = order.index(origin)
        return request.routed(route, origin=origin)

    def _ask_least(
        self, request: requests.Request, now: float
    ) -> outcomes.Outcome:
        """Sends a new flow to the least loaded candidate for a decision."""
        least = request.envelope.least_loaded
        if least >= len(request.route.candidates):
            return self._refuse(request, "no candidate")
        candidate = request.route.candidates[least]
        if candidate.id == self._me.id:
            return self.final(request, now)
        self._beliefs.count_sent(candidate)
        return request.sent(
            _Phase.FINAL, candidate.address, least, "least loaded"
        )

    def _acceptance(
        self, request: requests.Request, now: float, last_resort: bool
    ) -> loads.Acceptance:
        if self.recovering:
            return loads.Acceptance(False, "recovering")
        if self.state not in _ACCEPTING_STATES:
            return loads.Acceptance(False, self.state)
        if request.route.service in self.ending:
            return loads.Acceptance(False, "service removed")
        return self._load.acceptance(now, last_resort)

    def _completion_ms(self, request: requests.Request, now: float) -> int:
        """Returns the expected completion of a new flow, if one may come."""
        if not self._acceptance(request, now, last_resort=True).allowed:
            return loads.NO_LOAD_MS
        return self._load.completion_ms(now)

    def _open(
        self,
        request: requests.Request,
        acceptance: loads.Acceptance,
        now: float,
    ) -> outcomes.Outcome:
        assert self.state in _ACCEPTING_STATES, "a leaving target accepts"
        key = request.key
        sequence = headers.tcp_sequence(request.packet) if request.is_tcp else 0
        flow = self._flows.open(key, request.route.service, sequence, now)
        if not request.is_tcp:
            flow.state = tables.ESTABLISHED
        self._attempts.end(key)
        self._register(key, flow)
        placement = request.placement(self._me.id, acceptance.reason)
        return outcomes.Deliver(request.packet, placement)

    def _refuse(
        self, request: requests.Request, reason: str
    ) -> outcomes.Outcome:
        assert request.key not in self._flows.by_key, "a flow that ran"
        wait = int(self._load.service_s * 1000)
        if request.envelope.least_load_ms != loads.NO_LOAD_MS:
            wait = request.envelope.least_load_ms
        wait = max(MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, wait))
        return outcomes.Refuse(
            replies.refusal_packets(request.packet, wait),
            request.placement(None, reason),
        )
