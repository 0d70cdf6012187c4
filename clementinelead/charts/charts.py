"""State charts read from data files."""

import dataclasses
import functools
import json
import pathlib
import typing

import transitions

__all__ = ["Chart", "load", "machine"]


@dataclasses.dataclass(frozen=True)
class Chart:
    """A chart compiled to a table, for paths too hot for callbacks.

    Attributes:
        initial: State that a subject starts in.
        target_by_step: Next state by (state, trigger).
    """

    initial: str
    next_state_by_step: dict[tuple[str, str], str]

    def next_state(self, state: str, trigger: str) -> str:
        """Returns the state that a trigger leads to.

        Raises:
            transitions.MachineError: The chart has no such step.
        """
        step = self.next_state_by_step.get((state, trigger))
        if step is None:
            raise transitions.MachineError(f"no step {trigger} from {state}")
        return step


@functools.cache
def _document(name: str) -> dict[str, typing.Any]:
    path = pathlib.Path(__file__).with_name(f"{name}.json")
    content: dict[str, typing.Any] = json.loads(path.read_text("utf-8"))
    return content


def machine(name: str, subject: object) -> transitions.Machine:
    """Returns a machine that moves ``subject`` through a chart.

    Args:
        name: Name of the chart file without its ending.
        subject: Object that gets a ``state`` and a method for each trigger.

    Raises:
        OSError: There is no such chart.
    """
    return transitions.Machine(
        model=subject, auto_transitions=False, **_document(name)
    )


@functools.cache
def load(name: str) -> Chart:
    """Returns a chart as a table.

    Args:
        name: Name of the chart file without its ending.

    Raises:
        OSError: There is no such chart.

    Examples:
        >>> load("flow").next_state("opening", "later")
        'established'
    """
    interpreted = machine(name, _Subject())
    target_by_step = {
        (step.source, trigger): str(step.dest)
        for trigger, event in interpreted.events.items()
        for steps in event.transitions.values()
        for step in steps
    }
    return Chart(str(interpreted.initial), target_by_step)


class _Subject:
    """Carries the machine while a chart is compiled."""
