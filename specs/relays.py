"""An open flow of targets that answer their callers directly is never reset.

The model has two side processes, each beside a target, and the balancer that
the flow's packets reach. Processes and targets restart, and side processes are
paused and declared dead, in any order. The balancer searches for the flow if it
has no record of its owner. Each action is an event of one of them.

Without ``unsure_after_restart``, ``receives_dead_members`` or
``waits_for_all_replies`` the model lacks that rule of the decisions.
"""

import z3

from specs import bounded

__all__ = ["specification"]

SIDES = (0, 1)
NONE, ABSENT, UNSURE, HELD = range(4)
"""Replies of a side process to a search."""
_BALANCER = ("opened", "cached", "searching", "defers_resets", "reset")
_SIDE = (
    "target_has_flow",
    "side_has_record",
    "record_complete",
    "target_recent",
    "paused",
    "declared_dead",
)

State = bounded.State


def _variables() -> dict[str, z3.SortRef]:
    """Returns the sorts of the state variables.

    Of each target: ``target_has_flow``, and ``target_recent``, whether it
    started a moment ago. Of the side process beside it: ``side_has_record`` of
    the flow, ``record_complete``, whether it has records of all flows of the
    target, ``paused``, ``declared_dead``, and its ``reply`` to the search.

    Of the balancer: ``cached``, whether it has a record of the owner,
    ``searching``, and ``defers_resets``. ``opened`` and ``reset`` are whether
    the flow has been opened and reset.
    """
    variables: dict[str, z3.SortRef] = {
        name: z3.BoolSort() for name in _BALANCER
    }
    for number in SIDES:
        variables[f"reply{number}"] = z3.IntSort()
        for name in _SIDE:
            variables[f"{name}{number}"] = z3.BoolSort()
    return variables


def _initial(state: State) -> z3.BoolRef:
    constraints = [z3.Not(state[name]) for name in _BALANCER]
    for number in SIDES:
        constraints.append(state[f"reply{number}"] == NONE)
        constraints.append(state[f"record_complete{number}"])
        for name in _SIDE:
            if name != "record_complete":
                constraints.append(z3.Not(state[f"{name}{number}"]))
    return z3.And(*constraints)


def _step(
    preconditions: list[z3.BoolRef],
    state: State,
    after: State,
    **changes: z3.ExprRef | bool | int,
) -> z3.BoolRef:
    """Returns the transition relation of a step.

    Args:
        preconditions: Constraints on the state before the step.
        state: State before the step.
        after: State after it.
        **changes: Values after the step; other variables are unchanged.
    """
    return z3.And(
        *preconditions,
        *(after[name] == value for name, value in changes.items()),
        bounded.unchanged(state, after, *changes),
    )


def _open(number: int) -> bounded.Action:
    """The target accepts the flow, forwarded by this balancer."""
    target_has_flow, side_has_record = (
        f"target_has_flow{number}",
        f"side_has_record{number}",
    )

    def step(state: State, after: State) -> z3.BoolRef:
        preconditions = [
            z3.Not(state["opened"]),
            z3.Not(state[f"paused{number}"]),
        ]
        changes = {
            "opened": True,
            "cached": True,
            target_has_flow: True,
            side_has_record: True,
        }
        return _step(preconditions, state, after, **changes)

    return step


def _restart_side(number: int, unsure_after_restart: bool) -> bounded.Action:
    """The process restarts without its target; peers had its predecessor."""
    side_has_record, record_complete = (
        f"side_has_record{number}",
        f"record_complete{number}",
    )

    def step(state: State, after: State) -> z3.BoolRef:
        complete = z3.BoolVal(False)
        if not unsure_after_restart:
            complete = state[f"target_recent{number}"]
        preconditions = [z3.Not(state[f"paused{number}"])]
        return _step(
            preconditions,
            state,
            after,
            **{side_has_record: False, record_complete: complete},
        )

    return step


def _restart_target(number: int) -> bounded.Action:
    """The target restarts; the process forwards all its flows from now on."""
    target_has_flow, record_complete, target_recent = (
        f"target_has_flow{number}",
        f"record_complete{number}",
        f"target_recent{number}",
    )

    def step(state: State, after: State) -> z3.BoolRef:
        preconditions = [z3.Not(state[f"paused{number}"])]
        changes = {
            target_has_flow: False,
            record_complete: True,
            target_recent: True,
        }
        return _step(preconditions, state, after, **changes)

    return step


def _let_target_age(number: int) -> bounded.Action:
    """The restart of a target is no longer recent."""
    target_recent = f"target_recent{number}"

    def step(state: State, after: State) -> z3.BoolRef:
        return _step(
            [state[target_recent]], state, after, **{target_recent: False}
        )

    return step


def _pause(number: int) -> bounded.Action:
    """The process is paused."""
    paused = f"paused{number}"

    def step(state: State, after: State) -> z3.BoolRef:
        return _step([z3.Not(state[paused])], state, after, **{paused: True})

    return step


def _declare_dead(number: int) -> bounded.Action:
    """The other members declare a paused process dead."""
    declared_dead = f"declared_dead{number}"

    def step(state: State, after: State) -> z3.BoolRef:
        preconditions = [state[f"paused{number}"], z3.Not(state[declared_dead])]
        changes = {declared_dead: True, "defers_resets": True}
        return _step(preconditions, state, after, **changes)

    return step


