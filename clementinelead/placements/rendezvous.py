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
    """Returns a target's exponential variate for each bucket.

    The raw Philox stream keyed by the target's hash is identical on every
    platform, so all processes compute the same variates without coordination.

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

    A target's score is its exponential variate divided by its weight; the
    lowest score is best. A target is first with a probability proportional to
    its weight, and removing it changes only the buckets in which it was
    ranked. Costs O(targets * buckets * depth) time and O(buckets * depth)
    memory, since the targets are merged one by one.

    Args:
        weight_by_id: Positive weight of each target.
        buckets: Number of buckets.
        depth: Number of targets to rank in each bucket.

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
    best_scores = np.full((depth, buckets), np.inf, dtype=np.float32)
    best_indices = np.full((depth, buckets), -1, dtype=np.int32)
    for number, identifier in enumerate(identifiers):
        score = (
            exponential_draws(identifier, buckets) / weight_by_id[identifier]
        )
        index = np.full(buckets, number, dtype=np.int32)
        # Inserts the target at its rank; the displaced one moves down.
        for rank in range(depth):
            better = score < best_scores[rank]
            if not better.any():
                continue
            displaced_score = np.where(better, best_scores[rank], score)
            displaced_index = np.where(better, best_indices[rank], index)
            best_scores[rank] = np.where(better, score, best_scores[rank])
            best_indices[rank] = np.where(better, index, best_indices[rank])
            score = displaced_score
            index = displaced_index
    return best_indices.T.copy()


def apportion(
    weight_by_name: dict[str, int], buckets: int
) -> npt.NDArray[np.int32]:
    """Assigns buckets to names in exact proportion to their weights.

    Each bucket is first assigned to the name with the best score. Names with
    more buckets than their share, rounded so that the shares add up, then
    release those in which their lead is smallest; so a changed weight moves few
    buckets more than necessary. Costs O(names * buckets) time for each bucket
    released.

    Args:
        weight_by_name: Weights, not negative and not all 0.
        buckets: Number of buckets.

    Returns:
        Array of shape (buckets,) of indices into the sorted names.

    Examples:
        >>> np.bincount(apportion({"a": 3, "b": 1}, buckets=64)).tolist()
        [48, 16]
    """
    all_names = sorted(weight_by_name)
    names = [name for name in all_names if weight_by_name[name]]
    weights = np.array([weight_by_name[name] for name in names], dtype=float)
    shares = _round_to_total(weights / weights.sum() * buckets, buckets)
    scores = np.array([exponential_draws(name, buckets) for name in names])
    scores /= weights[:, None]
    assigned = scores.argmin(axis=0)
    counts = np.bincount(assigned, minlength=len(names))
    while (counts > shares).any():
        name, bucket = _cheapest_move(scores, assigned, counts - shares)
        counts[assigned[bucket]] -= 1
        counts[name] += 1
        assigned[bucket] = name
    indices = np.array([all_names.index(name) for name in names])
    return indices[assigned].astype(np.int32)


def _cheapest_move(
    scores: npt.NDArray[np.float64],
    assigned: npt.NDArray[np.intp],
    excess: npt.NDArray[np.int64],
) -> tuple[int, int]:
    """Returns the reassignment from excess to deficit with the least loss.

    Args:
        scores: Array of shape (names, buckets); the lowest score is best.
        assigned: Array of shape (buckets,), the name of each bucket.
        excess: Array of shape (names,), buckets above the share.

    Returns:
        Indices of the new name and the bucket.
    """
    current = scores[assigned, np.arange(scores.shape[1])]
    loss = scores / current
    loss[excess >= 0] = np.inf
    loss[:, excess[assigned] <= 0] = np.inf
    name, bucket = np.unravel_index(loss.argmin(), loss.shape)
    return int(name), int(bucket)


def _round_to_total(
    exact: npt.NDArray[np.float64], total: int
) -> npt.NDArray[np.int64]:
    """Rounds to integers with a given sum by largest remainders."""
    rounded = np.floor(exact).astype(np.int64)
    missing = total - int(rounded.sum())
    largest = np.argsort(rounded - exact, kind="stable")[:missing]
    rounded[largest] += 1
    return rounded
