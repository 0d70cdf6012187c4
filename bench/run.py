"""Runs a scenario by name; the last line is one JSON object."""

import json
import sys
import typing

import typer

from bench import results
from bench import throughput
from bench.scenarios import changes
from bench.scenarios import configs
from bench.scenarios import hints
from bench.scenarios import loads
from bench.scenarios import memberships
from bench.scenarios import overload
from bench.scenarios import relays
from bench.scenarios import services
from bench.scenarios import slopes

__all__ = ["SCENARIOS", "main"]


def _throughput(seed: int) -> results.Result:
    """Packets a second against a bare relay, new flows, flows held."""
    figures = throughput.run(seed)
    return results.Result(figures, tuple(throughput.missed(figures)))


SCENARIOS: dict[str, typing.Callable[[int], results.Result]] = {
    "config": configs.config,
    "crash": changes.crash,
    "drain": changes.drain,
    "evacuation": changes.evacuation,
    "hints": hints.hints,
    "liars": changes.liars,
    "load70": loads.load70,
    "load90": loads.load90,
    "load90-one-slot": loads.load90_one_slot,
    "outage": configs.outage,
    "overload": overload.overload,
    "overload150": loads.overload150,
    "membership": memberships.membership,
    "partition": memberships.partition,
    "pause": changes.pause,
    "race": configs.race,
    "relays": relays.relays,
    "removal": services.removal,
    "rolling": changes.rolling,
    "shares": services.shares,
    "slopes": slopes.slopes,
    "steady": loads.steady,
    "throughput": _throughput,
    "udp": changes.udp,
    "uneven": changes.uneven,
    "zone-loss": memberships.zone_loss,
}


def main(
    scenario: typing.Annotated[
        str, typer.Argument(help=", ".join(sorted(SCENARIOS)))
    ],
    seed: typing.Annotated[int, typer.Option()] = 1,
) -> None:
    """Runs one scenario; exit status 1 if it misses a bound."""
    function = SCENARIOS.get(scenario)
    if function is None:
        names = ", ".join(sorted(SCENARIOS))
        print(f"{scenario}: unknown (allowed: {names})", file=sys.stderr)
        raise typer.Exit(2)
    result = function(seed)
    line = {"scenario": scenario, "seed": seed, **result.figures}
    print(json.dumps({**line, "missed": list(result.missed)}))
    if result.missed:
        raise typer.Exit(1)


if __name__ == "__main__":
    typer.run(main)
