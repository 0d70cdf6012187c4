"""Selects the target of a new flow by asking the candidates in turn.

Each candidate accepts the flow if it has a free slot and otherwise passes it
on. The last candidate asked, the one with the lowest reported load,
accepts or refuses it.
"""

import collections.abc

from clementinelead.flows import attempts
from clementinelead.flows import load_cache
from clementinelead.flows import loads
from clementinelead.flows import outcomes
from clementinelead.flows import requests
from clementinelead.flows import tables
from clementinelead.messages import controls
from clementinelead.messages import envelopes
from clementinelead.packets import headers
from clementinelead.packets import replies

__all__ = ["NO_LEAST_LOADED", "Acceptor"]

RANKED_CANDIDATES_AFTER_FIRST = 2
"""Candidates asked in rank order after the first, before the least loaded."""

MIN_RETRY_AFTER_MS = 100
"""Minimum retry delay in a refusal, milliseconds: about one request."""

MAX_RETRY_AFTER_MS = 10_000
"""Maximum retry delay in a refusal, milliseconds; loads change sooner."""

NO_LEAST_LOADED = 0xFF
"""Position in an envelope that stands for no candidate."""

_ACCEPTING_STATES = ("cold", "ready")
_Phase = envelopes.Phase
_Register = collections.abc.Callable[[headers.FlowKey, tables.Flow], None]


