"""Bounded model checking: is a bad state within a number of steps?"""

import collections.abc
import dataclasses

import z3

__all__ = ["Action", "Specification", "State", "counterexample"]

State = dict[str, z3.ExprRef]
Action = collections.abc.Callable[[State, State], z3.BoolRef]


@dataclasses.dataclass(frozen=True)
class Specification:
    """A transition system.

    Attributes:
        variables: Sort of each state variable.
        initial: Constraint on the first state.
        actions: Named steps; each gets a state and the next one.
        bad: What must never hold.
    """

    variables: dict[str, z3.SortRef]
    initial: collections.abc.Callable[[State], z3.BoolRef]
    actions: dict[str, Action]
    bad: collections.abc.Callable[[State], z3.BoolRef]


def _state(specification: Specification, step: int) -> State:
    return {
        name: z3.Const(f"{name}@{step}", sort)
        for name, sort in specification.variables.items()
    }


def unchanged(before: State, after: State, *but: str) -> z3.BoolRef:
    """Returns that all variables keep their value, except some."""
    return z3.And(
        *(after[name] == before[name] for name in before if name not in but)
    )


def counterexample(
    specification: Specification, depth: int
) -> list[str] | None:
    """Returns the actions that lead to a bad state, or None.

    Args:
        specification: The transition system.
        depth: Number of steps to look ahead.
    """
    solver = z3.Solver()
    state = _state(specification, 0)
    solver.add(specification.initial(state))
    names = list(specification.actions)
    choices = []
    for step in range(1, depth + 1):
        after = _state(specification, step)
        choice = z3.Int(f"action@{step}")
        choices.append(choice)
        solver.add(
            z3.Or(
                *(
                    z3.And(
                        choice == number,
                        specification.actions[name](state, after),
                    )
                    for number, name in enumerate(names)
                )
            )
        )
        state = after
        solver.push()
        solver.add(specification.bad(state))
        if solver.check() == z3.sat:
            model = solver.model()
            return [names[model[item].as_long()] for item in choices]
        solver.pop()
    return None
