"""Membership records, raised only by the process that they describe."""

import dataclasses
import enum

import xxhash

__all__ = ["Health", "Record", "Role", "State", "supersedes"]


class Role(enum.IntEnum):
    """What a process does."""

    BALANCER = 0
    SIDE = 1


class State(enum.IntEnum):
    """What a process says of itself."""

    COLD = 0
    READY = 1
    DRAINING = 2
    LEAVING = 3


class Health(enum.IntEnum):
    """What the others believe of a process; a higher value wins."""

    ALIVE = 0
    DEAD = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One process as it announced itself.

    Attributes:
        id: Identifier from its settings.
        incarnation: Start of the process, milliseconds since 1970.
        sequence: Raised by the owner with each change.
        role: What it does.
        state: What it says of itself.
        health: What the others believe.
        region: Its region.
        zone: Its availability zone.
        address: Its IP address.
        data_port: UDP port of the packet path.
        control_port: UDP port of control messages.
        http_port: TCP port for peers, metrics and the administration API.
        services: Services that its target serves.
        weight: Relative share of new flows.
    """

    id: str
    incarnation: int
    sequence: int
    role: Role
    state: State
    region: str
    zone: str
    address: str
    data_port: int
    control_port: int
    http_port: int
    services: tuple[str, ...] = ()
    weight: float = 1.0
    health: Health = Health.ALIVE

    @property
    def version(self) -> tuple[int, int, int]:
        """Order of the records of one process."""
        return self.incarnation, self.sequence, self.health

    @property
    def control_address(self) -> tuple[str, int]:
        """Where control messages go."""
        return self.address, self.control_port

    @property
    def data_address(self) -> tuple[str, int]:
        """Where packets go."""
        return self.address, self.data_port

    @property
    def digest(self) -> int:
        """Hash of identity and version, for the comparison of views."""
        text = f"{self.id}/{self.incarnation}/{self.sequence}/{self.health}"
        return int(xxhash.xxh3_64_intdigest(text.encode()))


def supersedes(new: Record, old: Record | None) -> bool:
    """Tells whether a record replaces another one of the same process.

    A death outranks the life of the same version, and a raised sequence
    outranks a death.
    """
    return old is None or new.version > old.version
