"""Weighted rendezvous hashing of targets over buckets."""

import functools

import numpy as np
import numpy.typing as npt
import xxhash

__all__ = ["draws", "ranking"]

_DRAW_CACHE_ENTRIES = 512
_MANTISSA_BITS = 53
_WORD_BITS = 64


@functools.lru_cache(maxsize=_DRAW_CACHE_ENTRIES)
def draws(identifier: str, buckets: int) -> npt.NDArray[np.float32]:
    """Returns a target's exponential draw for each bucket.

    The raw Philox stream keyed by the target's hash is the same on every
    machine, so all processes agree without exchanging anything.

    Args:
        identifier: Identifier of the target.
        buckets: Number of buckets.

    Returns:
        Array of shape (buckets,), exponentially distributed with mean 1.
    """
    key = xxhash.xxh64_intdigest(identifier.encode())
    raw = np.random.Philox(key=key).random_raw(buckets)
    mantissas = raw >> np.uint64(_WORD_BITS - _MANTISSA_BITS)
    uniform = (mantissas + 0.5) / float(1 << _MANTISSA_BITS)
    return -np.log(uniform).astype(np.float32)


def ranking(
    weight_by_id: dict[str, float], buckets: int, depth: int
) -> npt.NDArray[np.int32]:
    """Returns the best targets of each bucket, best first.

    A target's score is its draw divided by its weight, least first: the first
    place falls to a target in proportion to its weight, and removing a target
    moves only the buckets in which it was ranked. Costs O(targets * buckets *
    depth) time and O(buckets * depth) memory, since columns are merged one by
    one.

    Args:
        weight_by_id: Positive weight of each target.
        buckets: Number of buckets.
        depth: How many places to fill.

    Returns:
        Array of shape (buckets, min(depth, targets)) of indices into the
        sorted identifiers.

    Examples:
        >>> ranking({"a": 1.0, "b": 1.0}, buckets=4, depth=2).shape
        (4, 2)

    References:
        D. Thaler, C. Ravishankar: "Using name-based mappings to increase hit
        rates", IEEE/ACM Transactions on Networking 6 (1), 1998.
    """
    identifiers = sorted(weight_by_id)
    depth = min(depth, len(identifiers))
    best = np.full((depth, buckets), np.inf, dtype=np.float32)
    index = np.full((depth, buckets), -1, dtype=np.int32)
    for number, identifier in enumerate(identifiers):
        score = draws(identifier, buckets) / weight_by_id[identifier]
        current = np.full(buckets, number, dtype=np.int32)
        for place in range(depth):
            better = score < best[place]
            if not better.any():
                continue
            swapped = np.where(better, best[place], score)
            swapped_index = np.where(better, index[place], current)
            best[place] = np.where(better, score, best[place])
            index[place] = np.where(better, current, index[place])
            score = swapped
            current = swapped_index
    return index.T.copy()
