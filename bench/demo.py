"""The demo: set-up, load, a drain and a balancer's stop, and an audit."""

import dataclasses
import json
import sys
import time

import rich.console
import rich.table

from bench import audits
from bench import clusters
from bench import groups

SECONDS = 10.0
SEED = 1

GROUPS = [
    groups.Group(
        "lookups", "10.9.0.1", 43, (1.0, 1.0, 1.0, 2.0, 2.0, 4.0, 4.0)
    ),
    groups.Group(
        "exports", "10.9.0.2", 80, (1.0, 1.0, 2.0, 2.0), slot_hold_s=1.0
    ),
]


def plan(group: groups.Group, **fields: object) -> dict[str, object]:
    """Returns a callers' plan for a service, with defaults."""
    base: dict[str, object] = {
        "service": group.service,
        "address": group.address,
        "port": group.port,
        "protocol": group.protocol,
        "rate": 60.0,
        "work": 0.1,
        "parts": 1,
        "interval": 0.0,
        "bytes": 200,
        "timeout": 20.0,
        "fixed": False,
    }
    return {**base, **fields}


def run() -> audits.Audit:
    """Runs the demo; returns its audit."""
    cluster = clusters.Cluster(GROUPS, balancers=3, seed=SEED)
    try:
        cluster.start()
        plans = [
            plan(GROUPS[0], rate=120.0),
            plan(GROUPS[1], rate=4.0, work=0.2, parts=12, interval=0.4),
        ]
        cluster.start_callers(plans, SECONDS, "callers")
        time.sleep(SECONDS * 0.3)
        drained = cluster.operate(
            "drain", "lookups-5", "--reason=demo", "--bound=60"
        )
        print(f"drain lookups-5: {drained.stdout.strip()}")
        time.sleep(SECONDS * 0.2)
        code = cluster.stop("balancer-2")
        print(f"balancer-2 stopped with exit code {code}")
        cluster.wait("callers", 60.0)
        speeds = {
            target.id: (target.service, target.speed)
            for target in cluster.targets
            if target.id != "lookups-5"
        }
        return audits.audit(cluster.folder, speeds)
    finally:
        cluster.close()


def main() -> int:
    """Prints the table and the JSON line; returns the exit status."""
    result = run()
    table = rich.table.Table(title="clementinelead demo")
    table.add_column("count")
    table.add_column("value", justify="right")
    for name, value in dataclasses.asdict(result).items():
        table.add_row(name, str(value))
    rich.console.Console().print(table)
    print(json.dumps(dataclasses.asdict(result)))
    return 0 if result.promises_kept and result.ok > 0 else 1


if __name__ == "__main__":
    sys.exit(main())