class Acceptor:
    """Accepts, passes on or refuses new flows for one target.

    Attributes:
        state: State of the target, a state of the chart ``target``.
        recovering: Whether flows that this side process held before a restart
            may still be missing from the flow table.
        removed_services: Services that have been removed from the
            configuration; their new flows are refused.
        evacuated: Whether the zone of the target is evacuated; it accepts no
            new flows.
    """

    def __init__(
        self,
        own_candidate: envelopes.Candidate,
        load: loads.LoadEstimate,
        flows: tables.FlowTable,
        attempts_by_flow: attempts.AttemptTable,
        register: _Register,
    ):
        """Creates an acceptor for a target that has just started.

        Args:
            own_candidate: This target in the form used in routes.
            load: Load estimate of the target.
            flows: Flows that the target holds.
            attempts_by_flow: Placement attempts of this side process.
            register: Registers an accepted flow with its holders.
        """
        self.state = "cold"
        self.recovering = True
        self.removed_services: frozenset[str] = frozenset()
        self.evacuated = False
        self._own_candidate = own_candidate
        self._load = load
        self._flows = flows
        self._attempts = attempts_by_flow
        self._register = register
        self._load_cache = load_cache.LoadCache()

    def on_load(self, name: str, load: controls.TargetLoad, now: float) -> None:
        """Caches the load that another target has reported.

        Args:
            name: Identifier of the target.
            load: Its reported load.
            now: Present time, seconds.
        """
        self._load_cache.update(envelopes.candidate_id(name), load, now)

    def ask_next_candidate(
        self, request: requests.Request, now: float
    ) -> outcomes.Outcome:
        """Forwards a new flow to the candidate at the envelope's position.

        After ``RANKED_CANDIDATES_AFTER_FIRST``, or at the end of the route, it
        is forwarded to the least loaded candidate instead.

        Args:
            request: The flow's first packet, with its route.
            now: Present time, seconds.
        """
        position = request.envelope.position
        candidates = request.route.candidates
        if position > RANKED_CANDIDATES_AFTER_FIRST or position >= len(
            candidates
        ):
            return self._ask_least_loaded(request, now)
        candidate = candidates[position]
        if candidate.id == self._own_candidate.id:
            return self.accept(request, now)
        self._load_cache.count_forwarded_flow(candidate)
        return request.forward(
            _Phase.ACCEPT, candidate.address, position, "passed on"
        )

    def accept(self, request: requests.Request, now: float) -> outcomes.Outcome:
        """Accepts a new flow if a slot is free, else passes it on.

        Args:
            request: The flow's first packet, with its route.
            now: Present time, seconds.
        """
        admission = self._check_admission(request, now, last_resort=False)
        if admission.allowed:
            return self._open(request, admission, now)
        request = request.with_decline(self._own_candidate.id, admission.reason)
        completion_ms = self._completion_ms(request, now)
        if request.envelope.position == 0:
            request = self._with_sorted_candidates(request, now)
            least = self._load_cache.least_loaded_position(
                request.route, completion_ms, now
            )
            if least is not None:
                return self._ask_least_loaded(
                    request.with_envelope_fields(least_loaded=least), now
                )
        position = request.envelope.position
        if completion_ms < request.envelope.least_load_ms:
            request = request.with_envelope_fields(
                least_loaded=position, least_load_ms=completion_ms
            )
        return self.ask_next_candidate(
            request.with_envelope_fields(position=position + 1), now
        )

    def accept_or_refuse(
        self, request: requests.Request, now: float
    ) -> outcomes.Outcome:
        """Accepts or refuses a new flow as the last candidate asked.

        Args:
            request: The flow's first packet, with its route.
            now: Present time, seconds.
        """
        admission = self._check_admission(request, now, last_resort=True)
        if admission.allowed:
            return self._open(request, admission, now)
        return self._refuse(request, admission.reason)

    def _with_sorted_candidates(
        self, request: requests.Request, now: float
    ) -> requests.Request:
        """Returns the request with its candidates sorted by reported load."""
        route, order = self._load_cache.order_candidates(request.route, now)
        if route is request.route:
            return request
        origin = request.envelope.origin
        if origin < len(order):
            origin = order.index(origin)
        return request.with_route(route, origin=origin)

    def _ask_least_loaded(
        self, request: requests.Request, now: float
    ) -> outcomes.Outcome:
        """Forwards a new flow to the least loaded candidate for a decision."""
        least = request.envelope.least_loaded
        if least >= len(request.route.candidates):
            return self._refuse(request, "no candidate")
        candidate = request.route.candidates[least]
        if candidate.id == self._own_candidate.id:
            return self.accept_or_refuse(request, now)
        self._load_cache.count_forwarded_flow(candidate)
        return request.forward(
            _Phase.FINAL, candidate.address, least, "least loaded"
        )

    def _check_admission(
        self, request: requests.Request, now: float, last_resort: bool
    ) -> loads.Admission:
        if self.recovering:
            return loads.Admission(False, "recovering")
        if self.state not in _ACCEPTING_STATES:
            return loads.Admission(False, self.state)
        if self.evacuated:
            return loads.Admission(False, "zone evacuated")
        if request.route.service in self.removed_services:
            return loads.Admission(False, "service removed")
        return self._load.check_admission(now, last_resort)

    def _completion_ms(self, request: requests.Request, now: float) -> int:
        """Returns the expected completion time of a new flow, milliseconds.

        Returns:
            The time, or ``loads.NOT_ACCEPTING_MS`` if the flow would be
            refused.
        """
        if not self._check_admission(request, now, last_resort=True).allowed:
            return loads.NOT_ACCEPTING_MS
        return self._load.completion_ms(now)

    def _open(
        self,
        request: requests.Request,
        admission: loads.Admission,
        now: float,
    ) -> outcomes.Outcome:
        assert self.state in _ACCEPTING_STATES, "target accepts no new flows"
        key = request.key
        sequence = headers.tcp_sequence(request.packet) if request.is_tcp else 0
        flow = self._flows.open(key, request.route.service, sequence, now)
        if not request.is_tcp:
            flow.state = tables.ESTABLISHED
        self._attempts.discard(key)
        self._register(key, flow)
        placement = request.placement_record(
            self._own_candidate.id, admission.reason
        )
        return outcomes.Deliver(request.packet, placement)

    def _refuse(
        self, request: requests.Request, reason: str
    ) -> outcomes.Outcome:
        assert request.key not in self._flows.by_key, "refused a held flow"
        retry_after_ms = int(self._load.service_s * 1000)
        if request.envelope.least_load_ms != loads.NOT_ACCEPTING_MS:
            retry_after_ms = request.envelope.least_load_ms
        retry_after_ms = max(
            MIN_RETRY_AFTER_MS, min(MAX_RETRY_AFTER_MS, retry_after_ms)
        )
        return outcomes.Refuse(
            replies.refusal_packets(request.packet, retry_after_ms),
            request.placement_record(None, reason),
        )
