"""Selection of the balancers of a zone that hold and watch store keys."""

import xxhash

from clementinelead.memberships import records

__all__ = ["is_watcher"]

WATCHERS_PER_ZONE = 2

MAX_CANDIDATES = 8
"""Balancers of a zone that may become watchers.

It limits the calls to a store that answers none of them.
"""


def is_watcher(own: records.Record, balancers: list[records.Record]) -> bool:
    """Returns whether this balancer is one of the watchers of its zone.

    They are the first two balancers, by the hash of the identifiers, that the
    store answers, and those before them, which go on to try; only the first
    ``MAX_CANDIDATES`` are considered. The selection needs no consensus: a
    surplus watcher costs some calls to the store, and if none is selected
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
    if len(preferred) >= MAX_CANDIDATES:
        return False
    answered = [other for other in preferred if not other.store_lost]
    return len(answered) < WATCHERS_PER_ZONE
