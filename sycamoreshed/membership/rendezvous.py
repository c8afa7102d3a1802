"""Rendezvous hashing: the same choice on all instances, uncoordinated."""

import xxhash

__all__ = ["rank", "top"]


def rank(key, name):
    """Return the weight of `name` for `key`, the same on all instances."""
    return xxhash.xxh3_64_intdigest(f"{key}|{name}".encode())


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
