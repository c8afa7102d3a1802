"""Pacing of loads, retries of orders, and reads by standby instances."""

import random

from sycamoreshed.membership import rendezvous

__all__ = ["LoadPacer", "backoff_s", "is_hot_standby", "standby_delay_s"]

INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 10.0
# Number of instances of a zone, perhaps including the holder, that read the
# lease at the short interval; the others read rarely, in case all of these
# stop.
HOT_STANDBYS = 3
COLD_INTERVAL_FACTOR = 30
JITTER = 0.25


class LoadPacer:
    """Delays loads so that a zone stays within its rate.

    Parameters
    ----------
    rate : float
        Bytes per second; zero for no limit.

    Examples
    --------
    >>> pacer = LoadPacer(rate=10.0)
    >>> pacer.try_start(50.0, now=0.0), pacer.try_start(1.0, now=4.9)
    (True, False)
    >>> pacer.try_start(1.0, now=5.0)
    True
    """

    def __init__(self, *, rate):
        self._rate = rate
        self._free_at = 0.0

    def try_start(self, size_bytes, *, now):
        """Return whether a load may start at `now`; if so, count it."""
        if not self._rate or not size_bytes:
            return True
        if now < self._free_at:
            return False
        self._free_at = now + size_bytes / self._rate
        return True

    def record_running(self, size_bytes, *, now):
        """Count a load that the previous holder has started."""
        if self._rate:
            start = max(now, self._free_at)
            self._free_at = start + size_bytes / self._rate


def backoff_s(failures):
    """Return the seconds to wait after consecutive failures."""
    max_s = min(INITIAL_BACKOFF_S * 2 ** (failures - 1), MAX_BACKOFF_S)
    return random.uniform(max_s / 2, max_s)


def is_hot_standby(zone, own, names):
    """Return whether an instance is one of the zone's hot standbys.

    Hot standbys read the row of the lease at the short interval and so
    are the first to take over.

    Parameters
    ----------
    zone : str
    own : str
        Name of this instance.
    names : list of str
        Live instances of the zone, as far as this one has recorded.

    Returns
    -------
    bool
    """
    return own in rendezvous.top(f"orders/{zone}", {*names, own}, HOT_STANDBYS)


def standby_delay_s(*, hot, interval_s, remaining_s):
    """Return the seconds until a standby reads the row of the lease.

    Parameters
    ----------
    hot : bool
        Whether the instance is a hot standby.
    interval_s : float
        Seconds between the reads of hot standbys.
    remaining_s : float or None
        Seconds until the lease may be acquired if the row is unchanged.

    Returns
    -------
    float

    Notes
    -----
    Only hot standbys read as soon as their wait for the lease ends.  Each
    renewal changes the row, so there is always a wait, and the others
    would read at its end instead of at their longer interval.
    """
    delay_s = interval_s if hot else COLD_INTERVAL_FACTOR * interval_s
    delay_s *= random.uniform(1 - JITTER, 1 + JITTER)
    return (
        min(delay_s, remaining_s)
        if hot and remaining_s is not None
        else delay_s
    )
