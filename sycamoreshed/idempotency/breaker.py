"""Refuses calls of the store at once while it is away."""

__all__ = ["Breaker"]

FAILURES = 3
OPEN_S = 1.0


class Breaker:
    """Opens after failures in a row; lets one call try now and then.

    Parameters
    ----------
    failures : int
        Failures in a row that open it.
    open_s : float
        Seconds between two calls that try while it is open.

    Notes
    -----
    Without it each request of an outage would wait for a timeout before
    it hears "not run", and hold a slot that reads and generation need.

    Examples
    --------
    >>> breaker = Breaker(failures=1, open_s=1.0)
    >>> breaker.report(ok=False, now=10.0)
    >>> breaker.allows(10.5), breaker.allows(11.0), breaker.allows(11.1)
    (False, True, False)
    >>> breaker.report(ok=True, now=11.2)
    >>> breaker.allows(11.2)
    True
    """

    def __init__(self, *, failures=FAILURES, open_s=OPEN_S):
        self._most = failures
        self._open_s = open_s
        self._failures = 0
        self._try_at = 0.0

    @property
    def is_open(self):
        """Whether calls are refused, but for one now and then."""
        return self._failures >= self._most

    def allows(self, now):
        """Return whether a call may be made at monotonic time `now`.

        Notes
        -----
        A call that is allowed while open puts the next one off, so that
        a burst does not all wait on a store that is still away.
        """
        if not self.is_open:
            return True
        if now < self._try_at:
            return False
        self._try_at = now + self._open_s
        return True

    def refuses(self, now):
        """Return whether a call made now would be refused.

        Notes
        -----
        Unlike `allows` it does not use up the call that may try.
        """
        return self.is_open and now < self._try_at

    def report(self, *, ok, now):
        """Take in the end of a call."""
        if ok:
            self._failures = 0
            return
        self._failures += 1
        if self._failures == self._most:
            self._try_at = now + self._open_s

    def retry_after(self, now):
        """Return seconds after which coming again makes sense."""
        return max(self._try_at - now, 0.0) + self._open_s