def _resume(number: int) -> bounded.Action:
    """The process resumes, and refutes that it is dead."""
    paused, declared_dead = f"paused{number}", f"declared_dead{number}"

    def step(state: State, after: State) -> z3.BoolRef:
        changes = {paused: False, declared_dead: False}
        return _step([state[paused]], state, after, **changes)

    return step


def _restart_balancer(receives_dead_members: bool) -> bounded.Action:
    """The balancer restarts and joins; it receives the members that are alive."""

    def step(state: State, after: State) -> z3.BoolRef:
        defers_resets = z3.BoolVal(False)
        if receives_dead_members:
            defers_resets = z3.Or(
                *(state[f"declared_dead{number}"] for number in SIDES)
            )
        return _step(
            [],
            state,
            after,
            cached=False,
            searching=False,
            defers_resets=defers_resets,
        )

    return step


def _stop_deferring_resets(state: State, after: State) -> z3.BoolRef:
    """A timeout ends the deferral of resets.

    All processes that were declared dead have resumed then, as pauses are
    shorter than the timeout.
    """
    preconditions = [state["defers_resets"]]
    preconditions += [
        z3.Not(state[f"declared_dead{number}"]) for number in SIDES
    ]
    return _step(preconditions, state, after, defers_resets=False)


def _start_search(state: State, after: State) -> z3.BoolRef:
    """A packet of the flow arrives at a balancer without record of its owner."""
    preconditions = [
        state["opened"],
        z3.Not(state["cached"]),
        z3.Not(state["searching"]),
    ]
    changes: dict[str, bool | int] = {"searching": True}
    changes.update({f"reply{number}": NONE for number in SIDES})
    return _step(preconditions, state, after, **changes)


def _reply(number: int) -> bounded.Action:
    """The process replies whether it has a record of the flow."""
    name = f"reply{number}"

    def step(state: State, after: State) -> z3.BoolRef:
        denial = z3.If(state[f"record_complete{number}"], ABSENT, UNSURE)
        reply_value = z3.If(state[f"side_has_record{number}"], HELD, denial)
        preconditions = [
            state["searching"],
            state[name] == NONE,
            z3.Not(state[f"paused{number}"]),
            z3.Not(state[f"declared_dead{number}"]),
        ]
        return _step(preconditions, state, after, **{name: reply_value})

    return step


def _probe(number: int) -> bounded.Action:
    """The target receives the packet, and returns it if it lacks the flow."""
    name, side_has_record = f"reply{number}", f"side_has_record{number}"

    def step(state: State, after: State) -> z3.BoolRef:
        target_has_flow = state[f"target_has_flow{number}"]
        preconditions = [
            state["searching"],
            state[name] == UNSURE,
            z3.Not(state[f"paused{number}"]),
        ]
        result = z3.If(target_has_flow, HELD, ABSENT)
        return _step(
            preconditions,
            state,
            after,
            **{name: result, side_has_record: target_has_flow},
        )

    return step


def _find_owner(state: State, after: State) -> z3.BoolRef:
    """The search ends with a reply of the owner."""
    replies = [state[f"reply{number}"] == HELD for number in SIDES]
    preconditions = [state["searching"], z3.Or(*replies)]
    return _step(preconditions, state, after, searching=False, cached=True)


def _end_search(waits_for_all_replies: bool) -> bounded.Action:
    """The search ends without owner, and the flow is reset.

    Every side process has replied that it lacks the flow, or was declared dead.
    """

    def step(state: State, after: State) -> z3.BoolRef:
        preconditions = [state["searching"], z3.Not(state["defers_resets"])]
        for number in SIDES:
            reply = state[f"reply{number}"]
            no_owner_here = [reply == ABSENT, state[f"declared_dead{number}"]]
            if not waits_for_all_replies:
                no_owner_here.append(reply == NONE)
            preconditions.append(z3.Or(*no_owner_here))
        return _step(preconditions, state, after, searching=False, reset=True)

    return step


def _is_bad(state: State) -> z3.BoolRef:
    target_has_flow = z3.Or(
        *(state[f"target_has_flow{number}"] for number in SIDES)
    )
    return z3.And(state["reset"], target_has_flow)


def specification(
    unsure_after_restart: bool = True,
    receives_dead_members: bool = True,
    waits_for_all_replies: bool = True,
) -> bounded.Specification:
    """Returns the model, or a variant that lacks one of the rules.

    Args:
        unsure_after_restart: Whether a restarted side process treats its records
            as incomplete even if its target has restarted recently.
        receives_dead_members: Whether a balancer that joins receives which
            members the others have declared dead.
        waits_for_all_replies: Whether a flow is reset only after all side
            processes have replied.
    """
    actions: dict[str, bounded.Action] = {
        "restart_balancer": _restart_balancer(receives_dead_members),
        "stop_deferring_resets": _stop_deferring_resets,
        "start_search": _start_search,
        "find_owner": _find_owner,
        "end_search": _end_search(waits_for_all_replies),
    }
    for number in SIDES:
        actions[f"open{number}"] = _open(number)
        actions[f"restart_side{number}"] = _restart_side(
            number, unsure_after_restart
        )
        actions[f"restart_target{number}"] = _restart_target(number)
        actions[f"let_target_age{number}"] = _let_target_age(number)
        actions[f"pause{number}"] = _pause(number)
        actions[f"declare_dead{number}"] = _declare_dead(number)
        actions[f"resume{number}"] = _resume(number)
        actions[f"reply{number}"] = _reply(number)
        actions[f"probe{number}"] = _probe(number)
    return bounded.Specification(_variables(), _initial, actions, _is_bad)
