"""Two origins and copies of one opening packet: a flow has at most one owner.

Process 0 was first for a bucket and is settled: it may place without a search.
Process 1 has become first in a newer view, which process 0 has not received.
Copies of the flow's opening packet reach both, and messages are handled in any
order. The actions are named like the methods of
``flows.owner_search.OwnerSearch``.

Without ``remembers_rivals``, ``breaks_ties`` or ``counts_attempts`` the model
lacks that rule of the protocol.
"""

import z3

from specs import bounded

__all__ = ["specification"]

PROCESSES = (0, 1)
NONE, SEARCHING, DECIDED = range(3)
"""Phases of a process's attempt to place the flow."""

COPIES = 2
"""Copies of the opening packet that reach each process."""

State = bounded.State


def _variables() -> dict[str, z3.SortRef]:
    """Returns the sorts of the state variables, which each process has.

    ``copies`` are the copies of the opening packet that it has not handled,
    ``phase`` and ``attempt`` the phase and number of its attempt, and ``rival``
    whether it has a record of the other as a rival origin. ``owns`` is whether
    the flow was placed by it. ``search`` and ``returned_search`` are whether
    its search is on its way to the other process and back, with the attempt
    numbers ``sent_attempt`` and ``returned_attempt``.
    """
    variables: dict[str, z3.SortRef] = {}
    for number in PROCESSES:
        variables[f"copies{number}"] = z3.IntSort()
        variables[f"phase{number}"] = z3.IntSort()
        for name in ("attempt", "sent_attempt", "returned_attempt"):
            variables[f"{name}{number}"] = z3.IntSort()
        for name in ("owns", "rival", "search", "returned_search"):
            variables[f"{name}{number}"] = z3.BoolSort()
    return variables


def _initial(state: State) -> z3.BoolRef:
    constraints = []
    for number in PROCESSES:
        constraints.append(state[f"copies{number}"] == COPIES)
        constraints.append(state[f"phase{number}"] == NONE)
        for name in ("attempt", "sent_attempt", "returned_attempt"):
            constraints.append(state[f"{name}{number}"] == 0)
        for name in ("owns", "rival", "search", "returned_search"):
            constraints.append(z3.Not(state[f"{name}{number}"]))
    return z3.And(*constraints)


def _start(number: int, remembers_rivals: bool) -> bounded.Action:
    """An origin handles a copy: it places the flow, searches, or drops it."""

    def step(state: State, after: State) -> z3.BoolRef:
        copies, phase = f"copies{number}", f"phase{number}"
        owns, search = f"owns{number}", f"search{number}"
        attempt, sent_attempt = f"attempt{number}", f"sent_attempt{number}"
        idle = z3.And(state[phase] == NONE, z3.Not(state[owns]))
        settled = z3.BoolVal(number == 0)
        if remembers_rivals:
            settled = z3.And(settled, z3.Not(state[f"rival{number}"]))
        places = z3.And(idle, settled)
        searches = z3.And(idle, z3.Not(settled))
        return z3.And(
            state[copies] > 0,
            after[copies] == state[copies] - 1,
            after[phase]
            == z3.If(places, DECIDED, z3.If(searches, SEARCHING, state[phase])),
            after[owns] == z3.Or(state[owns], places),
            after[search] == z3.Or(state[search], searches),
            after[attempt] == state[attempt] + z3.If(searches, 1, 0),
            after[sent_attempt]
            == z3.If(searches, after[attempt], state[sent_attempt]),
            bounded.unchanged(
                state, after, copies, phase, owns, search, attempt, sent_attempt
            ),
        )

    return step


def _on_search(number: int, breaks_ties: bool) -> bounded.Action:
    """The other process forwards or drops a search.

    It drops the search if it owns the flow or its own attempt takes precedence;
    of two searching processes the one with the lower number does.
    """
    other = 1 - number

    def step(state: State, after: State) -> z3.BoolRef:
        search, returned_search = f"search{number}", f"returned_search{number}"
        phase, rival = f"phase{other}", f"rival{other}"
        returned_attempt = f"returned_attempt{number}"
        takes_precedence = z3.Or(
            state[phase] == DECIDED,
            z3.And(state[phase] == SEARCHING, z3.BoolVal(other < number)),
        )
        if not breaks_ties:
            takes_precedence = z3.BoolVal(False)
        forwards = z3.And(
            z3.Not(state[f"owns{other}"]), z3.Not(takes_precedence)
        )
        gives_way = z3.And(forwards, state[phase] == SEARCHING)
        if not breaks_ties:
            gives_way = z3.BoolVal(False)
        return z3.And(
            state[search],
            z3.Not(after[search]),
            after[returned_search] == z3.Or(state[returned_search], forwards),
            after[phase] == z3.If(gives_way, NONE, state[phase]),
            after[rival] == z3.Or(state[rival], forwards),
            after[returned_attempt]
            == z3.If(
                forwards,
                state[f"sent_attempt{number}"],
                state[returned_attempt],
            ),
            bounded.unchanged(
                state,
                after,
                search,
                returned_search,
                phase,
                rival,
                returned_attempt,
            ),
        )

    return step


def _on_search_returned(number: int, counts_attempts: bool) -> bounded.Action:
    """A search returns to its origin without an owner."""

    def step(state: State, after: State) -> z3.BoolRef:
        returned_search, phase = f"returned_search{number}", f"phase{number}"
        owns = f"owns{number}"
        places = state[phase] == SEARCHING
        if counts_attempts:
            current = state[f"attempt{number}"]
            places = z3.And(
                places, state[f"returned_attempt{number}"] == current
            )
        return z3.And(
            state[returned_search],
            z3.Not(after[returned_search]),
            after[phase] == z3.If(places, DECIDED, state[phase]),
            after[owns] == z3.Or(state[owns], places),
            bounded.unchanged(state, after, returned_search, phase, owns),
        )

    return step


def _is_bad(state: State) -> z3.BoolRef:
    return z3.And(state["owns0"], state["owns1"])


def specification(
    remembers_rivals: bool = True,
    breaks_ties: bool = True,
    counts_attempts: bool = True,
) -> bounded.Specification:
    """Returns the model, or a variant that lacks one of the rules.

    Args:
        remembers_rivals: Whether a process that has forwarded a search of an
            origin searches there before it places.
        breaks_ties: Whether one of two searching origins gives way.
        counts_attempts: Whether a search that returns must have the number of
            the origin's present attempt.
    """
    actions: dict[str, bounded.Action] = {}
    for number in PROCESSES:
        actions[f"start{number}"] = _start(number, remembers_rivals)
        actions[f"on_search{number}"] = _on_search(number, breaks_ties)
        actions[f"on_search_returned{number}"] = _on_search_returned(
            number, counts_attempts
        )
    return bounded.Specification(_variables(), _initial, actions, _is_bad)
