"""Imbalance and waits at steady load, against the project's baselines."""

import concurrent.futures
import dataclasses
import time

from bench import audits
from bench import clusters
from bench import groups
from bench import results
from clementinelead.flows import views

__all__ = ["load70", "load90", "overload150", "steady"]

SPEEDS = (1.0, 1.0, 1.0, 2.0, 2.0, 4.0, 4.0)
WORK_S = 0.2
SECONDS = 20.0
IMBALANCE_BOUND = 1.1
WAIT_BOUND = 1.2
WAIT_RESOLUTION_S = 0.002
HOP_S = 0.0015
CAPACITY_BOUND = 0.95
POLICIES = ("hunting", "weighted-hash", "plain-hash", "oracle")


def group(policy: str, slots: int = 2, **fields: object) -> groups.Group:
    """Returns the lookup service with a policy."""
    base = groups.Group(
        "lookups", "10.9.0.1", 43, SPEEDS, slots=slots, max_wait_s=60.0
    )
    if policy != "oracle":
        base = dataclasses.replace(base, policy=policy)
    return dataclasses.replace(base, **fields)  # type: ignore[arg-type]


def plan(
    service: groups.Group, share: float, **fields: object
) -> dict[str, object]:
    """Returns callers that offer a share of a service's capacity."""
    capacity = sum(service.speeds) * service.slots
    base: dict[str, object] = {
        "service": service.service,
        "address": service.address,
        "port": service.port,
        "protocol": service.protocol,
        "rate": share * capacity / WORK_S,
        "work": WORK_S,
        "parts": 1,
        "interval": 0.0,
        "bytes": 200,
        "timeout": 90.0,
        "fixed": False,
    }
    return {**base, **fields}


def speeds(cluster: clusters.Cluster) -> dict[str, tuple[str, float]]:
    """Returns service and speed of each target, as audits take them."""
    return {
        target.id: (target.service, target.speed) for target in cluster.targets
    }


def run_policy(
    service: groups.Group, policy: str, share: float, seed: int
) -> audits.Audit:
    """Runs one policy at a load; returns its audit."""
    balancers = 1 if policy == "oracle" else 3
    cluster = clusters.Cluster([service], balancers, seed)
    try:
        if policy == "oracle":
            cluster.start_oracle()
        else:
            cluster.start()
            time.sleep(views.FIRST_CANDIDATE_SETTLE_S + 1.0)
        cluster.start_callers([plan(service, share)], SECONDS, "callers")
        cluster.wait("callers", SECONDS + 120.0)
        return audits.audit(cluster.folder, speeds(cluster))
    finally:
        cluster.close()


def _compare(share: float, seed: int, slots: int = 2) -> results.Result:
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        runs = {
            policy: pool.submit(
                run_policy, group(policy, slots), policy, share, seed
            )
            for policy in POLICIES
        }
        audit_by_policy = {name: run.result() for name, run in runs.items()}
    own = audit_by_policy["hunting"]
    oracle = audit_by_policy["oracle"]
    missed = []
    if own.imbalance > IMBALANCE_BOUND * oracle.imbalance:
        missed.append("imbalance")
    if own.mean_wait_s > WAIT_BOUND * oracle.mean_wait_s + WAIT_RESOLUTION_S:
        missed.append("mean_wait_s")
    plain = audit_by_policy["plain-hash"].p99_connect_s
    if share < 0.8 and own.p99_connect_s > plain + 2 * HOP_S:
        missed.append("p99_connect_s")
    baselines = {
        policy: {
            "imbalance": audit.imbalance,
            "mean_wait_s": audit.mean_wait_s,
            "p99_connect_s": audit.p99_connect_s,
        }
        for policy, audit in audit_by_policy.items()
    }
    return results.of_audit(own, {"policies": baselines}, missed)


def load70(seed: int) -> results.Result:
    """70% load, 2 slots."""
    return _compare(0.7, seed)


def load90(seed: int) -> results.Result:
    """90% load, 2 slots."""
    return _compare(0.9, seed)


def load90_one_slot(seed: int) -> results.Result:
    """90% load, 1 slot."""
    return _compare(0.9, seed, slots=1)


def steady(seed: int) -> results.Result:
    """50% load; the promises only."""
    service = group("hunting")
    return results.of_audit(run_policy(service, "hunting", 0.5, seed))


def overload150(seed: int) -> results.Result:
    """150% load: work done stays near capacity, the rest is refused early."""
    service = group("hunting", max_wait_s=1.0)
    audit = run_policy(service, "hunting", 1.5, seed)
    capacity = sum(service.speeds) * service.slots * SECONDS
    done = audit.work_done / capacity
    missed = [] if done >= CAPACITY_BOUND else ["work_share"]
    if not audit.refused:
        missed.append("refused")
    return results.of_audit(audit, {"work_share": round(done, 3)}, missed)
