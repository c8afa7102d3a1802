"""Rendezvous hashing: every instance ranks endpoints the same way."""

import functools

import xxhash

__all__ = ["homes"]

_MASK = (1 << 64) - 1
_ODD = 0x9E3779B97F4A7C15
# More names than endpoints at the size to design for, with replacements.
_NAMES = 4096


def homes(candidates, key, region):
    """Return the endpoints a key belongs to.

    Parameters
    ----------
    candidates : list of Endpoint
    key : str
        Such as the hash of a prompt's prefix.
    region : str
        Of this instance.

    Returns
    -------
    list of Endpoint
        The key's home among all, and its home within the region.

    Notes
    -----
    No message is needed, and when an endpoint goes only its own keys
    move.
    """
    own = _hash(key)
    best = near = None
    highest = nearest = -1
    for item in candidates:
        weight = ((own ^ _name_hash(item.name)) * _ODD) & _MASK
        weight ^= weight >> 32
        if weight > highest:
            highest, best = weight, item
        if weight > nearest and item.region == region:
            nearest, near = weight, item
    return [item for item in (best, near) if item is not None]


def _hash(text):
    return xxhash.xxh3_64_intdigest(text.encode())


_name_hash = functools.lru_cache(maxsize=_NAMES)(_hash)
