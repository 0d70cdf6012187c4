"""What to make of a shedding target's hint when to come back.

One target sheds for a while, again and again; its side process reads a load
report each half second. Compared are obeying the hint, ignoring it, and
clamping it, with hints that are true, zero, an hour, or erratic, while the
reports go on and when they cease for a while after the first one.

References:
    "Handling Retry-After headers that lie": the kinds of hints, and clamping.
"""

import dataclasses
import random

from bench import results
from clementinelead.flows import loads

__all__ = ["hints"]

STEP_S = 0.05
REPORT_S = 0.5
ROUNDS = 40
ROUND_S = 60.0
SHED_S = (0.5, 8.0)
SILENCE_S = 30.0
HOUR_S = 3600.0
KEPT = "clamp"
KINDS = ("truthful", "zero", "overstated", "erratic")
BOUNDS = {
    "obey": loads.RetryAfterBounds(0.0, float("inf")),
    "ignore": loads.RetryAfterBounds(0.6, 0.6),
    "clamp": loads.RetryAfterBounds(),
}


@dataclasses.dataclass(frozen=True)
class _Score:
    """Seconds a round in which work was sent wrongly, or not sent."""

    early_s: float
    idle_s: float


def _hint(kind: str, left_s: float, generator: random.Random) -> float:
    if kind == "truthful":
        return left_s
    if kind == "zero":
        return 0.0
    if kind == "overstated":
        return HOUR_S
    return generator.choice((0.0, left_s, 10 * left_s, 300.0))


def _score(
    bounds: loads.RetryAfterBounds, kind: str, silent: bool, seed: int
) -> _Score:
    generator = random.Random(seed)
    early = idle = 0.0
    limits = loads.Limits(cold_start_s=0.0)
    for _ in range(ROUNDS):
        load = loads.LoadEstimate(limits, 0.0, bounds)
        recovery = generator.uniform(*SHED_S)
        now, next_report = 0.0, 0.0
        while now < ROUND_S:
            sheds = now < recovery
            quiet = silent and REPORT_S / 2 < now < SILENCE_S
            if now >= next_report and not quiet:
                next_report = now + REPORT_S
                left = max(0.0, recovery - now)
                load.apply_load_report(sheds, _hint(kind, left, generator), now)
            accepts = load.check_admission(now, last_resort=False).allowed
            early += STEP_S * (accepts and sheds)
            idle += STEP_S * (not accepts and not sheds)
            now += STEP_S
    return _Score(round(early / ROUNDS, 2), round(idle / ROUNDS, 2))


def hints(seed: int) -> results.Result:
    """Early and idle seconds a round, by policy, hint and reports.

    Misses its bound if the policy in use is not the one with the least worst
    case, and among equals the least sum.
    """
    figures: dict[str, object] = {}
    worst = dict.fromkeys(BOUNDS, 0.0)
    total = dict.fromkeys(BOUNDS, 0.0)
    for policy, bounds in BOUNDS.items():
        for kind in KINDS:
            for silent in (False, True):
                score = _score(bounds, kind, silent, seed)
                name = f"{policy}/{kind}/{'silent' if silent else 'reports'}"
                figures[name] = dataclasses.asdict(score)
                wrong_s = score.early_s + score.idle_s
                worst[policy] = max(worst[policy], wrong_s)
                total[policy] = round(total[policy] + wrong_s, 2)
    figures["worst_s"] = worst
    figures["total_s"] = total
    best = min(BOUNDS, key=lambda policy: (worst[policy], total[policy]))
    missed = () if best == KEPT else (KEPT,)
    return results.Result(figures, missed)
