"""State charts, loaded from JSON files."""

import dataclasses
import functools
import json
import pathlib
import typing

import transitions

__all__ = ["Chart", "load", "machine"]


@dataclasses.dataclass(frozen=True)
class Chart:
    """A chart compiled to a transition table.

    It is for the packet path, where the callbacks of ``transitions.Machine``
    would be too slow.

    Attributes:
        initial: Initial state.
        next_state_by_transition: Next state by (state, trigger).
    """

    initial: str
    next_state_by_transition: dict[tuple[str, str], str]

    def next_state(self, state: str, trigger: str) -> str:
        """Returns the state that follows a trigger.

        Args:
            state: Current state.
            trigger: Name of the trigger.

        Raises:
            transitions.MachineError: The chart has no such transition.
        """
        next_state = self.next_state_by_transition.get((state, trigger))
        if next_state is None:
            raise transitions.MachineError(
                f"no transition {trigger} from state {state}"
            )
        return next_state


@functools.cache
def _document(name: str) -> dict[str, typing.Any]:
    path = pathlib.Path(__file__).with_name(f"{name}.json")
    content: dict[str, typing.Any] = json.loads(path.read_text("utf-8"))
    return content


def machine(name: str, subject: object) -> transitions.Machine:
    """Returns a state machine that controls the state of an object.

    Args:
        name: Name of the chart file without its extension.
        subject: Object to which the machine adds the attribute ``state`` and a
            method for each trigger.

    Raises:
        OSError: There is no such chart.
    """
    return transitions.Machine(
        model=subject, auto_transitions=False, **_document(name)
    )


@functools.cache
def load(name: str) -> Chart:
    """Returns a chart compiled to a transition table.

    Args:
        name: Name of the chart file without its extension.

    Raises:
        OSError: There is no such chart.

    Examples:
        >>> load("flow").next_state("opening", "later")
        'established'
    """
    interpreter = machine(name, _Subject())
    next_state_by_transition = {
        (transition.source, trigger): str(transition.dest)
        for trigger, event in interpreter.events.items()
        for transitions_by_source in event.transitions.values()
        for transition in transitions_by_source
    }
    return Chart(str(interpreter.initial), next_state_by_transition)


class _Subject:
    """Object that the machine controls while a chart is compiled."""
