"""Evacuations: no process goes back to an older state of the store.

The operator evacuates and restores a zone in the store, which may come back
from an older copy of a later era, with lower revisions that it assigns again.
Two processes read the store. A message carries a process's state to the other
one and may be delivered late, several times or never.

``read`` and ``receive`` stand for ``memberships.evacuations.EvacuationView``'s
``adopt``. Without ``adopts_only_newer`` or ``orders_by_era`` the model lacks a
rule of that method.
"""

import z3

from specs import bounded

__all__ = ["specification"]

PROCESSES = (0, 1)
State = bounded.State
Action = bounded.Action


def _variables() -> dict[str, z3.SortRef]:
    """Returns the sorts of the state variables.

    The store, the message and each process have an ``era``, a ``revision`` and
    whether the zone is ``evacuated``. ``newest_era`` and ``newest_revision``
    are the highest that a process ever had. ``current`` says whether a process
    has read the store since its last change.
    """
    variables: dict[str, z3.SortRef] = {}
    for holder in ("store", "message", *map(_process, PROCESSES)):
        variables[f"{holder}_era"] = z3.IntSort()
        variables[f"{holder}_revision"] = z3.IntSort()
        variables[f"{holder}_evacuated"] = z3.BoolSort()
    for number in PROCESSES:
        variables[f"newest_era{number}"] = z3.IntSort()
        variables[f"newest_revision{number}"] = z3.IntSort()
        variables[f"current{number}"] = z3.BoolSort()
    return variables


def _process(number: int) -> str:
    return f"process{number}"


def _fields(holder: str) -> tuple[str, str, str]:
    return f"{holder}_era", f"{holder}_revision", f"{holder}_evacuated"


def _initial(state: State) -> z3.BoolRef:
    constraints = [state["store_era"] == 1, state["store_revision"] == 3]
    for name, value in state.items():
        if name.startswith("store_") and name != "store_evacuated":
            continue
        if z3.is_bool(value):
            constraints.append(z3.Not(value))
        else:
            constraints.append(value == 0)
    return z3.And(*constraints)


def _outdate(after: State) -> list[z3.BoolRef]:
    return [z3.Not(after[f"current{number}"]) for number in PROCESSES]


def _operator_changes(state: State, after: State) -> z3.BoolRef:
    names = ["store_revision", "store_evacuated", "current0", "current1"]
    return z3.And(
        after["store_revision"] == state["store_revision"] + 1,
        after["store_evacuated"] == z3.Not(state["store_evacuated"]),
        *_outdate(after),
        bounded.unchanged(state, after, *names),
    )


def _store_restores_copy(state: State, after: State) -> z3.BoolRef:
    """The store comes back with an older revision and either value."""
    names = [*_fields("store"), "current0", "current1"]
    return z3.And(
        after["store_era"] == state["store_era"] + 1,
        after["store_revision"] >= 1,
        after["store_revision"] < state["store_revision"],
        *_outdate(after),
        bounded.unchanged(state, after, *names),
    )


def _is_later(
    era: z3.ExprRef,
    revision: z3.ExprRef,
    other_era: z3.ExprRef,
    other_revision: z3.ExprRef,
) -> z3.BoolRef:
    return z3.Or(
        era > other_era,
        z3.And(era == other_era, revision > other_revision),
    )


def _adopt(
    number: int, source: str, adopts_only_newer: bool, orders_by_era: bool
) -> Action:
    """A process adopts a state from the store or the message."""

    def step(state: State, after: State) -> z3.BoolRef:
        process = _process(number)
        own, offered = _fields(process), _fields(source)
        newest = (f"newest_era{number}", f"newest_revision{number}")
        newer = state[offered[1]] > state[own[1]]
        if orders_by_era:
            newer = _is_later(
                *(state[name] for name in (*offered[:2], *own[:2]))
            )
        adopts = newer if adopts_only_newer else z3.BoolVal(True)
        rises = _is_later(
            *(after[name] for name in own[:2]),
            *(state[name] for name in newest),
        )
        current = f"current{number}"
        is_current = z3.BoolVal(True) if source == "store" else state[current]
        return z3.And(
            state[offered[1]] > 0,
            *(
                after[mine] == z3.If(adopts, state[theirs], state[mine])
                for mine, theirs in zip(own, offered, strict=True)
            ),
            *(
                after[high] == z3.If(rises, after[mine], state[high])
                for high, mine in zip(newest, own[:2], strict=True)
            ),
            after[current] == is_current,
            bounded.unchanged(state, after, *own, *newest, current),
        )

    return step


def _send(number: int) -> Action:
    def step(state: State, after: State) -> z3.BoolRef:
        own, sent = _fields(_process(number)), _fields("message")
        return z3.And(
            *(
                after[theirs] == state[mine]
                for mine, theirs in zip(own, sent, strict=True)
            ),
            bounded.unchanged(state, after, *sent),
        )

    return step


def _is_bad(state: State) -> z3.BoolRef:
    violations = []
    for number in PROCESSES:
        process = _process(number)
        violations.append(
            _is_later(
                state[f"newest_era{number}"],
                state[f"newest_revision{number}"],
                state[f"{process}_era"],
                state[f"{process}_revision"],
            )
        )
        differs = state[f"{process}_evacuated"] != state["store_evacuated"]
        violations.append(z3.And(state[f"current{number}"], differs))
    return z3.Or(*violations)


def specification(
    adopts_only_newer: bool = True, orders_by_era: bool = True
) -> bounded.Specification:
    """Returns the model, or a variant that lacks one of the rules.

    Args:
        adopts_only_newer: Whether a process ignores older states.
        orders_by_era: Whether a later era outranks a higher revision.
    """
    actions: dict[str, Action] = {
        "operator_changes": _operator_changes,
        "store_restores_copy": _store_restores_copy,
    }
    for number in PROCESSES:
        actions[f"send{number}"] = _send(number)
        for name, source in (("read", "store"), ("receive", "message")):
            actions[f"{name}{number}"] = _adopt(
                number, source, adopts_only_newer, orders_by_era
            )
    return bounded.Specification(_variables(), _initial, actions, _is_bad)
