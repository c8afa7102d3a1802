"""Rendezvous hashing: the same choice everywhere, without a message."""

import xxhash

__all__ = ["rank", "top"]


def rank(key, name):
    """Return the weight of `name` for `key`, equal on every instance."""
    return xxhash.xxh3_64_intdigest(f"{key}|{name}".encode())


def top(key, names, count):
    """Return the `count` names of greatest weight for `key`.

    Parameters
    ----------
    key : str
        What is shared out.
    names : iterable of str
    count : int

    Returns
    -------
    list of str
        Best first.  A name that goes moves only the keys it had.

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
