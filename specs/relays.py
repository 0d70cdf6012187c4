"""A flow before targets that answer for themselves is never reset while open.

Two side processes, each beside a target, and the balancer that the flow's
packets reach. Processes and targets restart, side processes freeze and are
declared dead, in any order; the balancer searches for the flow when it does
not know its owner. The actions are named like the modules' events.

``asks_predecessor``, ``minds_the_dead`` and ``waits_for_all`` switch off what
the decisions rely on.
"""

import z3

from specs import bounded

__all__ = ["specification"]

SIDES = (0, 1)
NONE, ABSENT, UNSURE, HELD = range(4)
_BALANCER = ("opened", "cached", "searching", "careful", "reset")
_SIDE = ("holds", "knows", "sure", "young", "frozen", "declared")

State = bounded.State


def _variables() -> dict[str, z3.SortRef]:
    """Returns the state.

    ``holds`` is of a target, ``knows`` and ``sure`` (that it knows all flows)
    of the process beside it; ``young`` says that the target began a moment
    ago. ``careful`` says that the balancer puts resets off.
    """
    variables: dict[str, z3.SortRef] = {
        name: z3.BoolSort() for name in _BALANCER
    }
    for number in SIDES:
        variables[f"answer{number}"] = z3.IntSort()
        for name in _SIDE:
            variables[f"{name}{number}"] = z3.BoolSort()
    return variables


def _initial(state: State) -> z3.BoolRef:
    constraints = [z3.Not(state[name]) for name in _BALANCER]
    for number in SIDES:
        constraints.append(state[f"answer{number}"] == NONE)
        constraints.append(state[f"sure{number}"])
        for name in _SIDE:
            if name != "sure":
                constraints.append(z3.Not(state[f"{name}{number}"]))
    return z3.And(*constraints)


def _step(
    when: list[z3.BoolRef],
    state: State,
    after: State,
    **changes: z3.ExprRef | bool | int,
) -> z3.BoolRef:
    """Returns that a step is taken which changes some variables only."""
    return z3.And(
        *when,
        *(after[name] == value for name, value in changes.items()),
        bounded.unchanged(state, after, *changes),
    )


def _open(number: int) -> bounded.Action:
    """The target accepts the flow, through this balancer."""
    holds, knows = f"holds{number}", f"knows{number}"

    def step(state: State, after: State) -> z3.BoolRef:
        when = [z3.Not(state["opened"]), z3.Not(state[f"frozen{number}"])]
        changes = {"opened": True, "cached": True, holds: True, knows: True}
        return _step(when, state, after, **changes)

    return step


def _restart_side(number: int, asks_predecessor: bool) -> bounded.Action:
    """The process restarts alone; peers knew the one before."""
    knows, sure = f"knows{number}", f"sure{number}"

    def step(state: State, after: State) -> z3.BoolRef:
        believes = z3.BoolVal(False)
        if not asks_predecessor:
            believes = state[f"young{number}"]
        when = [z3.Not(state[f"frozen{number}"])]
        return _step(when, state, after, **{knows: False, sure: believes})

    return step


def _restart_target(number: int) -> bounded.Action:
    """The target starts anew; all its flows pass the process from now on."""
    holds, sure, young = f"holds{number}", f"sure{number}", f"young{number}"

    def step(state: State, after: State) -> z3.BoolRef:
        when = [z3.Not(state[f"frozen{number}"])]
        changes = {holds: False, sure: True, young: True}
        return _step(when, state, after, **changes)

    return step


def _age(number: int) -> bounded.Action:
    """Time passes for a target."""
    young = f"young{number}"

    def step(state: State, after: State) -> z3.BoolRef:
        return _step([state[young]], state, after, **{young: False})

    return step


def _freeze(number: int) -> bounded.Action:
    """The process stops for a while."""
    frozen = f"frozen{number}"

    def step(state: State, after: State) -> z3.BoolRef:
        return _step([z3.Not(state[frozen])], state, after, **{frozen: True})

    return step


def _declare(number: int) -> bounded.Action:
    """The others declare a frozen process dead."""
    declared = f"declared{number}"

    def step(state: State, after: State) -> z3.BoolRef:
        when = [state[f"frozen{number}"], z3.Not(state[declared])]
        changes = {declared: True, "careful": True}
        return _step(when, state, after, **changes)

    return step


def _wake(number: int) -> bounded.Action:
    """The process goes on, and refutes its death."""
    frozen, declared = f"frozen{number}", f"declared{number}"

    def step(state: State, after: State) -> z3.BoolRef:
        changes = {frozen: False, declared: False}
        return _step([state[frozen]], state, after, **changes)

    return step


