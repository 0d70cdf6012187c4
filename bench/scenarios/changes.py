"""Planned changes and failures under long flows."""

import dataclasses
import signal
import time

from bench import audits
from bench import clusters
from bench import groups
from bench import results
from bench.scenarios import loads

__all__ = [
    "NEW_WORK_BOUND_S",
    "crash",
    "drain",
    "evacuation",
    "liars",
    "pause",
    "rolling",
    "udp",
    "uneven",
]

SPEEDS = (1.0, 1.0, 2.0, 2.0)
NEW_WORK_BOUND_S = 2.0
PAUSE_S = 30.0


def group() -> groups.Group:
    return groups.Group(
        "feeds", "10.9.0.3", 443, SPEEDS, slots=4, slot_hold_s=1.0
    )


def plans(
    service: groups.Group, parts: int, rate: float = 6.0
) -> list[dict[str, object]]:
    """Returns long feeds and short requests to the same service."""
    feeds = loads.plan(
        service, 0.1, rate=rate, work=0.05, parts=parts, interval=0.5
    )
    short = loads.plan(service, 0.1, rate=20.0, work=0.05)
    return [{**item, "timeout": parts * 0.5 + 60.0} for item in (feeds, short)]


def _started(seed: int, balancers: int = 3) -> clusters.Cluster:
    cluster = clusters.Cluster([group()], balancers, seed)
    try:
        cluster.start()
        time.sleep(1.0)
    except BaseException:
        cluster.close()
        raise
    return cluster


def _audit(cluster: clusters.Cluster) -> audits.Audit:
    return audits.audit(cluster.folder, loads.speeds(cluster))


def _late_work(cluster: clusters.Cluster, target: str, since: float) -> float:
    """Returns how long after a drain a target last took a new flow."""
    path = cluster.folder / f"target-{target}.jsonl"
    times = [
        line["time"] - since
        for line in audits.read_lines([path])
        if line["event"] == "open"
    ]
    return max([0.0, *times])


def drain(seed: int) -> results.Result:
    """A target drains under feeds of 10 s, and comes back; a balancer stops."""
    cluster = _started(seed)
    try:
        cluster.start_callers(plans(group(), 20), 16.0, "callers")
        time.sleep(4.0)
        began = time.time()
        cluster.operate("drain", "feeds-2", "--bound=120", "--reason=bench")
        time.sleep(2.0)
        code = cluster.stop("balancer-1")
        cluster.wait("callers", 120.0)
        late = _late_work(cluster, "feeds-2", began)
        state = cluster.status("feeds-2").get("state")
        audit = _audit(cluster)
        returned = _return(cluster, "feeds-2")
        missed = [] if late <= NEW_WORK_BOUND_S else ["last_new_flow_s"]
        if code != 0:
            missed.append("exit_code")
        if state != "leaving":
            missed.append("state")
        if not returned:
            missed.append("returned")
        extra = {"last_new_flow_s": round(late, 2), "state": state}
        return results.of_audit(audit, extra, missed)
    finally:
        cluster.close()


def evacuation(seed: int) -> results.Result:
    """A zone is evacuated under feeds of 10 s, and restored."""
    cluster = _started(seed)
    try:
        cluster.start_callers(plans(group(), 20), 16.0, "callers")
        time.sleep(4.0)
        began = time.time()
        zone = cluster.zone("feeds-2")
        targets = [
            target.id
            for target in cluster.targets
            if cluster.zone(target.id) == zone
        ]
        cluster.operate("evacuate", zone, "--reason=bench")
        cluster.wait("callers", 120.0)
        late = max(_late_work(cluster, target, began) for target in targets)
        audit = _audit(cluster)
        restored = time.time()
        cluster.operate("evacuate", zone, "--undo", "--reason=bench")
        time.sleep(NEW_WORK_BOUND_S)
        cluster.start_callers(plans(group(), 2), 4.0, "callers-again")
        cluster.wait("callers-again", 120.0)
        returned = sum(
            _late_work(cluster, target, restored) > 0.0 for target in targets
        )
        missed = [] if late <= NEW_WORK_BOUND_S else ["last_new_flow_s"]
        if returned < len(targets):
            missed.append("returned")
        extra = {
            "last_new_flow_s": round(late, 2),
            "evacuated": len(targets),
            "returned": returned,
        }
        return results.of_audit(audit, extra, missed)
    finally:
        cluster.close()


