"""Rendezvous hashing: every instance ranks endpoints the same way."""

import functools

import xxhash

__all__ = ["homes"]

_MASK = (1 << 64) - 1
_ODD = 0x9E3779B97F4A7C15
# More names than endpoints at the size to design for, with replacements.
_NAMES = 4096


def homes(candidates, key):
    """Return the two endpoints a key belongs to, the first one first.

    Parameters
    ----------
    candidates : list of Endpoint
    key : str
        Such as the hash of a prompt's prefix.

    Returns
    -------
    list of Endpoint

    Notes
    -----
    No message is needed, and when an endpoint goes only its own keys
    move.  The second is for when the first is full: were it any, the
    key would end up in all caches.
    """
    own = _hash(key)
    first = second = None
    high = next_high = -1
    for item in candidates:
        weight = ((own ^ _name_hash(item.name)) * _ODD) & _MASK
        weight ^= weight >> 32
        if weight > high:
            second, next_high = first, high
            first, high = item, weight
        elif weight > next_high:
            second, next_high = item, weight
    return [item for item in (first, second) if item is not None]


def _hash(text):
    return xxhash.xxh3_64_intdigest(text.encode())


_name_hash = functools.lru_cache(maxsize=_NAMES)(_hash)
