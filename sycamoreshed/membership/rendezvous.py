"""Rendezvous hashing: the same choice on all instances, uncoordinated."""

import math

import xxhash

__all__ = ["rank", "top", "weighted_rank"]

_HASHES = 2.0**64


def rank(key, name):
    """Return the weight of `name` for `key`, the same on all instances."""
    return xxhash.xxh3_64_intdigest(f"{key}|{name}".encode())


def weighted_rank(key, name, weight):
    """Return the rank of `name` for `key` so that its share follows a weight.

    The name with the greatest rank gets the key.  Each name gets a share of
    all keys in proportion to its weight, and a change of one weight moves only
    keys from or to that name.

    Parameters
    ----------
    key, name : str
    weight : float
        Positive.

    Returns
    -------
    float

    Examples
    --------
    >>> weights = {"slow": 1.0, "fast": 3.0}
    >>> chosen = [
    ...     max(weights, key=lambda n: weighted_rank(str(key), n, weights[n]))
    ...     for key in range(1000)
    ... ]
    >>> 720 < chosen.count("fast") < 780
    True
    """
    uniform = (rank(key, name) + 0.5) / _HASHES
    # The least of exponential variables with these rates.
    return weight / -math.log(uniform)


def top(key, names, count):
    """Return the `count` names of greatest weight for `key`.

    Parameters
    ----------
    key : str
        Key to assign.
    names : iterable of str
    count : int

    Returns
    -------
    list of str
        Greatest weight first.  Removing a name reassigns only the keys
        that were assigned to it.

    Examples
    --------
    >>> top("encoder-1", ["a", "b", "c"], 2) == top(
    ...     "encoder-1", ["c", "a", "b"], 2
    ... )
    True
    """
    return sorted(names, key=lambda name: rank(key, name), reverse=True)[
        :count
    ]
