"""Weighted rendezvous hashing of targets over buckets."""

import functools

import numpy as np
import numpy.typing as npt
import xxhash

__all__ = ["apportion", "exponential_draws", "ranking"]

_DRAW_CACHE_ENTRIES = 512
_MANTISSA_BITS = 53
_WORD_BITS = 64


@functools.lru_cache(maxsize=_DRAW_CACHE_ENTRIES)
def exponential_draws(identifier: str, buckets: int) -> npt.NDArray[np.float32]:
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
        score = (
            exponential_draws(identifier, buckets) / weight_by_id[identifier]
        )
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


def apportion(
    weight_by_name: dict[str, int], buckets: int
) -> npt.NDArray[np.int32]:
    """Returns which of some names has each bucket, in exact shares.

    Each bucket goes to the name with the best score. Names that have more
    than their share, rounded so that the sum fits, then give up the buckets
    that they lead in by least; so a changed weight moves few buckets more than
    it must. Costs O(names * buckets) time for each bucket that is given up.

    Args:
        weight_by_name: Weights, not negative and not all 0.
        buckets: Number of buckets.

    Returns:
        Array of shape (buckets,) of indices into the sorted names.

    Examples:
        >>> np.bincount(apportion({"a": 3, "b": 1}, buckets=64)).tolist()
        [48, 16]
    """
    places = sorted(weight_by_name)
    names = [name for name in places if weight_by_name[name]]
    weights = np.array([weight_by_name[name] for name in names], dtype=float)
    share = _rounded(weights / weights.sum() * buckets, buckets)
    scores = np.array([exponential_draws(name, buckets) for name in names])
    scores /= weights[:, None]
    chosen = scores.argmin(axis=0)
    counts = np.bincount(chosen, minlength=len(names))
    while (counts > share).any():
        name, number = _cheapest_move(scores, chosen, counts - share)
        counts[chosen[number]] -= 1
        counts[name] += 1
        chosen[number] = name
    place_by_name = np.array([places.index(name) for name in names])
    return place_by_name[chosen].astype(np.int32)


def _cheapest_move(
    scores: npt.NDArray[np.float64],
    chosen: npt.NDArray[np.intp],
    excess: npt.NDArray[np.int64],
) -> tuple[int, int]:
    """Returns to whom to give which bucket of a name that has too many.

    Args:
        scores: Array of shape (names, buckets), least is best.
        chosen: Array of shape (buckets,), the name that has each bucket.
        excess: Array of shape (names,), buckets above the share.

    Returns:
        Indices of the name and the bucket.
    """
    held = scores[chosen, np.arange(scores.shape[1])]
    loss = scores / held
    loss[excess >= 0] = np.inf
    loss[:, excess[chosen] <= 0] = np.inf
    name, number = np.unravel_index(loss.argmin(), loss.shape)
    return int(name), int(number)


def _rounded(
    exact: npt.NDArray[np.float64], total: int
) -> npt.NDArray[np.int64]:
    """Returns whole numbers near the exact ones, with a given sum."""
    whole = np.floor(exact).astype(np.int64)
    missing = total - int(whole.sum())
    largest = np.argsort(whole - exact, kind="stable")[:missing]
    whole[largest] += 1
    return whole
