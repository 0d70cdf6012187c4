"""Versioned membership records, published by the process they describe."""

import dataclasses
import enum

import xxhash

__all__ = ["Health", "Record", "Role", "State", "supersedes"]


class Role(enum.IntEnum):
    """Kind of a process."""

    BALANCER = 0
    SIDE = 1


class State(enum.IntEnum):
    """State that a process publishes of itself."""

    COLD = 0
    READY = 1
    DRAINING = 2
    LEAVING = 3


class Health(enum.IntEnum):
    """Health that peers assign to a process; the higher value wins."""

    ALIVE = 0
    DEAD = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """Membership record of one process.

    Attributes:
        id: Identifier from its settings.
        incarnation: Start of the process, milliseconds since 1970.
        sequence: Number that the process raises with each change.
        role: Kind of the process.
        state: State that the process publishes.
        health: Health that peers assign to it.
        region: Region of the process.
        zone: Availability zone of the process.
        address: IP address of the process.
        data_port: UDP port of the packet path.
        control_port: UDP port of control messages.
        http_port: TCP port for peers, metrics and the administration API.
        services: Services that its target serves; empty for a balancer.
        weight: Relative share of new flows; of a relaying balancer the
            bandwidth of its link, Mbit/s.
        store_lost: Whether the store does not answer the process.
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
    store_lost: bool = False

    @property
    def version(self) -> tuple[int, int, int]:
        """Sort key by which the records of one process are ordered."""
        return self.incarnation, self.sequence, self.health

    @property
    def control_address(self) -> tuple[str, int]:
        """IP address and UDP port that control messages are sent to."""
        return self.address, self.control_port

    @property
    def data_address(self) -> tuple[str, int]:
        """IP address and UDP port that packets are sent to."""
        return self.address, self.data_port

    @property
    def digest(self) -> int:
        """64-bit hash of identifier and version, to compare tables."""
        text = f"{self.id}/{self.incarnation}/{self.sequence}/{self.health}"
        return int(xxhash.xxh3_64_intdigest(text.encode()))


def supersedes(new: Record, old: Record | None) -> bool:
    """Returns whether a record replaces another one of the same process.

    Of records with the same incarnation and sequence, DEAD replaces ALIVE; a
    higher sequence replaces a death, which is how a process refutes its own.

    Args:
        new: Record received.
        old: Record stored, None if there is none.
    """
    return old is None or new.version > old.version