def _restart_balancer(minds_the_dead: bool) -> bounded.Action:
    """The balancer restarts and joins; it knows who lives."""

    def step(state: State, after: State) -> z3.BoolRef:
        careful = z3.BoolVal(False)
        if minds_the_dead:
            careful = z3.Or(*(state[f"declared{one}"] for one in SIDES))
        return _step(
            [],
            state,
            after,
            cached=False,
            searching=False,
            careful=careful,
        )

    return step


def _on_timeout(state: State, after: State) -> z3.BoolRef:
    """All that were declared dead are back: freezes are shorter than this."""
    when = [state["careful"]]
    when += [z3.Not(state[f"declared{number}"]) for number in SIDES]
    return _step(when, state, after, careful=False)


def _find(state: State, after: State) -> z3.BoolRef:
    """A packet of the flow comes, and its owner is not known."""
    when = [
        state["opened"],
        z3.Not(state["cached"]),
        z3.Not(state["searching"]),
    ]
    changes: dict[str, bool | int] = {"searching": True}
    changes.update({f"answer{number}": NONE for number in SIDES})
    return _step(when, state, after, **changes)


def _answer(number: int) -> bounded.Action:
    """The process says what it knows of the flow."""
    name = f"answer{number}"

    def step(state: State, after: State) -> z3.BoolRef:
        denies = z3.If(state[f"sure{number}"], ABSENT, UNSURE)
        belief = z3.If(state[f"knows{number}"], HELD, denies)
        when = [
            state["searching"],
            state[name] == NONE,
            z3.Not(state[f"frozen{number}"]),
            z3.Not(state[f"declared{number}"]),
        ]
        return _step(when, state, after, **{name: belief})

    return step


def _probe(number: int) -> bounded.Action:
    """The target is handed the packet, and returns it if it is not its own."""
    name, knows = f"answer{number}", f"knows{number}"

    def step(state: State, after: State) -> z3.BoolRef:
        holds = state[f"holds{number}"]
        when = [
            state["searching"],
            state[name] == UNSURE,
            z3.Not(state[f"frozen{number}"]),
        ]
        found = z3.If(holds, HELD, ABSENT)
        return _step(when, state, after, **{name: found, knows: holds})

    return step


def _on_held(state: State, after: State) -> z3.BoolRef:
    """The search has found the owner."""
    answers = [state[f"answer{number}"] == HELD for number in SIDES]
    when = [state["searching"], z3.Or(*answers)]
    return _step(when, state, after, searching=False, cached=True)


def _end_search(waits_for_all: bool) -> bounded.Action:
    """Everybody who is known has denied the flow."""

    def step(state: State, after: State) -> z3.BoolRef:
        when = [state["searching"], z3.Not(state["careful"])]
        for number in SIDES:
            answer = state[f"answer{number}"]
            denied = [answer == ABSENT, state[f"declared{number}"]]
            if not waits_for_all:
                denied.append(answer == NONE)
            when.append(z3.Or(*denied))
        return _step(when, state, after, searching=False, reset=True)

    return step


def _bad(state: State) -> z3.BoolRef:
    holds = z3.Or(*(state[f"holds{number}"] for number in SIDES))
    return z3.And(state["reset"], holds)


def specification(
    asks_predecessor: bool = True,
    minds_the_dead: bool = True,
    waits_for_all: bool = True,
) -> bounded.Specification:
    """Returns the decisions, or a variant that lacks one of their rules.

    Args:
        asks_predecessor: Whether a side process that has restarted is unsure
            of its flows though its target is young.
        minds_the_dead: Whether a balancer that joins learns whom the others
            have declared dead.
        waits_for_all: Whether a flow is reset only when all have answered.
    """
    actions: dict[str, bounded.Action] = {
        "restart_balancer": _restart_balancer(minds_the_dead),
        "on_timeout": _on_timeout,
        "find": _find,
        "on_held": _on_held,
        "end_search": _end_search(waits_for_all),
    }
    for number in SIDES:
        actions[f"open{number}"] = _open(number)
        actions[f"restart_side{number}"] = _restart_side(
            number, asks_predecessor
        )
        actions[f"restart_target{number}"] = _restart_target(number)
        actions[f"age{number}"] = _age(number)
        actions[f"freeze{number}"] = _freeze(number)
        actions[f"declare{number}"] = _declare(number)
        actions[f"wake{number}"] = _wake(number)
        actions[f"answer{number}"] = _answer(number)
        actions[f"probe{number}"] = _probe(number)
    return bounded.Specification(_variables(), _initial, actions, _bad)
