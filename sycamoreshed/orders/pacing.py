"""How fast loads, retries and standby reads follow one another."""

import random

from sycamoreshed.membership import rendezvous

__all__ = ["LoadPacer", "backoff", "standby_s", "stands_by"]

FIRST_S = 0.5
LONGEST_S = 10.0
# So many instances of a zone stand by at the quick interval; the others
# read rarely, in case all of these are gone.
STANDBYS = 3
SLOWER = 30
JITTER = 0.25


class LoadPacer:
    """Spaces out loads so that a zone keeps to its rate.

    Parameters
    ----------
    rate : float
        Bytes a second; zero for no limit.

    Examples
    --------
    >>> pace = LoadPacer(rate=10.0)
    >>> pace.take(50.0, now=0.0), pace.take(1.0, now=4.9)
    (True, False)
    >>> pace.take(1.0, now=5.0)
    True
    """

    def __init__(self, *, rate):
        self._rate = rate
        self._free_at = 0.0

    def take(self, size, *, now):
        """Return whether a load of `size` bytes may begin at `now`."""
        if not self._rate or not size:
            return True
        if now < self._free_at:
            return False
        self._free_at = now + size / self._rate
        return True

    def add(self, size, *, now):
        """Count a load that was begun by the holder before."""
        if self._rate:
            start = max(now, self._free_at)
            self._free_at = start + size / self._rate


def backoff(failures):
    """Return seconds until the next try after that many failures."""
    longest = min(FIRST_S * 2 ** (failures - 1), LONGEST_S)
    return random.uniform(longest / 2, longest)


def stands_by(zone, own, names):
    """Return whether an instance is one of the first to take over.

    Parameters
    ----------
    zone : str
    own : str
        Name of this instance.
    names : list of str
        Live instances of the zone, as far as they are known.

    Returns
    -------
    bool
    """
    return own in rendezvous.top(f"orders/{zone}", {*names, own}, STANDBYS)


def standby_s(*, first, quick, left):
    """Return seconds until an instance without the lease reads its row.

    Parameters
    ----------
    first : bool
        Whether it is one of the first to take over.
    quick : float
        Seconds between the reads of those.
    left : float or None
        Seconds until the row may be taken if it does not change.

    Returns
    -------
    float

    Notes
    -----
    Only the first ones read at the very end of their wait.  The row
    changes with every renewal, so there is always a wait, and all
    instances would read once a wait and not once in a long while.
    """
    seconds = quick if first else SLOWER * quick
    seconds *= random.uniform(1 - JITTER, 1 + JITTER)
    return min(seconds, left) if first and left is not None else seconds
