"""Which balancers hold and watch keys of the store for their zone."""

import xxhash

from clementinelead.memberships import records

__all__ = ["is_watcher"]

WATCHERS_PER_ZONE = 2


def is_watcher(own: records.Record, balancers: list[records.Record]) -> bool:
    """Tells whether a balancer should watch the store.

    The choice needs no agreement: two processes that both think so cost one
    more call, and if none does, the next view mends it.

    Args:
        own: Record of this process.
        balancers: Records of the other living balancers.
    """
    score = xxhash.xxh3_64_intdigest(own.id.encode())
    ahead = [
        other
        for other in balancers
        if other.zone == own.zone
        and xxhash.xxh3_64_intdigest(other.id.encode()) < score
    ]
    return len(ahead) < WATCHERS_PER_ZONE
