"""Loads: a workload trace, the targets that serve it and their faults."""

import dataclasses
import pathlib

import msgspec

from clementinelead import exceptions
from clementinelead.relays import routes

__all__ = [
    "Arrival",
    "BalancerSpec",
    "CallerSpec",
    "Change",
    "Condition",
    "Evacuation",
    "Load",
    "RequestKind",
    "Restart",
    "TargetSpec",
    "WarmupSpec",
    "equal_priorities",
    "read",
    "write",
]


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """A class of requests.

    Attributes:
        name: Its name.
        objective_s: Latency objective, seconds.
        timeout_s: Time from arrival until its callers give up, seconds.
        worth: Worth of an answer within the objective.
        late_worth: Worth of a late answer, as a share of ``worth``.
        priority: Rank among the kinds that compete for targets; 0 is served
            first.
        idempotent: Whether its requests may be executed more than once.
    """

    name: str
    objective_s: float
    timeout_s: float
    worth: float = 1.0
    late_worth: float = 0.5
    priority: int = routes.LOWEST_PRIORITY
    idempotent: bool = False


@dataclasses.dataclass(frozen=True)
class CallerSpec:
    """How callers proceed without an answer.

    Attributes:
        first_retransmission_s: Time after which data that no target has
            acknowledged is sent again, seconds; it doubles with each copy.
            None if data is sent once.
        max_retransmission_s: Longest time between two copies, seconds.
        opening_timeout_s: Time after which the opening of a flow is abandoned,
            seconds; None if it ends with the request only.
        retry_delay_s: Pause before a retry, seconds.
        reset_is_refusal: Whether a reset of an open flow counts as a refusal;
            else it is a failure, after which only idempotent requests are
            retried.
    """

    first_retransmission_s: float | None = None
    max_retransmission_s: float = 1.6
    opening_timeout_s: float | None = None
    retry_delay_s: float = 0.0
    reset_is_refusal: bool = True


@dataclasses.dataclass(frozen=True)
class TargetSpec:
    """Fixed properties of a target.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        slots: Requests that it serves at once.
        queue: Requests that may wait there; it rejects further ones.
        slowness: Factor of service times there.
    """

    name: str
    zone: str
    slots: int = 2
    queue: int = 8
    slowness: float = 1.0


@dataclasses.dataclass(frozen=True)
class Arrival:
    """Arrival of a request.

    Attributes:
        at_s: When its caller sends it first, seconds.
        zone: Availability zone of its caller.
        kind: Name of its kind.
        work_s: Service time at a target of slowness 1, seconds.
        session: Number of the long-lived flow on which it is sent, None for a
            flow of its own. The requests of a session are sent one at a time;
            one that arrives before the previous answer waits at its caller.
    """

    at_s: float
    zone: str
    kind: str
    work_s: float
    session: int | None = None


@dataclasses.dataclass(frozen=True)
class Condition:
    """Condition of a target, which changes during a load.

    Attributes:
        slowness: Further factor of service times.
        failing: Probability that a request fails at once.
        mute: Probability that a request is accepted and never answered.
        up: Whether it runs; its flows end when it goes down.
        warmup_s: Time for which it reports to warm up from then on, seconds.
    """

    slowness: float = 1.0
    failing: float = 0.0
    mute: float = 0.0
    up: bool = True
    warmup_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Change:
    """A change of a target's condition.

    Attributes:
        at_s: When, seconds.
        target: Name of the target.
        condition: Its condition from then on.
    """

    at_s: float
    target: str
    condition: Condition


@dataclasses.dataclass(frozen=True)
class Restart:
    """A restart of all balancers, which lose their records of flows.

    Attributes:
        at_s: When they are killed, seconds.
        listening_s: When their sockets are open again, seconds.
        serving_s: When they begin to read datagrams, seconds.
    """

    at_s: float
    listening_s: float
    serving_s: float


