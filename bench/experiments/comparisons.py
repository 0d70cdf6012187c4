"""Differences between two sets of plays, pair by pair."""

import dataclasses
import math
import statistics

from scipy import stats

from bench.experiments import plays

__all__ = ["MEASURES", "Difference", "differences"]

MEASURES = ("worth", "served", "worst_windows", "prices")

CONFIDENCE = 0.95


@dataclasses.dataclass(frozen=True)
class Difference:
    """How far the second of each pair is above the first.

    Attributes:
        measure: Field of ``plays.Play``.
        first: Mean of the first ones.
        second: Mean of the second ones.
        mean: Mean difference.
        margin: Half of its 95% interval; NaN with a single pair.
    """

    measure: str
    first: float
    second: float
    mean: float
    margin: float


def differences(
    pairs: list[tuple[plays.Play, plays.Play]],
) -> list[Difference]:
    """Returns the differences in each measure.

    Args:
        pairs: Plays of the same day and seed, in the same minutes.

    Example:
        >>> def made(worth):
        ...     return plays.Play(worth, worth, worth, 0.0, None)
        >>> pairs = [(made(0.5), made(0.6)), (made(0.4), made(0.5))]
        >>> round(differences(pairs)[0].mean, 3)
        0.1
    """
    found = []
    for measure in MEASURES:
        first = [getattr(one, measure) for one, _ in pairs]
        second = [getattr(other, measure) for _, other in pairs]
        apart = [b - a for a, b in zip(first, second, strict=True)]
        found.append(
            Difference(
                measure,
                statistics.fmean(first),
                statistics.fmean(second),
                statistics.fmean(apart),
                _margin(apart),
            )
        )
    return found


def _margin(values: list[float]) -> float:
    if len(values) < 2:
        return math.nan
    error = stats.sem(values)
    if not error:
        return 0.0
    low, high = stats.t.interval(CONFIDENCE, len(values) - 1, 0.0, error)
    return float(high - low) / 2
