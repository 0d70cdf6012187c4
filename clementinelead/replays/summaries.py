"""Statistics and plots of simulation results."""

import dataclasses

import numpy as np

from clementinelead.replays import calls
from clementinelead.replays import simulations

__all__ = ["Summary", "plot", "share_within_objective", "summarize", "worth"]

PLOT_STEP_S = 0.5
"""Time that outcome character of a plot stands for, seconds."""

_BAR_CHARACTERS = " ▁▂▃▄▅▆▇█"


@dataclasses.dataclass(frozen=True)
class Summary:
    """Statistics of the requests of outcome kind.

    Attributes:
        kind: Name of the kind.
        requests: Number of requests.
        within_objective: Share served within the latency objective.
        late: Share served after it.
        refused: Share refused, and not run.
        failed: Share that failed or was not answered before its timeout.
        p50_ms: Median latency of those served, milliseconds; NaN if none was.
        p90_ms: 90th percentile of it, milliseconds.
        p99_ms: 99th percentile of it, milliseconds.
        p99_refusal_ms: 99th percentile of the time from arrival to refusal,
            milliseconds; NaN if none was refused.
        worth: Mean worth of a request, as a share of an answer in time.
        max_to_mean_load: Requests accepted by the busiest target, over the mean
            of all targets; of all kinds together. NaN if there were none.
    """

    kind: str
    requests: int
    within_objective: float
    late: float
    refused: float
    failed: float
    p50_ms: float
    p90_ms: float
    p99_ms: float
    p99_refusal_ms: float
    worth: float
    max_to_mean_load: float


def _percentile_ms(durations: list[float], percent: float) -> float:
    if not durations:
        return float("nan")
    return float(np.percentile(durations, percent)) * 1000


def summarize(run: simulations.Replay) -> tuple[Summary, ...]:
    """Returns the statistics of each kind of request.

    Args:
        run: The results.
    """
    counts = np.array(list(run.served_by_target.values()) or [0])
    mean = counts.mean()
    max_to_mean_load = float(counts.max() / mean) if mean else float("nan")
    rows = []
    for kind in run.load.kinds:
        ended = [
            outcome
            for outcome in run.outcomes
            if outcome.arrival.kind == kind.name
        ]
        durations_by_result: dict[calls.Result, list[float]] = {
            result: [
                outcome.duration_s
                for outcome in ended
                if outcome.result is result
            ]
            for result in calls.Result
        }
        served = durations_by_result[calls.Result.SERVED]
        refused = durations_by_result[calls.Result.REFUSED]
        total = max(1, len(ended))
        timely = sum(duration <= kind.objective_s for duration in served)
        rows.append(
            Summary(
                kind=kind.name,
                requests=len(ended),
                within_objective=timely / total,
                late=(len(served) - timely) / total,
                refused=len(refused) / total,
                failed=(len(ended) - len(served) - len(refused)) / total,
                p50_ms=_percentile_ms(served, 50),
                p90_ms=_percentile_ms(served, 90),
                p99_ms=_percentile_ms(served, 99),
                p99_refusal_ms=_percentile_ms(refused, 99),
                worth=(timely + kind.late_worth * (len(served) - timely))
                / total,
                max_to_mean_load=max_to_mean_load,
            )
        )
    return tuple(rows)


def worth(run: simulations.Replay) -> float:
    """Returns the worth of the answers as a share of the largest possible.

    Args:
        run: The results.
    """
    kind_by_name = run.load.kind_by_name
    earned = owed = 0.0
    for outcome in run.outcomes:
        kind = kind_by_name[outcome.arrival.kind]
        owed += kind.worth
        if outcome.result is calls.Result.SERVED:
            late = outcome.duration_s > kind.objective_s
            earned += kind.worth * (kind.late_worth if late else 1.0)
    return earned / owed if owed else float("nan")


def share_within_objective(
    run: simulations.Replay, from_s: float, to_s: float
) -> float:
    """Returns the share of requests served within their latency objectives.

    Args:
        run: The results.
        from_s: Earliest arrival of the requests to count, seconds.
        to_s: Time before which they arrive, seconds.
    """
    kinds = run.load.kind_by_name
    sent = [
        outcome
        for outcome in run.outcomes
        if from_s <= outcome.arrival.at_s < to_s
    ]
    timely = sum(
        outcome.result is calls.Result.SERVED
        and outcome.duration_s <= kinds[outcome.arrival.kind].objective_s
        for outcome in sent
    )
    return timely / max(1, len(sent))


def plot(run: simulations.Replay) -> str:
    """Returns a bar chart, outcome line high, of the share served in time.

    Each character stands for ``PLOT_STEP_S`` of arrivals; a full bar is a
    share of 1. Empty if there are no outcomes.

    Args:
        run: The results.
    """
    kinds = run.load.kind_by_name
    arrival_times_s = np.array(
        [outcome.arrival.at_s for outcome in run.outcomes]
    )
    timely = np.array(
        [
            outcome.result is calls.Result.SERVED
            and outcome.duration_s <= kinds[outcome.arrival.kind].objective_s
            for outcome in run.outcomes
        ],
        dtype=float,
    )
    if not len(arrival_times_s):
        return ""
    edges = np.arange(0.0, arrival_times_s.max() + PLOT_STEP_S, PLOT_STEP_S)
    requests, _ = np.histogram(arrival_times_s, edges)
    served, _ = np.histogram(arrival_times_s, edges, weights=timely)
    shares = served / np.maximum(requests, 1)
    return "".join(
        _BAR_CHARACTERS[round(share * (len(_BAR_CHARACTERS) - 1))]
        for share in shares
    )