@dataclasses.dataclass(frozen=True)
class Evacuation:
    """Time in which the targets of a zone get no new flows.

    Attributes:
        zone: Name of the zone.
        at_s: When it begins, seconds.
        end_s: When it ends, seconds.
    """

    zone: str
    at_s: float
    end_s: float


@dataclasses.dataclass(frozen=True)
class WarmupSpec:
    """Limit of new flows at targets that warm up.

    Attributes:
        flows_per_s: Rate that such a target bears.
        overshoot: Factor on the rate.
        slack: Flows in a second beyond that.
    """

    flows_per_s: float
    overshoot: float = 1.5
    slack: float = 5.0


@dataclasses.dataclass(frozen=True)
class BalancerSpec:
    """Properties of every balancer.

    Attributes:
        share: Its share of a processor, None if its work takes no time.
        restarts: Its restarts, in the order of time.
    """

    share: float | None = None
    restarts: tuple[Restart, ...] = ()


@dataclasses.dataclass(frozen=True)
class Load:
    """A load to replay.

    Attributes:
        name: Name, for reports.
        kinds: Classes of requests.
        targets: All targets.
        arrivals: Requests in the order of time.
        changes: Changes of targets' conditions.
        balancers: Properties of every balancer.
        evacuations: Evacuations of zones.
        warmup: Limit of flows at targets that warm up, None for no limit.
        callers: Behaviour of all callers.
        fast_side_ticks: Whether side processes get the short timer that they
            ask for, as in service; else only the one of idle processes.
    """

    name: str
    kinds: tuple[RequestKind, ...]
    targets: tuple[TargetSpec, ...]
    arrivals: tuple[Arrival, ...]
    changes: tuple[Change, ...] = ()
    balancers: BalancerSpec = BalancerSpec()
    evacuations: tuple[Evacuation, ...] = ()
    warmup: WarmupSpec | None = None
    callers: CallerSpec = CallerSpec()
    fast_side_ticks: bool = False

    @property
    def kind_by_name(self) -> dict[str, RequestKind]:
        """Classes of requests by name."""
        return {kind.name: kind for kind in self.kinds}


def equal_priorities(load: Load) -> Load:
    """Returns a load whose kinds have the same priority.

    Args:
        load: The load.
    """
    kinds = tuple(
        dataclasses.replace(kind, priority=routes.LOWEST_PRIORITY)
        for kind in load.kinds
    )
    return dataclasses.replace(load, kinds=kinds)


def read(path: pathlib.Path) -> Load:
    """Returns the load in a JSON file.

    Args:
        path: The file.

    Raises:
        exceptions.FindingsError: The file can't be read, is no load, or
            refers to a target or kind that it does not define.
    """
    try:
        load = msgspec.json.decode(path.read_bytes(), type=Load)
    except (OSError, msgspec.MsgspecError) as error:
        finding = exceptions.Finding(str(path), str(error))
        raise exceptions.FindingsError((finding,)) from error
    findings = _findings(str(path), load)
    if findings:
        raise exceptions.FindingsError(findings)
    return load


def _findings(place: str, load: Load) -> tuple[exceptions.Finding, ...]:
    """Returns a finding for each reference to an undefined target or kind."""
    target_names = {target.name for target in load.targets}
    kind_names = set(load.kind_by_name)
    findings = [
        exceptions.Finding(
            f"{place}:changes.{number}", f"no target {change.target!r}"
        )
        for number, change in enumerate(load.changes)
        if change.target not in target_names
    ]
    findings += [
        exceptions.Finding(
            f"{place}:arrivals.{number}", f"no kind {arrival.kind!r}"
        )
        for number, arrival in enumerate(load.arrivals)
        if arrival.kind not in kind_names
    ]
    return tuple(findings)


def write(path: pathlib.Path, load: Load) -> None:
    """Writes a load to a file as JSON.

    Args:
        path: The file; it is replaced if it exists.
        load: The load.
    """
    path.write_bytes(msgspec.json.encode(load))