def _return(cluster: clusters.Cluster, target: str) -> bool:
    """Takes a target back that has left; tells whether it gets flows again.

    Its callers are not audited: they name their requests as those before did.
    """
    began = time.time()
    cluster.operate("drain", target, "--undo", "--reason=bench")
    deadline = began + NEW_WORK_BOUND_S
    while cluster.status(target).get("state") != "ready":
        if time.time() > deadline:
            return False
        time.sleep(0.1)
    cluster.start_callers(plans(group(), 2), 4.0, "callers-again")
    cluster.wait("callers-again", 120.0)
    return _late_work(cluster, target, began) > 0.0


def rolling(seed: int) -> results.Result:
    """Every side process, balancer and target is replaced under feeds."""
    cluster = _started(seed)
    try:
        cluster.start_callers(plans(group(), 30), 40.0, "callers")
        time.sleep(2.0)
        for target in cluster.targets:
            cluster.stop(target.id)
            cluster.start_side(target)
            time.sleep(2.0)
        for balancer in cluster.balancers:
            cluster.stop(balancer)
            cluster.start_balancer(balancer)
            time.sleep(2.0)
        replaced = [_replace_target(cluster, target) for target in
                    cluster.targets[:2]]  # fmt: skip
        cluster.wait("callers", 180.0)
        extra = {"targets_replaced": sum(replaced)}
        missed = [] if all(replaced) else ["targets_replaced"]
        return results.of_audit(_audit(cluster), extra, missed)
    finally:
        cluster.close()


def _replace_target(
    cluster: clusters.Cluster, target: groups.TargetSpec
) -> bool:
    """Drains a target until it is empty, then replaces it."""
    cluster.operate("drain", target.id, "--bound=300", "--reason=replace")
    deadline = time.monotonic() + 60.0
    while cluster.status(target.id).get("state") != "leaving":
        if time.monotonic() > deadline:
            return False
        time.sleep(0.2)
    cluster.stop(target.id)
    cluster.stop(f"target-{target.id}")
    cluster.operate("drain", target.id, "--undo", "--reason=replaced")
    cluster.start_target(target)
    cluster.start_side(target)
    return True


def uneven(seed: int) -> results.Result:
    """A balancer is several views behind, then hears of all at once."""
    cluster = _started(seed)
    added = [
        groups.TargetSpec(f"feeds-{number}", "feeds", 2.0, 4, 2.0)
        for number in (4, 5, 6)
    ]
    try:
        cluster.start_callers(plans(group(), 24), 24.0, "callers")
        time.sleep(3.0)
        for target in added:
            cluster.signal("balancer-0", signal.SIGSTOP)
            cluster.start_target(target)
            cluster.start_side(target)
            time.sleep(0.7)
            cluster.signal("balancer-0", signal.SIGCONT)
            time.sleep(0.5)
        cluster.operate("drain", "feeds-0", "--bound=120", "--reason=bench")
        cluster.signal("balancer-1", signal.SIGSTOP)
        time.sleep(3.0)
        cluster.signal("balancer-1", signal.SIGCONT)
        cluster.wait("callers", 120.0)
        return results.of_audit(_audit(cluster))
    finally:
        cluster.close()


def pause(seed: int) -> results.Result:
    """A side process is paused for 30 s and resumed."""
    cluster = _started(seed)
    try:
        cluster.start_callers(plans(group(), 30, rate=3.0), 10.0, "callers")
        time.sleep(6.0)
        cluster.signal("feeds-3", signal.SIGSTOP)
        time.sleep(PAUSE_S)
        cluster.signal("feeds-3", signal.SIGCONT)
        cluster.wait("callers", 180.0)
        return results.of_audit(_audit(cluster))
    finally:
        cluster.close()


