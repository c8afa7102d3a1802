"""Selects the instance of a zone that reads the store for the others.

The reader is selected by rendezvous hashing over the instances that answer,
without any messages.  Instances that see other candidates, or cannot reach
the reader, may select another one, so a zone may briefly have several.
"""

import typing

from sycamoreshed.membership import rendezvous

__all__ = ["ReaderSelector", "reader_wait"]

# An instance counts as watched for this long after the last watch request.
WATCH_TTL_S = 5.0
# How long a reader that did not answer is skipped; doubles with each failure
# up to the maximum.
MIN_BACKOFF_S = 4.0
MAX_BACKOFF_S = 32.0
# Minimum ratio of the calls at the store without a reader to those with one.
# A reader's calls may be held for a shorter time than those of other
# instances, so that it notices a failing store sooner.
MIN_GAIN = 2.0
# Time that the watchers of a reader need after it has noticed that the store
# fails: to be notified, and to read the store themselves.
FALLBACK_S = 1.0
MIN_WAIT_S = 0.5


def reader_wait(apply_s, slack_s):
    """Return the seconds for which a reader's call at the store is held.

    Parameters
    ----------
    apply_s : float
        Seconds within which a change has to be known everywhere.
    slack_s : float
        Seconds after the wait until the call counts as failed.

    Notes
    -----
    Watchers may reach the store when their reader cannot, and have to know
    of a change within `apply_s` all the same.  This does not hold where
    `MIN_WAIT_S` applies.

    Examples
    --------
    >>> reader_wait(5.0, 0.5)
    3.5
    """
    return max(MIN_WAIT_S, apply_s - slack_s - FALLBACK_S)


class _Backoff(typing.NamedTuple):
    retry_at: float
    backoff_s: float


class ReaderSelector:
    """Selects whether this instance reads the store or watches a reader.

    Parameters
    ----------
    own, zone : str
        This instance's name and zone.
    peers : PeerDirectory
    own_wait_s : float
        Seconds for which the store holds the calls of an instance that
        reads for itself only.
    reader_wait_s : float
        Upper bound of the seconds for which the store holds a reader's
        calls; `own_wait_s` if that is lower.
    """

    def __init__(self, *, own, zone, peers, own_wait_s, reader_wait_s):
        self._own = own
        self._zone = zone
        self._peers = peers
        self._own_wait_s = own_wait_s
        self._reader_wait_s = reader_wait_s
        self._watch_expires_at = float("-inf")
        self._backoffs = {}

    @property
    def max_wait_s(self):
        """Upper bound of `wait_s`, in seconds."""
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
        if gain < MIN_GAIN:
            return None
        available = {
            name: control
            for name, control in candidates.items()
            if not self._is_avoided(control, now)
        }
        if not available:
            return None
        (name,) = rendezvous.top(f"reader {self._zone}", available, 1)
        return None if name == self._own else available[name]

    def is_watched(self, now):
        """Return whether other instances watch this one."""
        return now < self._watch_expires_at

    def wait_s(self, now):
        """Return the seconds for which the store may hold a call."""
        if self.is_watched(now):
            return min(self._own_wait_s, self._reader_wait_s)
        return self._own_wait_s

    def record_request(self, now):
        """Record a watch request of another instance."""
        self._watch_expires_at = now + WATCH_TTL_S

    def record_failure(self, control, now):
        """Skip a reader that did not answer, for a growing time."""
        backoff = self._backoffs.get(control)
        backoff_s = MIN_BACKOFF_S
        if backoff is not None:
            backoff_s = min(MAX_BACKOFF_S, 2 * backoff.backoff_s)
        self._backoffs[control] = _Backoff(now + backoff_s, backoff_s)

    def record_success(self, control):
        """Clear the failures of a reader that answered."""
        self._backoffs.pop(control, None)

    def has_failed(self, control):
        """Return whether the last request to a reader failed."""
        return control in self._backoffs

    def _is_avoided(self, control, now):
        backoff = self._backoffs.get(control)
        return backoff is not None and now < backoff.retry_at
