"""Two origins and copies of one first packet: at most one owner.

Process 0 was first for a bucket and is settled: it may place without a
search. Process 1 has become first in a newer view that process 0 does not
know. Copies of the flow's first packet reach both, and messages are handled
in any order. The actions are named like ``flows.decisions.Decider``'s methods.

``remembers_rivals``, ``breaks_ties`` and ``counts_attempts`` switch off what the
protocol relies on.
"""

import z3

from specs import bounded

__all__ = ["specification"]

PROCESSES = (0, 1)
NONE, SEARCHING, DECIDED = range(3)
COPIES = 2

State = bounded.State


def _variables() -> dict[str, z3.SortRef]:
    variables: dict[str, z3.SortRef] = {}
    for number in PROCESSES:
        variables[f"copies{number}"] = z3.IntSort()
        variables[f"pending{number}"] = z3.IntSort()
        for name in ("attempt", "search_attempt", "back_attempt"):
            variables[f"{name}{number}"] = z3.IntSort()
        for name in ("holds", "rival", "search", "back"):
            variables[f"{name}{number}"] = z3.BoolSort()
    return variables


def _initial(state: State) -> z3.BoolRef:
    constraints = []
    for number in PROCESSES:
        constraints.append(state[f"copies{number}"] == COPIES)
        constraints.append(state[f"pending{number}"] == NONE)
        for name in ("attempt", "search_attempt", "back_attempt"):
            constraints.append(state[f"{name}{number}"] == 0)
        for name in ("holds", "rival", "search", "back"):
            constraints.append(z3.Not(state[f"{name}{number}"]))
    return z3.And(*constraints)


def _begin(number: int, remembers_rivals: bool) -> bounded.Action:
    """The origin takes a copy: places it, searches, or leaves it."""

    def step(state: State, after: State) -> z3.BoolRef:
        copies, pending = f"copies{number}", f"pending{number}"
        holds, search = f"holds{number}", f"search{number}"
        attempt, sent = f"attempt{number}", f"search_attempt{number}"
        idle = z3.And(state[pending] == NONE, z3.Not(state[holds]))
        settled = z3.BoolVal(number == 0)
        if remembers_rivals:
            settled = z3.And(settled, z3.Not(state[f"rival{number}"]))
        places = z3.And(idle, settled)
        searches = z3.And(idle, z3.Not(settled))
        return z3.And(
            state[copies] > 0,
            after[copies] == state[copies] - 1,
            after[pending]
            == z3.If(
                places, DECIDED, z3.If(searches, SEARCHING, state[pending])
            ),
            after[holds] == z3.Or(state[holds], places),
            after[search] == z3.Or(state[search], searches),
            after[attempt] == state[attempt] + z3.If(searches, 1, 0),
            after[sent] == z3.If(searches, after[attempt], state[sent]),
            bounded.unchanged(
                state, after, copies, pending, holds, search, attempt, sent
            ),
        )

    return step


def _search(number: int, breaks_ties: bool) -> bounded.Action:
    """The other process answers a search; the lower number wins a tie."""
    other = 1 - number

    def step(state: State, after: State) -> z3.BoolRef:
        search, back = f"search{number}", f"back{number}"
        pending, rival = f"pending{other}", f"rival{other}"
        returned = f"back_attempt{number}"
        wins = z3.Or(
            state[pending] == DECIDED,
            z3.And(state[pending] == SEARCHING, z3.BoolVal(other < number)),
        )
        if not breaks_ties:
            wins = z3.BoolVal(False)
        passes = z3.And(z3.Not(state[f"holds{other}"]), z3.Not(wins))
        yields = z3.And(passes, state[pending] == SEARCHING)
        if not breaks_ties:
            yields = z3.BoolVal(False)
        return z3.And(
            state[search],
            z3.Not(after[search]),
            after[back] == z3.Or(state[back], passes),
            after[pending] == z3.If(yields, NONE, state[pending]),
            after[rival] == z3.Or(state[rival], passes),
            after[returned]
            == z3.If(passes, state[f"search_attempt{number}"], state[returned]),
            bounded.unchanged(
                state, after, search, back, pending, rival, returned
            ),
        )

    return step


def _searched(number: int, counts_attempts: bool) -> bounded.Action:
    """The origin hears that nobody owns the flow."""

    def step(state: State, after: State) -> z3.BoolRef:
        back, pending = f"back{number}", f"pending{number}"
        holds = f"holds{number}"
        places = state[pending] == SEARCHING
        if counts_attempts:
            current = state[f"attempt{number}"]
            places = z3.And(places, state[f"back_attempt{number}"] == current)
        return z3.And(
            state[back],
            z3.Not(after[back]),
            after[pending] == z3.If(places, DECIDED, state[pending]),
            after[holds] == z3.Or(state[holds], places),
            bounded.unchanged(state, after, back, pending, holds),
        )

    return step


def _bad(state: State) -> z3.BoolRef:
    return z3.And(state["holds0"], state["holds1"])


def specification(
    remembers_rivals: bool = True,
    breaks_ties: bool = True,
    counts_attempts: bool = True,
) -> bounded.Specification:
    """Returns the protocol, or a variant that lacks one of its rules.

    Args:
        remembers_rivals: Whether a process that was searched asks the origin
            before it places.
        breaks_ties: Whether of two searching origins one gives way.
        counts_attempts: Whether a search that returns must belong to the
            origin's present attempt.
    """
    actions: dict[str, bounded.Action] = {}
    for number in PROCESSES:
        actions[f"begin{number}"] = _begin(number, remembers_rivals)
        actions[f"search{number}"] = _search(number, breaks_ties)
        actions[f"searched{number}"] = _searched(number, counts_attempts)
    return bounded.Specification(_variables(), _initial, actions, _bad)
