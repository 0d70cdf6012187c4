"""Figures and plots of replays."""

import dataclasses

import numpy as np

from clementinelead.replays import calls
from clementinelead.replays import simulations

__all__ = ["Summary", "plot", "share_within_objective", "summarize"]

PLOT_STEP_S = 0.5
_SPARKS = " ▁▂▃▄▅▆▇█"


@dataclasses.dataclass(frozen=True)
class Summary:
    """Figures of one kind of request.

    Attributes:
        kind: Its name.
        requests: Requests.
        within_objective: Share served within the latency objective.
        late: Share served later.
        refused: Share turned away, and not run.
        failed: Share that failed or was never answered.
        p50_ms: Median time of those served, milliseconds; NaN if none was.
        p99_ms: Its 99th percentile, milliseconds.
        p99_refusal_ms: The same of the time until a refusal.
        max_to_mean_load: Work of the busiest target over the mean.
    """

    kind: str
    requests: int
    within_objective: float
    late: float
    refused: float
    failed: float
    p50_ms: float
    p99_ms: float
    p99_refusal_ms: float
    max_to_mean_load: float


def _percentile_ms(durations: list[float], percent: float) -> float:
    if not durations:
        return float("nan")
    return float(np.percentile(durations, percent)) * 1000


def summarize(run: simulations.Replay) -> tuple[Summary, ...]:
    """Returns the figures of a replay, by kind of request."""
    counts = np.array(list(run.served_by_target.values()) or [0])
    mean = counts.mean()
    max_to_mean_load = float(counts.max() / mean) if mean else float("nan")
    found = []
    for kind in run.load.kinds:
        ended = [one for one in run.outcomes if one.arrival.kind == kind.name]
        by_result: dict[calls.Result, list[float]] = {
            result: [one.duration_s for one in ended if one.result is result]
            for result in calls.Result
        }
        served = by_result[calls.Result.SERVED]
        refused = by_result[calls.Result.REFUSED]
        total = max(1, len(ended))
        timely = sum(duration <= kind.objective_s for duration in served)
        found.append(
            Summary(
                kind=kind.name,
                requests=len(ended),
                within_objective=timely / total,
                late=(len(served) - timely) / total,
                refused=len(refused) / total,
                failed=(len(ended) - len(served) - len(refused)) / total,
                p50_ms=_percentile_ms(served, 50),
                p99_ms=_percentile_ms(served, 99),
                p99_refusal_ms=_percentile_ms(refused, 99),
                max_to_mean_load=max_to_mean_load,
            )
        )
    return tuple(found)


def share_within_objective(
    run: simulations.Replay, from_s: float, to_s: float
) -> float:
    """Returns the share of requests served within their objectives.

    Args:
        run: The replay.
        from_s: When the first of these requests may be sent, seconds.
        to_s: When all of them have been sent, seconds.
    """
    kinds = run.load.kind_by_name
    sent = [one for one in run.outcomes if from_s <= one.arrival.at_s < to_s]
    timely = sum(
        one.result is calls.Result.SERVED
        and one.duration_s <= kinds[one.arrival.kind].objective_s
        for one in sent
    )
    return timely / max(1, len(sent))


def plot(run: simulations.Replay) -> str:
    """Returns a line with the share served in time, a sign a half second.

    Full height is all of them.

    Args:
        run: The replay.
    """
    kinds = run.load.kind_by_name
    asked_at = np.array([one.arrival.at_s for one in run.outcomes])
    timely = np.array(
        [
            one.result is calls.Result.SERVED
            and one.duration_s <= kinds[one.arrival.kind].objective_s
            for one in run.outcomes
        ],
        dtype=float,
    )
    if not len(asked_at):
        return ""
    edges = np.arange(0.0, asked_at.max() + PLOT_STEP_S, PLOT_STEP_S)
    asked, _ = np.histogram(asked_at, edges)
    served, _ = np.histogram(asked_at, edges, weights=timely)
    shares = served / np.maximum(asked, 1)
    return "".join(
        _SPARKS[round(share * (len(_SPARKS) - 1))] for share in shares
    )
