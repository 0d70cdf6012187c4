"""Services whose flows move to other targets, or that end, under load."""

import dataclasses
import math
import time

from bench import audits
from bench import clusters
from bench import results
from bench.scenarios import changes
from bench.scenarios import loads

__all__ = ["removal", "shares"]

_SHARE = 0.25
_SHARE_SIGMAS = 3.0


def shares(seed: int) -> results.Result:
    """A second set of targets takes a share of a service, then all of it."""
    old = changes.group()
    new = dataclasses.replace(old, service="feeds-next", address="10.9.0.4")
    cluster = clusters.Cluster([old, new], 3, seed)
    try:
        cluster.start()
        time.sleep(1.0)
        cluster.start_callers(changes.plans(old, 20), 24.0, "callers")
        time.sleep(4.0)
        split_at = _share(cluster, "feeds=3 feeds-next=1")
        time.sleep(8.0)
        moved_at = _share(cluster, "feeds=0 feeds-next=1")
        cluster.wait("callers", 120.0)
        opened = _openings(cluster)
        settled_at = split_at + changes.NEW_WORK_BOUND_S
        between = [name for name, at in opened if settled_at <= at < moved_at]
        share = between.count(new.service) / max(1, len(between))
        margin = _SHARE_SIGMAS * math.sqrt(
            _SHARE * (1 - _SHARE) / max(1, len(between))
        )
        late = max(
            [0.0, *(at - moved_at for name, at in opened if name == "feeds")]
        )
        missed = [] if late <= changes.NEW_WORK_BOUND_S else ["last_new_flow_s"]
        if abs(share - _SHARE) > margin:
            missed.append("share")
        extra = {
            "share": round(share, 3),
            "share_of_flows": len(between),
            "last_new_flow_s": round(late, 2),
        }
        parts = {old.service: frozenset({new.service})}
        found = audits.audit(cluster.folder, loads.speeds(cluster), parts)
        return results.of_audit(found, extra, missed)
    finally:
        cluster.close()


def _share(cluster: clusters.Cluster, text: str) -> float:
    """Changes the shares of the feeds; returns when that was accepted."""
    done = cluster.operate("change", "feeds", f"shares={text}", "--reason=b")
    if done.returncode != 0:
        raise RuntimeError(f"change: {done.stdout}{done.stderr}")
    return time.time()


def _openings(cluster: clusters.Cluster) -> list[tuple[str, float]]:
    """Returns the service of the target, and the time, of each new flow."""
    service_by_target = {one.id: one.service for one in cluster.targets}
    return [
        (service_by_target[target], line["time"])
        for target in service_by_target
        for line in audits.read_lines(
            [cluster.folder / f"target-{target}.jsonl"]
        )
        if line["event"] == "open"
    ]


def removal(seed: int) -> results.Result:
    """A service is removed under feeds of 10 s."""
    group = changes.group()
    cluster = clusters.Cluster([group], 3, seed)
    try:
        cluster.start()
        time.sleep(1.0)
        cluster.start_callers(changes.plans(group, 20), 8.0, "callers")
        time.sleep(4.0)
        done = cluster.operate("remove", group.service, "--reason=bench")
        removed_at = time.time()
        cluster.wait("callers", 120.0)
        late = max([0.0, *(at - removed_at for _, at in _openings(cluster))])
        found = audits.audit(cluster.folder, loads.speeds(cluster))
        missed = [] if late <= changes.NEW_WORK_BOUND_S else ["last_new_flow_s"]
        if done.returncode != 0:
            missed.append("exit_code")
        if not found.refused or found.unanswered:
            missed.append("refused")
        extra = {"last_new_flow_s": round(late, 2)}
        return results.of_audit(found, extra, missed)
    finally:
        cluster.close()
