"""The head of the configuration: accepted exactly once, never reverted.

Two operators make a change each. An operator reads the head, sends a swap and
may lose its answer; it may send again after reading; it may give up and
settle later. A swap whose answer was given up may still reach the store. One
process watches the head and adopts what it reads, perhaps late: a holder of an
old answer that was paused.

The actions are named like ``configurations.repositories.Repository``'s
methods. ``settles_by_writing`` and ``reads_before_retry`` switch off what the
protocol relies on; ``adopts_only_higher`` switches off the rule of
``configurations.adoption``.
"""

import z3

from specs import bounded

__all__ = ["specification"]

OPERATORS = (0, 1)
IDLE, READ, SENT, ACCEPTED, REJECTED, UNKNOWN = range(6)

State = bounded.State
Action = bounded.Action


def _variables() -> dict[str, z3.SortRef]:
    integer = z3.IntSort()
    boolean = z3.BoolSort()
    variables: dict[str, z3.SortRef] = {
        "index": integer,
        "revision": integer,
        "answer": integer,
        "adopted": integer,
        "highest": integer,
    }
    for number in OPERATORS:
        variables[f"phase{number}"] = integer
        variables[f"read{number}"] = integer
        variables[f"made{number}"] = integer
        for slot in ("new", "old"):
            variables[f"{slot}{number}"] = boolean
            variables[f"{slot}_index{number}"] = integer
    return variables


def _initial(state: State) -> z3.BoolRef:
    constraints = [
        state["index"] == 1,
        *(
            state[name] == 0
            for name in ("revision", "answer", "adopted", "highest")
        ),
    ]
    for number in OPERATORS:
        for name in ("phase", "read", "made", "new_index", "old_index"):
            constraints.append(state[f"{name}{number}"] == 0)
        constraints.append(z3.Not(state[f"new{number}"]))
        constraints.append(z3.Not(state[f"old{number}"]))
    return z3.And(*constraints)


def _configuration(number: int, reads_before_retry: bool) -> Action:
    """The operator reads the head; its change may be there already."""

    def step(state: State, after: State) -> z3.BoolRef:
        phase, read = f"phase{number}", f"read{number}"
        found = state[f"made{number}"] > 0
        if not reads_before_retry:
            found = z3.BoolVal(False)
        return z3.And(
            z3.Or(state[phase] == IDLE, state[phase] == SENT),
            after[read] == state["index"],
            after[phase] == z3.If(found, ACCEPTED, READ),
            bounded.unchanged(state, after, phase, read),
        )

    return step


def _swap(number: int) -> Action:
    """The operator sends a swap; an earlier one may still be under way."""

    def step(state: State, after: State) -> z3.BoolRef:
        phase = f"phase{number}"
        names = [f"new{number}", f"new_index{number}"]
        names += [f"old{number}", f"old_index{number}"]
        return z3.And(
            state[phase] == READ,
            after[phase] == SENT,
            after[names[0]],
            after[names[1]] == state[f"read{number}"],
            after[names[2]] == state[names[0]],
            after[names[3]] == state[names[1]],
            bounded.unchanged(state, after, phase, *names),
        )

    return step


def _store(number: int, slot: str, answered: bool) -> Action:
    """The store handles a swap; its answer may be lost."""

    def step(state: State, after: State) -> z3.BoolRef:
        name, phase = f"{slot}{number}", f"phase{number}"
        made = f"made{number}"
        hit = state[f"{slot}_index{number}"] == state["index"]
        listening = z3.And(state[phase] == SENT, slot == "new")
        heard = z3.And(z3.BoolVal(answered), listening)
        next_phase = z3.If(hit, ACCEPTED, IDLE)
        return z3.And(
            state[name],
            z3.Not(after[name]),
            after["index"] == state["index"] + z3.If(hit, 1, 0),
            after["revision"] == state["revision"] + z3.If(hit, 1, 0),
            after[made] == state[made] + z3.If(hit, 1, 0),
            after[phase] == z3.If(heard, next_phase, state[phase]),
            bounded.unchanged(
                state, after, name, "index", "revision", made, phase
            ),
        )

    return step


def _give_up(number: int) -> Action:
    def step(state: State, after: State) -> z3.BoolRef:
        phase = f"phase{number}"
        return z3.And(
            state[phase] == SENT,
            after[phase] == UNKNOWN,
            bounded.unchanged(state, after, phase),
        )

    return step


def _settle(number: int, settles_by_writing: bool) -> Action:
    """The operator asks whether its change was made."""

    def step(state: State, after: State) -> z3.BoolRef:
        phase = f"phase{number}"
        made = state[f"made{number}"] > 0
        bump = z3.If(made, 0, 1) if settles_by_writing else z3.IntVal(0)
        return z3.And(
            state[phase] == UNKNOWN,
            after[phase] == z3.If(made, ACCEPTED, REJECTED),
            after["index"] == state["index"] + bump,
            bounded.unchanged(state, after, phase, "index"),
        )

    return step


def _watch(state: State, after: State) -> z3.BoolRef:
    return z3.And(
        after["answer"] == state["revision"],
        bounded.unchanged(state, after, "answer"),
    )


def _adopt(adopts_only_higher: bool) -> Action:
    """A process takes over an answer; a peer's may have come before."""

    def step(state: State, after: State) -> z3.BoolRef:
        higher = state["answer"] > state["adopted"]
        taken = higher if adopts_only_higher else z3.BoolVal(True)
        adopted = z3.If(taken, state["answer"], state["adopted"])
        highest = z3.If(adopted > state["highest"], adopted, state["highest"])
        return z3.And(
            after["adopted"] == adopted,
            after["highest"] == highest,
            bounded.unchanged(state, after, "adopted", "highest"),
        )

    return step


def _adopt_from_peer(state: State, after: State) -> z3.BoolRef:
    return z3.And(
        state["revision"] > state["adopted"],
        after["adopted"] == state["revision"],
        after["highest"] == state["revision"],
        bounded.unchanged(state, after, "adopted", "highest"),
    )


def _bad(state: State) -> z3.BoolRef:
    wrong = [state["adopted"] < state["highest"]]
    for number in OPERATORS:
        made, phase = state[f"made{number}"], state[f"phase{number}"]
        wrong.append(made > 1)
        wrong.append(z3.And(phase == ACCEPTED, made == 0))
        wrong.append(z3.And(phase == REJECTED, made > 0))
    return z3.Or(*wrong)


def specification(
    settles_by_writing: bool = True,
    reads_before_retry: bool = True,
    adopts_only_higher: bool = True,
) -> bounded.Specification:
    """Returns the protocol, or a variant that lacks one of its rules.

    Args:
        settles_by_writing: Whether ``settle`` writes the head before it calls
            a change rejected.
        reads_before_retry: Whether a retry looks for its own change first.
        adopts_only_higher: Whether a process ignores lower revisions.
    """
    actions: dict[str, Action] = {
        "watch": _watch,
        "adopt": _adopt(adopts_only_higher),
        "adopt_from_peer": _adopt_from_peer,
    }
    for number in OPERATORS:
        actions[f"configuration{number}"] = _configuration(
            number, reads_before_retry
        )
        actions[f"swap{number}"] = _swap(number)
        for slot in ("new", "old"):
            for answered in (True, False):
                name = f"store_{slot}{number}_{answered}"
                actions[name] = _store(number, slot, answered)
        actions[f"give_up{number}"] = _give_up(number)
        actions[f"settle{number}"] = _settle(number, settles_by_writing)
    return bounded.Specification(_variables(), _initial, actions, _bad)
