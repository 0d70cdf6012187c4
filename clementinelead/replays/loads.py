"""Loads: what arrives, what serves it, and what happens to that meanwhile."""

import dataclasses
import pathlib

import msgspec

from clementinelead import exceptions

__all__ = [
    "Arrival",
    "BalancerSpec",
    "Change",
    "Condition",
    "Load",
    "RequestKind",
    "Restart",
    "TargetSpec",
    "read",
    "write",
]


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """A kind of request.

    Attributes:
        name: Its name.
        objective_s: Time within which its callers want it served, seconds.
        timeout_s: Time after which its callers give up, seconds.
    """

    name: str
    objective_s: float
    timeout_s: float


@dataclasses.dataclass(frozen=True)
class TargetSpec:
    """A target.

    Attributes:
        name: Its name.
        zone: Its availability zone.
        slots: Requests that it works on at once.
        queue: Requests that may wait there; it turns more away.
        slowness: Factor of the time that work takes there.
    """

    name: str
    zone: str
    slots: int = 2
    queue: int = 8
    slowness: float = 1.0


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request.

    Attributes:
        at_s: When its caller sends it first, seconds.
        zone: Availability zone of its caller.
        kind: Name of its kind.
        work_s: Time that it takes a target of slowness 1, seconds.
    """

    at_s: float
    zone: str
    kind: str
    work_s: float


@dataclasses.dataclass(frozen=True)
class Condition:
    """How a target is.

    Attributes:
        slowness: Further factor of the time that work takes.
        failing: Share of requests that fail at once.
        mute: Share of requests that are taken and never answered.
        up: Whether it answers at all; going down ends its flows.
    """

    slowness: float = 1.0
    failing: float = 0.0
    mute: float = 0.0
    up: bool = True


@dataclasses.dataclass(frozen=True)
class Change:
    """A target gets into another condition.

    Attributes:
        at_s: When, seconds.
        target: Name of the target.
        condition: How it is from then on.
    """

    at_s: float
    target: str
    condition: Condition


@dataclasses.dataclass(frozen=True)
class Restart:
    """All balancers are killed and start again, knowing no flow.

    Attributes:
        at_s: When they are killed, seconds.
        listening_s: When their sockets take datagrams again, seconds.
        serving_s: When they begin to read them, seconds.
    """

    at_s: float
    listening_s: float
    serving_s: float


@dataclasses.dataclass(frozen=True)
class BalancerSpec:
    """What each balancer is.

    Attributes:
        share: Its share of a processor, None if its work takes no time.
        restarts: When it is restarted, in the order of time.
    """

    share: float | None = None
    restarts: tuple[Restart, ...] = ()


@dataclasses.dataclass(frozen=True)
class Load:
    """A load to replay.

    Attributes:
        name: Name, for reports.
        kinds: Kinds of requests.
        targets: All targets.
        arrivals: Requests in the order of time.
        changes: What happens to targets.
        balancers: What each balancer is.
    """

    name: str
    kinds: tuple[RequestKind, ...]
    targets: tuple[TargetSpec, ...]
    arrivals: tuple[Arrival, ...]
    changes: tuple[Change, ...] = ()
    balancers: BalancerSpec = BalancerSpec()

    @property
    def kind_by_name(self) -> dict[str, RequestKind]:
        """The kinds by name."""
        return {kind.name: kind for kind in self.kinds}


def read(path: pathlib.Path) -> Load:
    """Returns the load that a file holds as JSON.

    Args:
        path: The file.

    Raises:
        exceptions.FindingsError: The file can't be read or is wrong.
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
    """Returns what names something that is not there."""
    names = {target.name for target in load.targets}
    kinds = set(load.kind_by_name)
    found = [
        exceptions.Finding(
            f"{place}:changes.{number}", f"no target {change.target!r}"
        )
        for number, change in enumerate(load.changes)
        if change.target not in names
    ]
    found += [
        exceptions.Finding(
            f"{place}:arrivals.{number}", f"no kind {arrival.kind!r}"
        )
        for number, arrival in enumerate(load.arrivals)
        if arrival.kind not in kinds
    ]
    return tuple(found)


def write(path: pathlib.Path, load: Load) -> None:
    """Writes a load to a file as JSON."""
    path.write_bytes(msgspec.json.encode(load))
