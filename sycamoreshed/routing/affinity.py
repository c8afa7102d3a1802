"""Rendezvous hashing: every instance ranks endpoints the same way."""

import heapq

import xxhash

__all__ = ["homes"]


def homes(candidates, key, count):
    """Return the endpoints a key belongs to, best first.

    Parameters
    ----------
    candidates : list of Endpoint
    key : str
        Such as the hash of a prompt's prefix.
    count : int

    Returns
    -------
    list of Endpoint

    Notes
    -----
    No message is needed, and when an endpoint goes only its own keys
    move.
    """
    return heapq.nlargest(
        count, candidates, key=lambda item: _weight(key, item.name)
    )


def _weight(key, name):
    return xxhash.xxh3_64_intdigest(f"{key}/{name}".encode())
