"""Bounded model checking: searches for a bad state within some steps."""

import collections.abc
import dataclasses

import z3

__all__ = [
    "Action",
    "Specification",
    "State",
    "counterexample",
    "unchanged",
]

State = dict[str, z3.ExprRef]
"""The z3 constant of each state variable, by name."""

Action = collections.abc.Callable[[State, State], z3.BoolRef]
"""Returns the transition relation of a step, from a state and the next."""


@dataclasses.dataclass(frozen=True)
class Specification:
    """A transition system.

    Attributes:
        variables: Sort of each state variable.
        initial: Constraint on the first state.
        actions: Transition relation of each kind of step, by name.
        bad: Condition of the states that must be unreachable; the negation
            of the invariant.
    """

    variables: dict[str, z3.SortRef]
    initial: collections.abc.Callable[[State], z3.BoolRef]
    actions: dict[str, Action]
    bad: collections.abc.Callable[[State], z3.BoolRef]


def _state_at(specification: Specification, step: int) -> State:
    return {
        name: z3.Const(f"{name}@{step}", sort)
        for name, sort in specification.variables.items()
    }


def unchanged(before: State, after: State, *excepted: str) -> z3.BoolRef:
    """Returns the constraint that variables keep their values in a step.

    Args:
        before: State before the step.
        after: State after it.
        *excepted: Names of variables that are not constrained.
    """
    return z3.And(
        *(
            after[name] == before[name]
            for name in before
            if name not in excepted
        )
    )


def counterexample(
    specification: Specification, depth: int
) -> list[str] | None:
    """Returns the shortest sequence of actions that leads to a bad state.

    None if there is no such sequence within the depth. The initial state is not
    checked.

    Args:
        specification: The transition system.
        depth: Largest number of steps.
    """
    solver = z3.Solver()
    state = _state_at(specification, 0)
    solver.add(specification.initial(state))
    action_names = list(specification.actions)
    choices = []
    for step in range(1, depth + 1):
        after = _state_at(specification, step)
        choice = z3.Int(f"action@{step}")
        choices.append(choice)
        solver.add(
            z3.Or(
                *(
                    z3.And(
                        choice == number,
                        specification.actions[name](state, after),
                    )
                    for number, name in enumerate(action_names)
                )
            )
        )
        state = after
        solver.push()
        solver.add(specification.bad(state))
        if solver.check() == z3.sat:
            model = solver.model()
            return [action_names[model[choice].as_long()] for choice in choices]
        solver.pop()
    return None
