"""Tells when the store is to be taken to be away."""

__all__ = ["Breaker"]

FAILURES = 3


class Breaker:
    """Opens after failures in a row, and closes with the first success.

    Parameters
    ----------
    failures : int
        Failures in a row that open it.

    Notes
    -----
    Without it each request of an outage would wait for a timeout before
    it hears "not run", and hold a slot that reads and generation need.

    Examples
    --------
    >>> breaker = Breaker(failures=2)
    >>> for ok in (False, True, False, False):
    ...     breaker.report(ok=ok)
    >>> breaker.is_open
    True
    >>> breaker.report(ok=True)
    >>> breaker.is_open
    False
    """

    def __init__(self, *, failures=FAILURES):
        self._most = failures
        self._failures = 0

    @property
    def failures(self):
        """Failures in a row that open it."""
        return self._most

    @property
    def is_open(self):
        """Whether calls are to be refused."""
        return self._failures >= self._most

    def report(self, *, ok):
        """Take in the end of a call."""
        self._failures = 0 if ok else self._failures + 1
