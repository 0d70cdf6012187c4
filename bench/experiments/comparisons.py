"""Paired differences between two sets of plays."""

import dataclasses
import math
import statistics

from scipy import stats

from bench.experiments import plays

__all__ = ["MEASURES", "Difference", "differences"]

MEASURES = ("worth", "served", "worst_windows", "prices")

CONFIDENCE_LEVEL = 0.95


@dataclasses.dataclass(frozen=True)
class Difference:
    """Paired difference in one measure, second minus first.

    Attributes:
        measure: Field of ``plays.Play``.
        first: Mean of the first plays.
        second: Mean of the second plays.
        mean: Mean difference.
        margin: Half of its 95% confidence interval; NaN with a single pair.
    """

    measure: str
    first: float
    second: float
    mean: float
    margin: float


def differences(
    pairs: list[tuple[plays.Play, plays.Play]],
) -> list[Difference]:
    """Returns the paired differences, one for each measure.

    Args:
        pairs: Plays of the same day and seed, run at the same time.

    Example:
        >>> def make_play(worth):
        ...     return plays.Play(worth, worth, worth, 0.0, None)
        >>> pairs = [
        ...     (make_play(0.5), make_play(0.6)),
        ...     (make_play(0.4), make_play(0.5)),
        ... ]
        >>> round(differences(pairs)[0].mean, 3)
        0.1
    """
    results = []
    for measure in MEASURES:
        first = [getattr(play, measure) for play, _ in pairs]
        second = [getattr(play, measure) for _, play in pairs]
        changes = [b - a for a, b in zip(first, second, strict=True)]
        results.append(
            Difference(
                measure,
                statistics.fmean(first),
                statistics.fmean(second),
                statistics.fmean(changes),
                _margin(changes),
            )
        )
    return results


def _margin(values: list[float]) -> float:
    if len(values) < 2:
        return math.nan
    standard_error = stats.sem(values)
    if not standard_error:
        return 0.0
    low, high = stats.t.interval(
        CONFIDENCE_LEVEL, len(values) - 1, 0.0, standard_error
    )
    return float(high - low) / 2
