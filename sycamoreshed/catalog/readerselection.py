"""Decides which instance of a zone reads the store for the others.

The reader is chosen by rendezvous hashing over the instances that answer,
without a message.  Instances that disagree, or cannot reach it, have a second
reader for a while.
"""

import typing

from sycamoreshed.membership import rendezvous

__all__ = ["ReaderSelector", "reader_wait"]

# An instance reads for others until this long after their last request.
ASKED_S = 5.0
# How long a reader that did not answer is skipped; doubles each time up to
# the longest.
AVOID_S = 4.0
LONGEST_AVOID_S = 32.0
# Least ratio of the calls that a reader saves to those it makes.  Its own are
# held for a shorter time, so that it notices a failing store sooner.
LEAST_GAIN = 2.0
# What its watchers still need once a reader has noticed that it lost the
# store: to be told, and to read the store themselves.
FALLBACK_S = 1.0
LEAST_WAIT_S = 0.5


def reader_wait(apply_s, slack_s):
    """Return the seconds for which a reader's call at the store is held.

    Parameters
    ----------
    apply_s : float
        Seconds in which a change has to be known everywhere.
    slack_s : float
        After the wait, until the call counts as lost.

    Notes
    -----
    The watchers of a reader that is cut off are not cut off themselves, and
    have to know of a change within the usual time.

    Examples
    --------
    >>> reader_wait(5.0, 0.5)
    3.5
    """
    return max(LEAST_WAIT_S, apply_s - slack_s - FALLBACK_S)


class _Avoided(typing.NamedTuple):
    until: float
    for_s: float


class ReaderSelector:
    """Whether this instance reads the store, or whom it asks instead.

    Parameters
    ----------
    own, zone : str
        This instance's name and zone.
    peers : PeerDirectory
    own_wait_s : float
        Seconds a call at the store is held where each instance reads.
    reader_wait_s : float
        Seconds a reader's call is held.
    """

    def __init__(self, *, own, zone, peers, own_wait_s, reader_wait_s):
        self._own = own
        self._zone = zone
        self._peers = peers
        self._own_wait_s = own_wait_s
        self._reader_wait_s = reader_wait_s
        self._asked_until = float("-inf")
        self._avoided = {}

    @property
    def max_wait_s(self):
        """Longest time for which the store may hold a call, in seconds."""
        return max(self._own_wait_s, self._reader_wait_s)

    def reader(self, now):
        """Return the control address of the reader to watch.

        Returns
        -------
        str or None
            None if this instance is the reader, or each reads for itself.
        """
        candidates = self._peers.eligible(self._zone, now)
        size = self._peers.size(self._zone)
        gain = size * self._reader_wait_s / self._own_wait_s
        if gain < LEAST_GAIN:
            return None
        left = {
            name: control
            for name, control in candidates.items()
            if not self._is_avoided(control, now)
        }
        if not left:
            return None
        (name,) = rendezvous.top(f"reader {self._zone}", left, 1)
        return None if name == self._own else left[name]

    def is_reader(self, now):
        """Return whether others watch this instance."""
        return now < self._asked_until

    def wait_s(self, now):
        """Return for how long the store may hold a call."""
        if self.is_reader(now):
            return min(self._own_wait_s, self._reader_wait_s)
        return self._own_wait_s

    def asked(self, now):
        """Note a request of another instance."""
        self._asked_until = now + ASKED_S

    def record_failure(self, control, now):
        """Note that a reader did not answer."""
        held = self._avoided.get(control)
        for_s = AVOID_S
        if held is not None:
            for_s = min(LONGEST_AVOID_S, 2 * held.for_s)
        self._avoided[control] = _Avoided(now + for_s, for_s)

    def record_success(self, control):
        """Note that a reader answered."""
        self._avoided.pop(control, None)

    def has_failed(self, control):
        """Return whether a reader did not answer when it was last asked."""
        return control in self._avoided

    def _is_avoided(self, control, now):
        held = self._avoided.get(control)
        return held is not None and now < held.until
