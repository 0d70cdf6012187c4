"""The head of the configuration: changes apply once, and none is reverted.

Two operators make one change each. An operator reads the head and sends a
compare-and-swap, whose answer may be lost. It may read and send again, or time
out and settle the change later; a swap that has timed out may still reach the
store. One process watches the head and adopts the revisions that it reads,
possibly late, as it may be paused with an old answer.

The actions ``read_configuration``, ``watch_head`` and ``settle`` are named like
methods of ``configurations.repositories.Repository``. Without
``settles_by_writing`` or ``reads_before_retry`` the model lacks a rule of the
protocol, without ``adopts_only_higher`` the rule of ``configurations.adoption``.
"""

import z3

from specs import bounded

__all__ = ["specification"]

OPERATORS = (0, 1)
IDLE, READ, SENT, ACCEPTED, REJECTED, UNKNOWN = range(6)
"""Phases of an operator's change."""

State = bounded.State
Action = bounded.Action


def _variables() -> dict[str, z3.SortRef]:
    """Returns the sorts of the state variables.

    ``index`` and ``revision`` are those of the head in the store.
    ``watched_revision`` is the last answer of the watch, ``adopted_revision``
    the one in force at the process and ``highest_revision`` the highest that
    was ever in force there. Each operator has a ``phase``, the index that it
    has read (``read_index``), the number of times that its change was applied
    (``applied``), and two swaps that may be in flight, ``latest_swap`` and
    ``earlier_swap``, with the index that they expect.
    """
    integer = z3.IntSort()
    boolean = z3.BoolSort()
    variables: dict[str, z3.SortRef] = {
        "index": integer,
        "revision": integer,
        "watched_revision": integer,
        "adopted_revision": integer,
        "highest_revision": integer,
    }
    for number in OPERATORS:
        variables[f"phase{number}"] = integer
        variables[f"read_index{number}"] = integer
        variables[f"applied{number}"] = integer
        for swap in ("latest_swap", "earlier_swap"):
            variables[f"{swap}{number}"] = boolean
            variables[f"{swap}_index{number}"] = integer
    return variables


def _initial(state: State) -> z3.BoolRef:
    constraints = [
        state["index"] == 1,
        *(
            state[name] == 0
            for name in (
                "revision",
                "watched_revision",
                "adopted_revision",
                "highest_revision",
            )
        ),
    ]
    for number in OPERATORS:
        for name in (
            "phase",
            "read_index",
            "applied",
            "latest_swap_index",
            "earlier_swap_index",
        ):
            constraints.append(state[f"{name}{number}"] == 0)
        constraints.append(z3.Not(state[f"latest_swap{number}"]))
        constraints.append(z3.Not(state[f"earlier_swap{number}"]))
    return z3.And(*constraints)


def _read_configuration(number: int, reads_before_retry: bool) -> Action:
    """An operator reads the head, which may contain its change already."""

    def step(state: State, after: State) -> z3.BoolRef:
        phase, read_index = f"phase{number}", f"read_index{number}"
        already_applied = state[f"applied{number}"] > 0
        if not reads_before_retry:
            already_applied = z3.BoolVal(False)
        return z3.And(
            z3.Or(state[phase] == IDLE, state[phase] == SENT),
            after[read_index] == state["index"],
            after[phase] == z3.If(already_applied, ACCEPTED, READ),
            bounded.unchanged(state, after, phase, read_index),
        )

    return step


def _swap(number: int) -> Action:
    """An operator sends a swap; an earlier one may still be in flight."""

    def step(state: State, after: State) -> z3.BoolRef:
        phase = f"phase{number}"
        names = [f"latest_swap{number}", f"latest_swap_index{number}"]
        names += [f"earlier_swap{number}", f"earlier_swap_index{number}"]
        return z3.And(
            state[phase] == READ,
            after[phase] == SENT,
            after[names[0]],
            after[names[1]] == state[f"read_index{number}"],
            after[names[2]] == state[names[0]],
            after[names[3]] == state[names[1]],
            bounded.unchanged(state, after, phase, *names),
        )

    return step


