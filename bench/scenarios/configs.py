"""One configuration in force: speed, an outage across a handover, races."""

import asyncio
import itertools
import random
import threading
import time
import uuid

import aiohttp

from bench import audits
from bench import clusters
from bench import groups
from bench import results
from bench.scenarios import loads
from clementinelead.configurations import edits
from clementinelead.configurations import models
from clementinelead.configurations import repositories
from clementinelead.stores import consul

__all__ = ["config", "outage", "race"]

IN_FORCE_BOUND_S = 5.0
CHANGES = 10
RACE_CHANGES = 200
RACE_OPERATORS = 2
LOST_ANSWERS = 0.2
NODE_COUNTS = (1, 10, 30)
STORE_TIMEOUT_S = 1.0
CHANGE_TIMEOUT_S = 30.0
POLL_S = 0.02


def _group() -> groups.Group:
    return groups.Group("lookups", "10.9.0.1", 43, (1.0, 2.0))


def _revisions(cluster: clusters.Cluster) -> list[int]:
    names = [
        name
        for name in (*cluster.balancers, *(t.id for t in cluster.targets))
        if cluster.alive(name)
    ]
    return [int(str(cluster.status(name).get("revision", 0))) for name in names]


def _in_force_s(cluster: clusters.Cluster, revision: int) -> float:
    """Returns how long it takes until all processes run a revision."""
    started = time.monotonic()
    while min(_revisions(cluster)) < revision:
        if time.monotonic() - started > 4 * IN_FORCE_BOUND_S:
            return float("inf")
        time.sleep(POLL_S)
    return time.monotonic() - started


def _change(cluster: clusters.Cluster, number: int) -> None:
    done = cluster.operate(
        "change", "lookups", f"max_wait_s={number + 1}", "--reason=bench"
    )
    if done.returncode != 0:
        raise RuntimeError(f"change: {done.stdout}{done.stderr}")


def config(seed: int) -> results.Result:
    """Time until a change is in force, store calls, by number of balancers."""
    in_force: dict[str, float] = {}
    calls: dict[str, float] = {}
    for count in NODE_COUNTS:
        cluster = clusters.Cluster([_group()], count, seed)
        try:
            cluster.start()
            before = cluster.store_calls()
            worst = 0.0
            for number in range(CHANGES):
                _change(cluster, number)
                worst = max(worst, _in_force_s(cluster, 2 + number))
            after = cluster.store_calls()
            in_force[str(count)] = round(worst, 2)
            total = sum(after.values()) - sum(before.values())
            calls[str(count)] = round(total / CHANGES, 1)
        finally:
            cluster.close()
    missed = []
    if max(in_force.values()) > IN_FORCE_BOUND_S:
        missed.append("in_force_s")
    figures: dict[str, object] = {
        "in_force_s": max(in_force.values()),
        "in_force_s_by_balancers": in_force,
        "store_calls_per_change_by_balancers": calls,
    }
    return results.Result(figures, tuple(missed))


def outage(seed: int) -> results.Result:
    """The store goes away right after a change; processes are replaced."""
    cluster = clusters.Cluster([_group()], 3, seed)
    service = _group()
    try:
        cluster.start()
        cluster.start_callers([loads.plan(service, 0.3)], 24.0, "callers")
        time.sleep(2.0)
        _change(cluster, 0)
        cluster.set_faults(down=True)
        in_force = _in_force_s(cluster, 2)
        failed = cluster.operate(
            "change", "lookups", "max_wait_s=9", "--timeout=2"
        )
        for balancer in cluster.balancers:
            cluster.stop(balancer)
            cluster.start_balancer(balancer)
            time.sleep(1.0)
        target = cluster.targets[0]
        cluster.stop(target.id)
        cluster.start_side(target)
        after = _in_force_s(cluster, 2)
        cluster.set_faults(down=False)
        cluster.wait("callers", 120.0)
        _change(cluster, 5)
        again = _in_force_s(cluster, 3)
        audit = audits.audit(cluster.folder, loads.speeds(cluster))
        figures: dict[str, object] = {
            "in_force_s": round(in_force, 2),
            "in_force_s_replaced": round(after, 2),
            "in_force_s_after": round(again, 2),
            "change_during_outage": failed.stdout.strip(),
            "revisions": _revisions(cluster),
        }
        missed = [
            name
            for name in ("in_force_s", "in_force_s_after")
            if float(str(figures[name])) > IN_FORCE_BOUND_S
        ]
        if failed.returncode == 0:
            missed.append("change_during_outage")
        if set(_revisions(cluster)) != {3}:
            missed.append("revisions")
        return results.of_audit(audit, figures, missed)
    finally:
        cluster.close()


async def _race_changes(
    url: str, operator: str, seed: int, outcomes: dict[str, object]
) -> None:
    """Adds services one after the other, each under an identifier."""
    async with aiohttp.ClientSession() as session:
        store = consul.ConsulStore(session, url, STORE_TIMEOUT_S)
        repository = repositories.Repository(
            store, "clementinelead", random.Random(seed)
        )
        for number in range(RACE_CHANGES // RACE_OPERATORS):
            name = f"{operator}-{number}"
            author = models.Author(
                change=str(uuid.uuid4()),
                operator=operator,
                shift=operator,
                time=time.time(),
            )
            values: dict[str, object] = {
                "team": "consortium",
                "address": f"10.{seed}.{number}.1",
                "port": 80,
                "protocol": "tcp",
            }
            edit = edits.set_edit(name, values, author)
            outcomes[name] = await repository.change(
                edit, author, CHANGE_TIMEOUT_S
            )


def race(seed: int) -> results.Result:
    """Two shifts make 200 changes while answers are lost at random."""
    cluster = clusters.Cluster([_group()], 3, seed)
    outcomes: dict[str, object] = {}
    try:
        cluster.start()
        cluster.set_faults(lose_answers=LOST_ANSWERS)
        seen: list[list[int]] = []
        threads = [
            threading.Thread(
                target=lambda number=number: asyncio.run(
                    _race_changes(
                        cluster.store_url,
                        f"shift{number}",
                        10 + number,
                        outcomes,
                    )
                )
            )
            for number in range(RACE_OPERATORS)
        ]
        for thread in threads:
            thread.start()
        while any(thread.is_alive() for thread in threads):
            seen.append(_revisions(cluster))
            time.sleep(0.1)
        cluster.set_faults(lose_answers=0.0)
        accepted = {
            name: outcome.revision
            for name, outcome in outcomes.items()
            if isinstance(outcome, repositories.Accepted)
        }
        last = 1 + len(accepted)
        in_force = _in_force_s(cluster, last)
        shown = cluster.operate("show", "--json").stdout
        names = set(
            models.Configuration.model_validate_json(shown).entry_by_name
        )
        reverted = sum(
            later < earlier
            for before, after in itertools.pairwise(seen)
            for earlier, later in zip(before, after, strict=True)
        )
        figures: dict[str, object] = {
            "changes": len(outcomes),
            "accepted": len(accepted),
            "lost_changes": len(set(accepted) - names),
            "doubled_changes": len(accepted) - len(set(accepted.values())),
            "reverted": reverted,
            "in_force_s": round(in_force, 2),
        }
        missed = [
            name
            for name in ("lost_changes", "doubled_changes", "reverted")
            if figures[name]
        ]
        if in_force > IN_FORCE_BOUND_S:
            missed.append("in_force_s")
        if max(_revisions(cluster)) != last:
            missed.append("revision")
        return results.Result(figures, tuple(missed))
    finally:
        cluster.close()
