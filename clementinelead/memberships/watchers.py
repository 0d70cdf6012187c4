"""Selection of the balancers of a zone that hold and watch store keys."""

import xxhash

from clementinelead.memberships import records

__all__ = ["is_watcher"]

WATCHERS_PER_ZONE = 2


def is_watcher(own: records.Record, balancers: list[records.Record]) -> bool:
    """Returns whether this balancer is one of the two watchers of its zone.

    The selection is by the hash of the identifiers and needs no consensus: a
    surplus watcher costs one more call to the store, and if none is selected
    because tables differ, the next change of the table corrects it.

    Args:
        own: Record of this process.
        balancers: Records of the other living balancers of all zones.
    """
    score = xxhash.xxh3_64_intdigest(own.id.encode())
    preferred = [
        other
        for other in balancers
        if other.zone == own.zone
        and xxhash.xxh3_64_intdigest(other.id.encode()) < score
    ]
    return len(preferred) < WATCHERS_PER_ZONE