def crash(seed: int) -> results.Result:
    """A side process, a balancer and a target with its side process die."""
    cluster = _started(seed)
    try:
        cluster.start_callers(plans(group(), 16), 16.0, "callers")
        time.sleep(4.0)
        cluster.kill("feeds-1")
        cluster.start_side(cluster.targets[1])
        time.sleep(3.0)
        cluster.kill("balancer-2")
        time.sleep(2.0)
        cluster.kill("target-feeds-3")
        cluster.kill("feeds-3")
        cluster.wait("callers", 180.0)
        audit = _audit(cluster)
        allowed = _flows_of(cluster, "feeds-3")
        broken = _broken(cluster)
        extra = {
            "broken_with_their_target": len(broken & allowed),
            "broken_otherwise": len(broken - allowed),
        }
        result = results.of_audit(audit, extra)
        missed = [name for name in result.missed if name != "broken_flows"]
        if broken - allowed:
            missed.append("broken_otherwise")
        return dataclasses.replace(result, missed=tuple(missed))
    finally:
        cluster.close()


def _broken(cluster: clusters.Cluster) -> set[str]:
    lines = audits.read_lines(sorted(cluster.folder.glob("callers*.jsonl")))
    return {
        line["request"]
        for line in lines
        if line["result"] in ("reset", "timeout", "wrong answer")
    }


def _flows_of(cluster: clusters.Cluster, target: str) -> set[str]:
    """Returns the requests of the flows that a target had taken."""
    opened = {
        line["caller"]
        for line in audits.read_lines(
            [cluster.folder / f"target-{target}.jsonl"]
        )
        if line["event"] == "open"
    }
    flows = audits.read_lines(sorted(cluster.folder.glob("callers*.jsonl")))
    return {flow["request"] for flow in flows if flow["source"] in opened}


def udp(seed: int) -> results.Result:
    """UDP requests, retransmitted by their callers, while a target drains."""
    service = groups.Group(
        "records", "10.9.0.4", 5300, SPEEDS, slots=4, protocol="udp"
    )
    cluster = clusters.Cluster([service], 3, seed)
    try:
        cluster.start()
        plan = loads.plan(service, 0.1, rate=60.0, work=0.05)
        cluster.start_callers([{**plan, "timeout": 30.0}], 14.0, "callers")
        time.sleep(4.0)
        cluster.operate("drain", "records-2", "--bound=60", "--reason=bench")
        time.sleep(3.0)
        cluster.stop(cluster.targets[1].id)
        cluster.start_side(cluster.targets[1])
        cluster.wait("callers", 120.0)
        return results.of_audit(_audit(cluster))
    finally:
        cluster.close()


def liars(seed: int) -> results.Result:
    """Load reports claim to shed, with hints that are zero or an hour."""
    service = loads.group("hunting")
    cluster = clusters.Cluster([service], 3, seed)
    try:
        cluster.start()
        cluster.shed("lookups-6", shedding=True, retry_after_ms=3_600_000)
        cluster.shed("lookups-5", shedding=True, retry_after_ms=0)
        cluster.start_callers([loads.plan(service, 0.5)], 16.0, "callers")
        time.sleep(4.0)
        cluster.shed("lookups-6", shedding=False)
        cluster.shed("lookups-5", shedding=False)
        cluster.wait("callers", 120.0)
        audit = _audit_all(cluster)
        work = _share_of(cluster, "lookups-6")
        missed = [] if work > 0 else ["work_after_shedding"]
        return results.of_audit(audit, {"work_after_shedding": work}, missed)
    finally:
        cluster.close()


def _audit_all(cluster: clusters.Cluster) -> audits.Audit:
    return audits.audit(cluster.folder, loads.speeds(cluster))


def _share_of(cluster: clusters.Cluster, target: str) -> float:
    path = cluster.folder / f"target-{target}.jsonl"
    lines = audits.read_lines([path])
    return round(
        sum(line["work"] for line in lines if line["event"] == "execute"), 2
    )