def _store_handles_swap(number: int, swap: str, answered: bool) -> Action:
    """The store applies or rejects a swap; its answer may be lost."""

    def step(state: State, after: State) -> z3.BoolRef:
        name, phase = f"{swap}{number}", f"phase{number}"
        applied = f"applied{number}"
        matches = state[f"{swap}_index{number}"] == state["index"]
        awaits_answer = z3.And(state[phase] == SENT, swap == "latest_swap")
        receives_answer = z3.And(z3.BoolVal(answered), awaits_answer)
        next_phase = z3.If(matches, ACCEPTED, IDLE)
        return z3.And(
            state[name],
            z3.Not(after[name]),
            after["index"] == state["index"] + z3.If(matches, 1, 0),
            after["revision"] == state["revision"] + z3.If(matches, 1, 0),
            after[applied] == state[applied] + z3.If(matches, 1, 0),
            after[phase] == z3.If(receives_answer, next_phase, state[phase]),
            bounded.unchanged(
                state, after, name, "index", "revision", applied, phase
            ),
        )

    return step


def _time_out(number: int) -> Action:
    def step(state: State, after: State) -> z3.BoolRef:
        phase = f"phase{number}"
        return z3.And(
            state[phase] == SENT,
            after[phase] == UNKNOWN,
            bounded.unchanged(state, after, phase),
        )

    return step


def _settle(number: int, settles_by_writing: bool) -> Action:
    """An operator determines whether its change was applied."""

    def step(state: State, after: State) -> z3.BoolRef:
        phase = f"phase{number}"
        applied = state[f"applied{number}"] > 0
        index_increment = (
            z3.If(applied, 0, 1) if settles_by_writing else z3.IntVal(0)
        )
        return z3.And(
            state[phase] == UNKNOWN,
            after[phase] == z3.If(applied, ACCEPTED, REJECTED),
            after["index"] == state["index"] + index_increment,
            bounded.unchanged(state, after, phase, "index"),
        )

    return step


def _watch_head(state: State, after: State) -> z3.BoolRef:
    return z3.And(
        after["watched_revision"] == state["revision"],
        bounded.unchanged(state, after, "watched_revision"),
    )


def _adopt(adopts_only_higher: bool) -> Action:
    """The process adopts the watched revision, or a higher one stays in force.

    A higher one may have come from a peer.
    """

    def step(state: State, after: State) -> z3.BoolRef:
        higher = state["watched_revision"] > state["adopted_revision"]
        adopts = higher if adopts_only_higher else z3.BoolVal(True)
        adopted_revision = z3.If(
            adopts, state["watched_revision"], state["adopted_revision"]
        )
        highest_revision = z3.If(
            adopted_revision > state["highest_revision"],
            adopted_revision,
            state["highest_revision"],
        )
        return z3.And(
            after["adopted_revision"] == adopted_revision,
            after["highest_revision"] == highest_revision,
            bounded.unchanged(
                state, after, "adopted_revision", "highest_revision"
            ),
        )

    return step


def _adopt_from_peer(state: State, after: State) -> z3.BoolRef:
    return z3.And(
        state["revision"] > state["adopted_revision"],
        after["adopted_revision"] == state["revision"],
        after["highest_revision"] == state["revision"],
        bounded.unchanged(state, after, "adopted_revision", "highest_revision"),
    )


def _is_bad(state: State) -> z3.BoolRef:
    violations = [state["adopted_revision"] < state["highest_revision"]]
    for number in OPERATORS:
        applied, phase = state[f"applied{number}"], state[f"phase{number}"]
        violations.append(applied > 1)
        violations.append(z3.And(phase == ACCEPTED, applied == 0))
        violations.append(z3.And(phase == REJECTED, applied > 0))
    return z3.Or(*violations)


def specification(
    settles_by_writing: bool = True,
    reads_before_retry: bool = True,
    adopts_only_higher: bool = True,
) -> bounded.Specification:
    """Returns the model, or a variant that lacks one of the rules.

    Args:
        settles_by_writing: Whether ``settle`` writes the head before it
            reports a change as rejected, so that a swap in flight fails.
        reads_before_retry: Whether a retry first checks if its change is applied.
        adopts_only_higher: Whether the process ignores lower revisions.
    """
    actions: dict[str, Action] = {
        "watch_head": _watch_head,
        "adopt": _adopt(adopts_only_higher),
        "adopt_from_peer": _adopt_from_peer,
    }
    for number in OPERATORS:
        actions[f"read_configuration{number}"] = _read_configuration(
            number, reads_before_retry
        )
        actions[f"swap{number}"] = _swap(number)
        for swap in ("latest_swap", "earlier_swap"):
            for answered in (True, False):
                name = f"store_{swap}{number}_{answered}"
                actions[name] = _store_handles_swap(number, swap, answered)
        actions[f"time_out{number}"] = _time_out(number)
        actions[f"settle{number}"] = _settle(number, settles_by_writing)
    return bounded.Specification(_variables(), _initial, actions, _is_bad)
