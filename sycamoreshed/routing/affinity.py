"""Rendezvous hashing: every instance ranks endpoints the same way."""

import xxhash

__all__ = ["homes"]

_MASK = (1 << 32) - 1
_ODD = 0x9E3779B1
# More names than endpoints at the size to design for, with replacements.
_NAMES = 4096


class _Hashes(dict):
    """Hashes of endpoints' names, kept since each choice needs them all."""

    def __missing__(self, name):
        if len(self) >= _NAMES:
            self.clear()
        self[name] = _hash(name)
        return self[name]


_name_hashes = _Hashes()


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
    hashes = _name_hashes
    # Of 32 bits each, so that the product stays small; with 64 this took
    # half as long again for 90 candidates.
    weights = [
        ((own ^ hashes[item.name]) * _ODD) & _MASK for item in candidates
    ]
    first = weights.index(max(weights))
    if len(weights) == 1:
        return [candidates[first]]
    weights[first] = -1
    second = weights.index(max(weights))
    return [candidates[first], candidates[second]]


def _hash(text):
    return xxhash.xxh32_intdigest(text.encode())
