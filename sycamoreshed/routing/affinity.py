"""Rendezvous hashing, by which all instances rank endpoints alike."""

import xxhash

__all__ = ["preferred_endpoints"]

_MASK = (1 << 32) - 1
_MULTIPLIER = 0x9E3779B1
# More than the number of endpoints in the largest intended deployment,
# including replaced ones.
_MAX_CACHED_NAMES = 4096


class _HashCache(dict):
    """Cached hashes of endpoint names, since each choice needs all of them."""

    def __missing__(self, name):
        if len(self) >= _MAX_CACHED_NAMES:
            self.clear()
        self[name] = _hash(name)
        return self[name]


_name_hashes = _HashCache()


def preferred_endpoints(candidates, key):
    """Return the two endpoints that rank highest for a key, best first.

    Parameters
    ----------
    candidates : list of Endpoint
    key : str
        For example the hash of a prompt's prefix.

    Returns
    -------
    list of Endpoint

    Notes
    -----
    This needs no coordination, and removing an endpoint moves only its own
    keys.  The second endpoint serves when the first is fully loaded; if
    any other one served then, the key would end up in all caches.
    """
    key_hash = _hash(key)
    hashes = _name_hashes
    # 32-bit hashes keep the product small: 64-bit ones take 1.5 times as
    # long for 90 candidates.
    weights = [
        ((key_hash ^ hashes[item.name]) * _MULTIPLIER) & _MASK
        for item in candidates
    ]
    first = weights.index(max(weights))
    if len(weights) == 1:
        return [candidates[first]]
    weights[first] = -1
    second = weights.index(max(weights))
    return [candidates[first], candidates[second]]


def _hash(text):
    return xxhash.xxh32_intdigest(text.encode())
