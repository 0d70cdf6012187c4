"""Counts from outside the system what became of callers' requests."""

import collections
import dataclasses
import json
import pathlib
import statistics
import typing

__all__ = ["Audit", "audit"]

_Line = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Audit:
    """What the logs of callers and targets say together.

    Attributes:
        flows: Flows that callers opened.
        ok: Flows whose whole answer arrived.
        refused: Flows refused.
        unanswered: Flows that never got an answer to their first packet.
        broken_flows: Flows that a target had taken and that did not end well.
        misdelivered: Requests that reached a target of another service, and
            answers to another request.
        doubled: Requests executed more than once.
        false_refusals: Refused requests that were executed.
        imbalance: Worst service's max/mean of work divided by speed.
        mean_wait_s: Mean time from opening to the end, less the work itself.
        p99_connect_s: 99th percentile of the time to connect, seconds.
        work_done: Executed work, in seconds at speed 1.
    """

    flows: int
    ok: int
    refused: int
    unanswered: int
    broken_flows: int
    misdelivered: int
    doubled: int
    false_refusals: int
    imbalance: float
    mean_wait_s: float
    p99_connect_s: float
    work_done: float

    @property
    def promises_kept(self) -> bool:
        """Whether no flow was broken, misdelivered, doubled or misreported."""
        return not (
            self.broken_flows
            or self.misdelivered
            or self.doubled
            or self.false_refusals
        )


def read_lines(paths: typing.Iterable[pathlib.Path]) -> list[_Line]:
    """Returns the JSON objects of some log files."""
    lines = []
    for path in paths:
        for text in path.read_text("utf-8").splitlines():
            lines.append(json.loads(text))
    return lines


def _service_of(request: str) -> str:
    return request.rsplit("-", 2)[0]


def imbalance(
    executions: list[_Line], speed_by_target: dict[str, tuple[str, float]]
) -> float:
    """Returns the worst service's max/mean of work divided by speed.

    Args:
        executions: Lines of executed requests.
        speed_by_target: Service and speed of each target.
    """
    busy: dict[str, dict[str, float]] = collections.defaultdict(dict)
    for target, (service, _) in speed_by_target.items():
        busy[service][target] = 0.0
    for line in executions:
        seconds = line["work"] / line["speed"]
        if line["target"] in busy[line["service"]]:
            busy[line["service"]][line["target"]] += seconds
    worst = 1.0
    for by_target in busy.values():
        mean = statistics.fmean(by_target.values())
        if mean > 0:
            worst = max(worst, max(by_target.values()) / mean)
    return worst


def audit(
    folder: pathlib.Path,
    speed_by_target: dict[str, tuple[str, float]],
    parts_by_service: typing.Mapping[str, frozenset[str]] = {},
) -> Audit:
    """Returns what the logs in a folder add up to.

    Args:
        folder: Folder of the run.
        speed_by_target: Service and speed of each target.
        parts_by_service: Other services whose targets share a service's flows.
    """
    flows = read_lines(sorted(folder.glob("callers*.jsonl")))
    events = read_lines(sorted(folder.glob("target-*.jsonl")))
    executions = [line for line in events if line["event"] == "execute"]
    requested = [line for line in events if line["event"] == "request"]
    times = collections.Counter(line["request"] for line in requested)
    by_result = collections.Counter(flow["result"] for flow in flows)
    refused = {flow["request"] for flow in flows if flow["result"] == "refused"}
    wrong_service = 0
    for line in requested:
        service = _service_of(line["request"])
        allowed = {service, *parts_by_service.get(service, ())}
        wrong_service += line["service"] not in allowed
    broken = [
        flow
        for flow in flows
        if flow["result"] in ("reset", "timeout", "wrong answer")
        or (flow["result"] == "unanswered" and times[flow["request"]])
    ]
    speed_by_request = {line["request"]: line["speed"] for line in executions}
    done = [flow for flow in flows if flow["result"] == "ok"]
    waits = [
        flow["finished"]
        - flow["started"]
        - flow["work"] / speed_by_request.get(flow["request"], 1.0)
        for flow in done
        if not flow["long"]
    ]
    connects = sorted(
        flow["connected"] - flow["started"]
        for flow in flows
        if flow["connected"] is not None
    )
    return Audit(
        flows=len(flows),
        ok=by_result["ok"],
        refused=len(refused),
        unanswered=by_result["unanswered"],
        broken_flows=len(broken),
        misdelivered=wrong_service + by_result["wrong answer"],
        doubled=sum(count > 1 for count in times.values()),
        false_refusals=sum(request in times for request in refused),
        imbalance=round(imbalance(executions, speed_by_target), 3),
        mean_wait_s=round(statistics.fmean(waits), 4) if waits else 0.0,
        p99_connect_s=(
            round(connects[int(len(connects) * 0.99)], 4) if connects else 0.0
        ),
        work_done=round(sum(line["work"] for line in executions), 2),
    )
